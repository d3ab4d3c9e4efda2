package reducer

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// offerUntilRefused offers reads until one is dispatched to backend, whose refused
// connection it then reports. The reads complete on other servers.
func (s *session) offerUntilRefused(backend model.BackendName) {
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

// A request that broke its connections to two servers, both of which then refused
// connections, must be refused by the owner. New and reused connections count
// alike.
func TestCrashingRequestIsRefusedAfterTwoServers(t *testing.T) {
	for _, broken := range []event.AttemptResult{event.AttemptBroken, event.AttemptStaleBroken} {
		s := newSession(t, sessionText)
		crash := dispatchOf(t, s.offer(1, "browse"))
		s.now = s.now.Add(10 * time.Millisecond)
		s.attempt(1, crash.Backend, broken)
		again := dispatchOf(t, s.probed(crash.Backend, nil))
		require.NotEqual(t, crash.Backend, again.Backend)
		s.now = s.now.Add(10 * time.Millisecond)
		s.attempt(1, again.Backend, broken)
		s.probed(again.Backend, nil)
		s.offerUntilRefused(crash.Backend)
		s.offerUntilRefused(again.Backend)
		s.now = s.now.Add(100 * time.Millisecond)
		m := s.meta(20, "browse")
		m.Fingerprint = 1
		effects := s.step(&event.OfferReceived{At: s.now, Request: 20, From: "entry-2", Meta: m})
		require.Equal(t, model.CauseCrashSuspect, effects[0].(*event.RefuseOffer).Cause, broken)
	}
}

// After a request's connections to two servers broke, neither the owner nor the
// ingress may send it to a third server, which it might crash too.
func TestNoThirdServerAfterTwoBrokenConnections(t *testing.T) {
	s := newSession(t, threeServersText)
	d := dispatchOf(t, s.offer(1, "browse"))
	s.attempt(1, d.Backend, event.AttemptStaleBroken)
	d = dispatchOf(t, s.probed(d.Backend, nil))
	s.attempt(1, d.Backend, event.AttemptBroken)
	effects := s.probed(d.Backend, nil)
	require.Nil(t, firstDispatch(effects))
	require.Contains(t, effects, event.Effect(&event.RefuseOffer{Request: 1, Outcome: model.Unknown, Cause: model.CauseConnectionBroken}))
	require.False(t, otherOwnerMayServe(model.CauseConnectionBroken))
}

const threeServersText = sessionText + `
[backend shop-3]
service = shop
zone = north-a
address = 127.0.0.1:21003
slots = 1
`

// A broken connection triggers a probe of the server, and a refused probe proves a
// crash. The request is sent to no other server before the probe's result or after
// a refused probe. Crashes of two servers block the request.
func TestRefusedProbeProvesCrash(t *testing.T) {
	s := newSession(t, threeServersText)
	first := dispatchOf(t, s.offer(1, "browse"))
	effects := s.attempt(1, first.Backend, event.AttemptStaleBroken)
	require.Contains(t, effects, event.Effect(&event.Probe{Backend: first.Backend}))
	require.Nil(t, firstDispatch(effects), "nothing is sent before the probe's result")
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	effects = s.probed(first.Backend, refused)
	require.Nil(t, firstDispatch(effects), "the request may have crashed the server")
	require.Contains(t, effects, event.Effect(&event.RefuseOffer{Request: 1, Outcome: model.Unknown, Cause: model.CauseConnectionBroken}))
	s.now = s.now.Add(time.Millisecond)
	require.False(t, s.r.suspects.Blocked(s.now, 1))
	m := s.meta(2, "browse")
	m.Fingerprint = 1
	second := dispatchOf(t, s.step(&event.OfferReceived{At: s.now, Request: 2, From: "entry-2", Meta: m}))
	s.attempt(2, second.Backend, event.AttemptBroken)
	s.probed(second.Backend, refused)
	require.True(t, s.r.suspects.Blocked(s.now, 1))
}

// A request that waits for a probe must end even if the probe's result never
// arrives.
func TestParkedRequestEndsWithoutProbeReport(t *testing.T) {
	s := newSession(t, threeServersText)
	first := dispatchOf(t, s.offer(1, "browse"))
	s.attempt(1, first.Backend, event.AttemptBroken)
	s.now = s.now.Add(parkTimeout + time.Millisecond)
	effects := s.step(&event.Tick{At: s.now})
	require.Contains(t, effects, event.Effect(&event.RefuseOffer{Request: 1, Outcome: model.Unknown, Cause: model.CauseConnectionBroken}))
}

// TestRequestWhoseServersFallSilentIsRefused has servers that lose their power beneath a
// request, so that no connection breaks and none is refused.
func TestRequestWhoseServersFallSilentIsRefused(t *testing.T) {
	s := newSession(t, threeServersText)
	for id := model.RequestID(1); id <= 2; id++ {
		s.now = s.now.Add(10 * time.Millisecond)
		m := s.meta(id, "browse")
		m.Fingerprint = 1
		sent := dispatchOf(t, s.step(&event.OfferReceived{At: s.now, Request: id, From: "entry-2", Meta: m}))
		s.now = s.now.Add(100 * time.Millisecond)
		s.step(&event.ServerReported{At: s.now, Backend: sent.Backend, Err: errors.New("dial: timeout"), Unreachable: true})
		s.attempt(id, sent.Backend, event.AttemptTimeout)
		require.True(t, s.r.suspects.HasStrike(s.now, 1), "request %d", id)
	}
	require.True(t, s.r.suspects.Blocked(s.now, 1))
}
