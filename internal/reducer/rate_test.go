package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestServerThatNamesARateGetsNoMore has servers in need that name a rate while reads wait for
// them, and that then name it no longer.
func TestServerThatNamesARateGetsNoMore(t *testing.T) {
	const perSecond, runTime, step = 2, 20 * time.Millisecond, 10 * time.Millisecond
	s := newSession(t, sessionText)
	var started []model.Instant
	ends := map[model.Instant][]*event.Dispatch{}
	rated := true
	play := func(length time.Duration) {
		for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
			var effects []event.Effect
			for _, d := range ends[s.now] {
				finished := &event.AttemptFinished{At: s.now, Request: d.Request, Backend: d.Backend, Result: event.AttemptComplete}
				finished.Rate, finished.RateNamed = perSecond, rated
				effects = append(effects, s.step(finished)...)
			}
			delete(ends, s.now)
			effects = append(effects, s.step(&event.Tick{At: s.now})...)
			effects = append(effects, s.offer(model.RequestID(100+len(s.metas)), "browse")...)
			for _, effect := range effects {
				if d, ok := effect.(*event.Dispatch); ok {
					copied := *d
					ends[s.now.Add(runTime)] = append(ends[s.now.Add(runTime)], &copied)
					started = append(started, s.now)
				}
			}
		}
	}
	play(time.Second)
	from := len(started)
	play(10 * time.Second)
	const servers = 2
	sent := len(started) - from
	require.LessOrEqual(t, sent, servers*(perSecond*10+perSecond))
	require.Greater(t, sent, servers*perSecond*10/2)
	rated = false
	play(2 * time.Second)
	from = len(started)
	play(time.Second)
	require.Greater(t, len(started)-from, 40, "the rate has ended")
}
