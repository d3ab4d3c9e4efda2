package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestServerIsNotFloodedAfterItsPause has a server refuse one request of each instance with a
// Retry-After. Nothing may reach it before, and then one request of an instance at a time.
func TestServerIsNotFloodedAfterItsPause(t *testing.T) {
	const pause, instances = 2 * time.Second, 20
	fleet, _ := largeFleet(instances, configuration(1, testRoute()))
	id := model.RequestID(0)
	var back []model.Instant
	for _, d := range fleet {
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: testServer("only", "north-a", "shop")}})
		id++
		sent := requireSend(t, arrive(d, start, id, "k"))
		d.Step(&AttemptEnded{At: start, Request: id, Attempt: sent.Attempt, Result: event.AttemptShed, Report: ServerReport{RetryAfter: pause}})
		for now := start.Add(10 * time.Millisecond); ; now = now.Add(10 * time.Millisecond) {
			id++
			effect := arrive(d, now, id, "k")
			if refuse, ok := effect.(*Refuse); ok {
				require.Positive(t, refuse.RetryAfter)
				require.LessOrEqual(t, refuse.RetryAfter, scale(pause, 1+maxPauseSpread))
				continue
			}
			back = append(back, now)
			second := arrive(d, now, id+1, "k")
			requireRefuse(t, second, model.NotRun, model.CauseQueueFull)
			endAttempt(d, now, id, event.AttemptComplete)
			id += 2
			requireSend(t, arrive(d, now, id, "k"))
			break
		}
	}
	require.GreaterOrEqual(t, slices.Min(back).Sub(start), pause)
	require.Greater(t, slices.Max(back).Sub(slices.Min(back)), 300*time.Millisecond, "not all at once")
	require.LessOrEqual(t, slices.Max(back).Sub(start), scale(pause, 1+maxPauseSpread)+20*time.Millisecond)
}

// TestNoHealthCheckDuringAPause has an ejected server that wants nothing.
func TestNoHealthCheckDuringAPause(t *testing.T) {
	d := newDispatcher(testRoute())
	id := model.BackendName("shop-north-a")
	d.servers[id].ejectedUntil = start
	require.Len(t, probedServers(d.Step(&Tick{At: start})), 1)
	d.Step(&ServerProbed{At: start, Server: id, Reached: true, Report: ServerReport{RetryAfter: 3 * time.Second}})
	for now := start; now < at(3*time.Second); now = now.Add(100 * time.Millisecond) {
		require.Empty(t, probedServers(d.Step(&Tick{At: now})))
	}
	require.Len(t, probedServers(d.Step(&Tick{At: at(4 * time.Second)})), 1)
}

// TestServerThatLeavesIsKeptOut has a server say that it leaves in different answers, while its
// entry says that it is ready.
func TestServerThatLeavesIsKeptOut(t *testing.T) {
	id := model.BackendName("shop-north-a")
	says := map[string]func(d *Dispatcher, s *server){
		"answer": func(d *Dispatcher, s *server) {
			sent := requireSend(t, arrive(d, start, 1, "k"))
			d.Step(&AttemptEnded{At: start, Request: 1, Attempt: sent.Attempt, Result: event.AttemptComplete, Draining: true})
		},
		"head of an answer": func(d *Dispatcher, s *server) { d.Step(&TermsNamed{At: start, Server: s.entry, Draining: true}) },
		"refusal": func(d *Dispatcher, s *server) {
			sent := requireSend(t, arrive(d, start, 1, "k"))
			d.Step(&AttemptEnded{At: start, Request: 1, Attempt: sent.Attempt, Result: event.AttemptShed, Draining: true})
		},
		"health check": func(d *Dispatcher, s *server) {
			d.Step(&ServerProbed{At: start, Server: id, Reached: true, Draining: true})
		},
		"peer": func(d *Dispatcher, s *server) {
			d.Step(&TermsReceived{At: start, Terms: []membership.ServerTerms{{
				Server: id, Incarnation: s.entry.Incarnation(), Terms: membership.Terms{Leaving: true}, At: start,
			}}})
		},
	}
	for name, say := range says {
		t.Run(name, func(t *testing.T) {
			d := New(testSettings("north"))
			d.Step(&InstancesCounted{At: start, Instances: 1})
			d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: configuration(1, testRoute())}})
			entry := testServer(string(id), "north-a", "shop")
			d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: entry}})
			say(d, d.servers[id])
			requireRefuse(t, arrive(d, at(time.Second), 2, "k"), model.NotRun, model.CauseNoBackend)
			entry.Sequence++
			d.Step(&CatalogChanged{At: at(time.Second), Change: &catalog.ServerChange{Server: entry}})
			requireRefuse(t, arrive(d, at(time.Second), 3, "k"), model.NotRun, model.CauseNoBackend)
			require.True(t, d.Terms(at(time.Second))[0].Terms.Leaving, "peers are told")

			next := entry
			next.StartedMillis++
			d.Step(&CatalogChanged{At: at(2 * time.Second), Change: &catalog.ServerChange{Server: next}})
			requireSend(t, arrive(d, at(2*time.Second), 4, "k"))
		})
	}
}

// TestTermsOfAServerThatIsNotListedYetAreKept has a starting instance that hears of a server
// before it has read the store.
func TestTermsOfAServerThatIsNotListedYetAreKept(t *testing.T) {
	d := newDispatcher(testRoute())
	entry := testServer("late", "north-a", "shop")
	d.Step(&TermsReceived{At: start, Terms: []membership.ServerTerms{{
		Server: "late", Incarnation: entry.Incarnation(), Terms: membership.Terms{Leaving: true}, At: start,
	}}})
	d.Step(&CatalogChanged{At: at(time.Second), Change: &catalog.ServerChange{Server: entry}})
	require.True(t, d.servers["late"].leaves())
	for i := range 2 * maxUnlistedTerms {
		d.Step(&TermsReceived{At: start, Terms: []membership.ServerTerms{{Server: "gone", Incarnation: fmt.Sprint(i), At: start}}})
	}
	require.Len(t, d.unlistedTerms, maxUnlistedTerms)
	d.Step(&Tick{At: at(time.Hour)})
	require.Empty(t, d.unlistedTerms)
}
