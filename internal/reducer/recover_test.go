package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestOfferWhoseDecisionPanicsGivesBackItsSlot guards against slots that are in use for ever, and
// against an offer whose goroutine waits for ever.
func TestOfferWhoseDecisionPanicsGivesBackItsSlot(t *testing.T) {
	s := newSession(t, sessionText)
	s.offer(11, "browse")
	inUse := func() int {
		n := 0
		for _, server := range s.r.Servers(s.now) {
			n += server.InUse
		}
		return n
	}
	require.Equal(t, 1, inUse())
	s.r.out.reset() // as Step begins
	ended := &event.AttemptFinished{At: s.now, Request: 11, Backend: "shop-1", Result: event.AttemptComplete}
	s.r.Release(ended)
	require.Equal(t, []event.Effect{
		&event.RefuseOffer{Request: 11, Outcome: model.Unknown, Cause: model.CauseInternal},
	}, s.r.Recover(ended))
	require.Zero(t, inUse())
	_, offers := s.r.InFlight()
	require.Zero(t, offers)
	s.wait(time.Second)
}

// TestRequestWhoseDecisionPanicsIsRefused requires an answer that is honest about what has run.
func TestRequestWhoseDecisionPanicsIsRefused(t *testing.T) {
	s := newSession(t, sessionText)
	for ev, outcome := range map[event.Event]model.Outcome{
		&event.RequestArrived{At: s.now, Request: 1, Meta: s.meta(1, "browse")}: model.NotRun,
		&event.OwnerLost{At: s.now, Request: 1}:                                 model.Unknown,
	} {
		s.arrive(1, "browse") // its Forward must not be carried out beside the refusal
		s.r.Release(ev)
		require.Equal(t, []event.Effect{
			&event.Refuse{Request: 1, Outcome: outcome, Cause: model.CauseInternal},
		}, s.r.Recover(ev))
	}
	s.step(&event.RequestFinished{At: s.now, Request: 1, Outcome: model.Unknown, Cause: model.CauseInternal})
	calls, _ := s.r.InFlight()
	require.Zero(t, calls)
}
