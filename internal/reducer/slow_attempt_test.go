package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// firstDispatch returns the first dispatch among effects, or nil.
func firstDispatch(effects []event.Effect) *event.Dispatch {
	for _, f := range effects {
		if d, ok := f.(*event.Dispatch); ok {
			return d
		}
	}
	return nil
}

// dispatchOf returns the dispatch among effects and requires that there is exactly
// one.
func dispatchOf(t testing.TB, effects []event.Effect) event.Dispatch {
	t.Helper()
	var found []event.Dispatch
	for _, f := range effects {
		if d, ok := f.(*event.Dispatch); ok {
			found = append(found, *d)
		}
	}
	require.Len(t, found, 1)
	return found[0]
}

// A read whose pooled connection stays silent must be retried on another server
// over a new connection, and the pooled connections to the first server must be
// closed.
func TestSilentReadMovesToNewConnection(t *testing.T) {
	s := newSession(t, sessionText)
	first := s.offer(1, "browse")
	require.Equal(t, 500*time.Millisecond, dispatchOf(t, first).SlowAfter, "no run times known for the route: half of the time left")
	s.now = s.now.Add(20 * time.Millisecond)
	s.attempt(1, dispatchOf(t, first).Backend, event.AttemptComplete)

	again := dispatchOf(t, s.offer(2, "browse"))
	require.GreaterOrEqual(t, again.SlowAfter, minSlowAfter)
	require.False(t, again.FreshConnection)
	s.now = s.now.Add(again.SlowAfter)
	effects := s.step(&event.AttemptSlow{At: s.now, Request: 2, Backend: again.Backend})
	require.Contains(t, effects, event.Effect(&event.ClosePooledConnections{Backend: again.Backend}))
	require.Contains(t, effects, event.Effect(&event.CancelAttempt{Request: 2}))
	effects = s.attempt(2, again.Backend, event.AttemptCancelled)
	third := dispatchOf(t, effects)
	require.NotEqual(t, again.Backend, third.Backend)
	require.True(t, third.FreshConnection)
}

// A slow read must not be cancelled for a replacement that cannot be made or cannot be
// answered in time: its caller would lose the answer that the server is working on.
func TestSlowReadIsNotCancelledForAReplacementInVain(t *testing.T) {
	t.Run("too late", func(t *testing.T) {
		s := newSession(t, sessionText)
		for id := model.RequestID(1); id <= 20; id++ {
			d := dispatchOf(t, s.offer(id, "browse"))
			s.wait(600 * time.Millisecond) // of a deadline of 1 s
			s.attempt(id, d.Backend, event.AttemptComplete)
		}
		s.requireNotReplaced(100, func() {})
	})
	t.Run("no usable server", func(t *testing.T) {
		s := newSession(t, sessionText)
		s.requireNotReplaced(100, func() {
			s.configure(2, sessionText,
				config.Stop{ID: "stop-1", Scope: config.StopBackend, Target: "shop-1", At: s.now.Time()},
				config.Stop{ID: "stop-2", Scope: config.StopBackend, Target: "shop-2", At: s.now.Time()})
		})
	})
}

// requireNotReplaced offers a read whose attempt becomes slow after something has happened.
func (s *session) requireNotReplaced(id model.RequestID, happens func()) {
	d := dispatchOf(s.t, s.offer(id, "browse"))
	happens()
	s.wait(d.SlowAfter)
	require.NotContains(s.t, s.step(&event.AttemptSlow{At: s.now, Request: id, Backend: d.Backend}),
		event.Effect(&event.CancelAttempt{Request: id}))
}

// A slow once request must not be cancelled: it was sent on a new connection and
// must not run twice.
func TestSlowOnceRequestIsNotCancelled(t *testing.T) {
	s := newSession(t, sessionText)
	s.offer(1, "order")
	d := dispatchOf(t, s.claim(1, event.ClaimGranted))
	require.True(t, d.FreshConnection)
	require.Zero(t, d.SlowAfter)
	require.Empty(t, s.step(&event.AttemptSlow{At: s.now, Request: 1, Backend: d.Backend}))
}

// A stopping instance must not break off work that may still be answered.
func TestSlowReadIsNotCancelledDuringShutdown(t *testing.T) {
	s := newSession(t, sessionText)
	d := dispatchOf(t, s.offer(1, "browse"))
	s.step(&event.ShutdownRequested{At: s.now})
	s.now = s.now.Add(d.SlowAfter)
	require.NotContains(t, s.step(&event.AttemptSlow{At: s.now, Request: 1, Backend: d.Backend}),
		event.Effect(&event.CancelAttempt{Request: 1}))
}

// An instance that reaches its own connection limit must not eject servers, while
// failed connections do eject them.
func TestOwnConnectionLimitEjectsNoServer(t *testing.T) {
	for _, ownLimit := range []bool{false, true} {
		s := newSession(t, sessionText)
		for id := model.RequestID(1); id <= 4; id++ {
			effects := s.offer(id, "browse")
			for d := firstDispatch(effects); d != nil; d = firstDispatch(effects) {
				effects = s.step(&event.AttemptFinished{
					At: s.now, Request: id, Backend: d.Backend, Result: event.AttemptNotSent, OwnLimit: ownLimit,
				})
			}
			s.now = s.now.Add(time.Millisecond)
		}
		ejected := 0
		for _, server := range s.r.Servers(s.now) {
			if server.Limit == 0 {
				ejected++
			}
		}
		require.Equal(t, !ownLimit, ejected > 0)
	}
}
