package reducer

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// An ejection and failed probes of a server concern new requests; attempts that run at it
// must not be cancelled.
func TestEjectionDoesNotCancelRunningAttempt(t *testing.T) {
	const running = 3
	s := newSession(t, strings.ReplaceAll(sessionText, "slots = 1", "slots = 4"))
	at := make(map[model.BackendName]bool)
	for id := model.RequestID(1); id <= running; id++ {
		at[dispatchOf(t, s.offer(id, "browse")).Backend] = true
	}
	var effects []event.Effect
	for id := model.RequestID(running + 1); s.ejected() == ""; id++ {
		require.Less(t, id, model.RequestID(100), "no server is ejected")
		offered := s.offer(id, "browse")
		for d := firstDispatch(offered); d != nil; d = firstDispatch(offered) {
			effects = append(effects, s.probed(d.Backend, syscall.ECONNREFUSED)...)
			offered = s.attempt(id, d.Backend, event.AttemptNotSent)
			effects = append(effects, offered...)
		}
		s.now = s.now.Add(time.Millisecond)
	}
	require.True(t, at[s.ejected()], "an attempt runs at %s", s.ejected())
	for id := model.RequestID(1); id <= running; id++ {
		require.NotContains(t, effects, event.Effect(&event.CancelAttempt{Request: id}))
	}
}

// ejected returns a server that gets no requests, if there is one.
func (s *session) ejected() model.BackendName {
	for _, server := range s.r.Servers(s.now) {
		if server.Limit == 0 {
			return server.Backend.Name
		}
	}
	return ""
}
