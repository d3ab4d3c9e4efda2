package reducer

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// refuseConnections lets reads run into a server that refuses connections, until
// one was sent there.
func (s *session) refuseConnections(backend model.BackendName) {
	for id := model.RequestID(100 + len(s.metas)); ; id++ {
		s.now = s.now.Add(10 * time.Millisecond)
		d := dispatchOf(s.t, s.offer(id, "browse"))
		if d.Backend == backend {
			again := dispatchOf(s.t, s.attempt(id, backend, event.AttemptNotSent))
			s.attempt(id, again.Backend, event.AttemptComplete)
			return
		}
		s.attempt(id, d.Backend, event.AttemptComplete)
	}
}

// A request that broke the connections of two servers, which then refused
// others, is refused, whether those connections were new or pooled.
func TestCrashingRequestIsRefusedAfterTwoServers(t *testing.T) {
	for _, broken := range []event.AttemptResult{event.AttemptBroken, event.AttemptStaleBroken} {
		s := newSession(t, sessionText)
		crash := dispatchOf(t, s.offer(1, "browse"))
		s.now = s.now.Add(10 * time.Millisecond)
		again := dispatchOf(t, s.attempt(1, crash.Backend, broken))
		require.NotEqual(t, crash.Backend, again.Backend)
		s.now = s.now.Add(10 * time.Millisecond)
		s.attempt(1, again.Backend, broken)
		s.refuseConnections(crash.Backend)
		s.refuseConnections(again.Backend)
		s.now = s.now.Add(100 * time.Millisecond)
		m := s.meta(20, "browse")
		m.Fingerprint = 1
		effects := s.step(&event.OfferReceived{At: s.now, Request: 20, From: "entry-2", Meta: m})
		require.Equal(t, model.CauseCrashSuspect, effects[0].(*event.RefuseOffer).Cause, broken)
	}
}

// Neither the owner nor the ingress sends a request on to a third server after
// its connections broke.
func TestRequestThatBrokeTwoServersGoesNoFurther(t *testing.T) {
	s := newSession(t, threeServersText)
	d := dispatchOf(t, s.offer(1, "browse"))
	d = dispatchOf(t, s.attempt(1, d.Backend, event.AttemptStaleBroken))
	effects := s.attempt(1, d.Backend, event.AttemptBroken)
	require.Nil(t, firstDispatch(effects))
	require.Contains(t, effects, event.Effect(&event.RefuseOffer{Request: 1, Outcome: model.Unknown, Cause: model.CauseBroken}))
	require.False(t, otherOwnerMayServe(model.CauseBroken))
}

const threeServersText = sessionText + `
[backend shop-3]
service = shop
zone = north-a
address = 127.0.0.1:21003
slots = 1
`

// A broken connection is followed by a probe, and a refused one is the proof.
func TestRefusedProbeProvesACrash(t *testing.T) {
	s := newSession(t, threeServersText)
	first := dispatchOf(t, s.offer(1, "browse"))
	effects := s.attempt(1, first.Backend, event.AttemptStaleBroken)
	require.Contains(t, effects, event.Effect(&event.Probe{Backend: first.Backend}))
	second := dispatchOf(t, effects)
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	s.step(&event.ServerReported{At: s.now, Backend: first.Backend, Err: refused})
	s.now = s.now.Add(time.Millisecond)
	require.False(t, s.r.suspects.Blocked(s.now, 1))
	s.attempt(1, second.Backend, event.AttemptBroken)
	s.step(&event.ServerReported{At: s.now, Backend: second.Backend, Err: refused})
	require.True(t, s.r.suspects.Blocked(s.now, 1))
}
