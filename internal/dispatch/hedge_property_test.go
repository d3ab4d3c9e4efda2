package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// hedgedCall is what an instance knows of a request in TestHedgesInAnyOrder.
type hedgedCall struct {
	running  []*Send
	last     int // number of the latest attempt
	reached  int // attempts that may have reached a server
	ran      bool
	answered bool
	failed   bool // a failure is held
	refused  bool
}

// TestHedgesInAnyOrder plays attempts, health checks and answers in random order. It guards
// against requests that are refused or forgotten while an attempt runs, reach more servers
// than their route allows, are told not to have run, or stay counted at a server.
func TestHedgesInAnyOrder(t *testing.T) {
	results := []event.AttemptResult{
		event.AttemptComplete, event.AttemptFailed, event.AttemptNotSent, event.AttemptShed, event.AttemptBroken,
		event.AttemptStaleBroken, event.AttemptTruncated, event.AttemptTimeout, event.AttemptCancelled,
	}
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		route := testRoute()
		route.Attempts = 1 + random.IntN(4)
		if random.IntN(4) == 0 {
			route.Kind = model.Once
		}
		d := newDispatcher(route)
		servers := slices.Sorted(maps.Keys(d.servers))
		c, now := &hedgedCall{}, start
		begin := func(s *Send) {
			require.Greater(t, s.Attempt, c.last, "seed %d", seed)
			c.last = s.Attempt
			c.running = append(c.running, s)
			c.reached++
		}
		apply := func(effects []Effect, mustDecide bool) {
			decided := 0
			for _, f := range effects {
				switch f := f.(type) {
				case *Hedge:
					require.True(t, route.Kind.Repeatable(), "seed %d", seed)
					require.Len(t, c.running, 1, "seed %d", seed)
					require.False(t, c.answered || c.failed || c.refused, "seed %d: the request has ended", seed)
					begin(f.Send)
				case *Send:
					require.Empty(t, c.running, "seed %d", seed)
					begin(f)
					decided++
				case *PassOn:
					require.Empty(t, c.running, "seed %d: an attempt is running", seed)
					require.True(t, c.failed && !c.answered, "seed %d", seed)
					c.answered = true
					decided++
				case *Refuse:
					require.False(t, c.failed, "seed %d", seed)
					require.Empty(t, c.running, "seed %d: an attempt is running", seed)
					require.Equal(t, c.ran, f.Outcome == model.Unknown, "seed %d", seed)
					c.refused = true
					decided++
				}
			}
			require.Equal(t, mustDecide, decided == 1, "seed %d: %d decisions", seed, decided)
			require.LessOrEqual(t, c.reached, route.Attempts, "seed %d", seed)
		}
		apply(d.Step(&RequestArrived{At: now, Request: 1, Host: "shop.example", Path: "/browse/x", Affinity: "k", Replayable: true}), true)
		for !c.answered && !c.refused {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			s := c.running[random.IntN(len(c.running))]
			switch random.IntN(5) {
			case 2:
				apply(d.Step(&Tick{At: now}), false)
				continue
			case 0:
				apply(d.Step(&ServerProbed{At: now, Server: s.Server.ID, Reached: random.IntN(4) == 0}), false)
				continue
			case 1:
				for _, id := range servers {
					if random.IntN(2) == 0 {
						apply(d.Step(&ServerProbed{At: now, Server: id, Reached: true, Healthy: true}), false)
					}
				}
				continue
			}
			result := results[random.IntN(len(results))]
			c.running = slices.DeleteFunc(c.running, func(other *Send) bool { return other == s })
			held := result == event.AttemptFailed && random.IntN(2) == 0
			switch result {
			case event.AttemptComplete, event.AttemptFailed:
				c.answered = !held
				c.failed = c.failed || held
			case event.AttemptNotSent:
				c.reached--
			case event.AttemptShed:
			default:
				c.ran = true
			}
			apply(d.Step(&AttemptEnded{At: now, Request: 1, Attempt: s.Attempt, Result: result, Held: held}), !c.answered && len(c.running) == 0)
		}
		if c.answered {
			for _, id := range servers {
				apply(d.Step(&ServerProbed{At: now, Server: id}), false)
			}
			d.Step(&RequestEnded{At: now, Request: 1})
		}
		for _, s := range c.running {
			apply(d.Step(&AttemptEnded{At: now, Request: 1, Attempt: s.Attempt, Result: event.AttemptCancelled}), false)
		}
		require.Empty(t, d.requests, "seed %d", seed)
		for _, s := range d.servers {
			require.Zero(t, s.inFlight, "seed %d", seed)
		}
	}
}
