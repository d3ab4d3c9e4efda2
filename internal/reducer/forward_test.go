package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// An owner that cannot serve a request in time refuses it immediately. Before the
// deadline the ingress looks for another owner; after the deadline the refusal is
// final.
func TestDeadlineRefusalIsRetriedBeforeDeadline(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newSession(t, sessionText)
		s.arrive(1, "order")
		if late {
			s.now = s.now.Add(time.Second)
		}
		effects := s.step(&event.OwnerRefused{
			At: s.now, Request: 1, Owner: "entry-1", Outcome: model.NotRun, Cause: model.CauseDeadline,
		})
		refuse, ok := effects[len(effects)-1].(*event.Refuse)
		require.True(t, ok, "the session has no second owner")
		want := event.FinalNoOwner
		if late {
			want = event.FinalDeadline
		}
		require.Equal(t, want, refuse.Final)
		require.Equal(t, model.CauseDeadline, refuse.Cause)
	}
}
