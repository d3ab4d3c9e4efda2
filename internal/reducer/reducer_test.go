package reducer

import (
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestSessions compares the events and effects of whole sessions with golden files.
// Run it with -update to rewrite them.
func TestSessions(t *testing.T) {
	sessions := map[string]func(s *session){
		"read": func(s *session) {
			s.comment("a read is offered to this instance itself and served")
			s.arrive(1, "browse")
			s.offer(11, "browse")
			s.attempt(11, "shop-1", event.AttemptComplete)
			s.step(&event.RequestFinished{At: s.now, Request: 1, Outcome: model.Served})
		},
		"once": func(s *session) {
			s.comment("the key is claimed while the request holds an idle slot")
			s.offer(11, "order")
			s.claim(11, event.ClaimGranted)
			s.comment("a shed attempt provably did not run: another server under the same claim")
			s.attempt(11, "shop-1", event.AttemptShed)
			s.attempt(11, "shop-2", event.AttemptBroken)
			s.comment("every ledger answer that prevents the run")
			for i, result := range []event.ClaimResult{
				event.ClaimFinished, event.ClaimInProgress, event.ClaimCancelled, event.ClaimMismatch,
				event.ClaimUnavailable, event.ClaimUncertain, event.ClaimOverBudget,
			} {
				id := model.RequestID(20 + i)
				s.offer(id, "order")
				s.claim(id, result)
			}
			s.comment("the ingress withdraws the offer before the ledger has answered")
			s.offer(30, "order")
			s.step(&event.OfferWithdrawn{At: s.now, Request: 30})
			s.claim(30, event.ClaimGranted)
		},
		"slow-attempt": func(s *session) {
			s.comment("a read without an answer is retried on a new connection; the old attempt may have run")
			s.offer(11, "browse")
			s.step(&event.AttemptSlow{At: s.now, Request: 11, Backend: "shop-1"})
			s.attempt(11, "shop-1", event.AttemptCancelled)
			s.step(&event.AttemptSlow{At: s.now, Request: 11, Backend: "shop-1"})
			s.comment("the answer comes before the cancellation takes effect")
			s.attempt(11, "shop-2", event.AttemptComplete)
			s.comment("a slow once request is not cancelled or retried")
			s.offer(12, "order")
			s.claim(12, event.ClaimGranted)
			s.step(&event.AttemptSlow{At: s.now, Request: 12, Backend: "shop-1"})
		},
		"owner-lost": func(s *session) {
			s.comment("nothing was sent: another owner is asked; without one the outcome is not-run")
			s.arrive(1, "order")
			s.step(&event.OwnerLost{At: s.now, Request: 1, Owner: "entry-1"})
			s.wait(time.Second)
			s.comment("the offer may have arrived: the ledger decides the outcome of once requests")
			s.arrive(2, "order")
			s.step(&event.OwnerLost{At: s.now, Request: 2, Owner: "entry-1", Offered: true})
			s.step(&event.OnceRequestCancelled{At: s.now, Request: 2, Result: event.ClaimCancelled})
			s.wait(time.Second)
			s.arrive(3, "order")
			s.step(&event.OwnerLost{At: s.now, Request: 3, Owner: "entry-1", Offered: true})
			s.step(&event.OnceRequestCancelled{At: s.now, Request: 3, Result: event.ClaimInProgress})
			s.wait(time.Second)
			s.comment("a read that may have run is refused as unknown, never as not-run")
			s.arrive(4, "browse")
			s.step(&event.OwnerLost{At: s.now, Request: 4, Owner: "entry-1", Offered: true})
		},
		"crash": func(s *session) {
			s.comment("a reused connection breaks and its server refuses the probe: counted as a crash, and no other server is tried")
			s.offer(11, "browse")
			s.attempt(11, "shop-1", event.AttemptStaleBroken)
			s.probed("shop-1", syscall.ECONNREFUSED)
			s.comment("a connection breaks and the server answers the probe: another server is tried")
			s.offer(12, "browse")
			s.attempt(12, "shop-2", event.AttemptStaleBroken)
			s.probed("shop-2", nil)
			s.attempt(12, "shop-1", event.AttemptNotSent)
			s.wait(time.Second)
			s.comment("the first request crashes a second server too: it is refused from then on")
			s.offerLike(13, 11)
			s.attempt(13, "shop-2", event.AttemptStaleBroken)
			s.probed("shop-2", syscall.ECONNREFUSED)
			s.offerLike(14, 11)
			s.comment("a different request is still served")
			s.offer(15, "browse")
		},
		"planned-stop": func(s *session) {
			s.offer(11, "browse")
			s.comment("a planned stop of shop-1: no new requests are sent there, running ones complete")
			s.configure(2, sessionText, config.Stop{ID: "s1", Scope: config.StopBackend, Target: "shop-1"})
			s.offer(12, "browse")
			s.offer(13, "browse")
			s.attempt(11, "shop-1", event.AttemptComplete)
			s.attempt(12, "shop-2", event.AttemptComplete)
			s.comment("a lower revision is ignored")
			s.configure(1, sessionText)
		},
	}
	g := goldie.New(t)
	for name, run := range sessions {
		t.Run(name, func(t *testing.T) {
			s := newSession(t, sessionText)
			run(s)
			g.Assert(t, name, []byte(s.log.String()))
		})
	}
}

// TestOfferInvariants applies random events and checks that no offer ends
// twice, that the slots of a server are never exceeded, that a once request is
// never dispatched without its claim or again after an uncertain attempt, and that
// a request that may have run is never refused as not-run.
func TestOfferInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSession(t, sessionText)
		s.quiet = true
		checker := newOfferChecker(rt)
		next := model.RequestID(100)
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1:
				next++
				route := rapid.SampledFrom([]model.RouteName{"browse", "order"}).Draw(rt, "route")
				checker.offered[next] = route
				checker.observe(s.offer(next, route))
			case 2, 3:
				id, backend, ok := checker.anyRunning(rt)
				if ok {
					result := event.AttemptResult(rapid.IntRange(0, int(event.AttemptStaleBroken)).Draw(rt, "result"))
					checker.attemptEnded(id, result)
					checker.observe(s.attempt(id, backend, result))
				}
			case 4:
				id, ok := checker.anyClaiming(rt)
				if ok {
					result := event.ClaimResult(rapid.IntRange(0, int(event.ClaimOverBudget)).Draw(rt, "claim"))
					checker.claimed[id] = result == event.ClaimGranted
					delete(checker.claiming, id)
					checker.observe(s.claim(id, result))
				}
			case 5:
				id, ok := checker.anyOpen(rt)
				if ok {
					checker.observe(s.step(&event.OfferWithdrawn{At: s.now, Request: id}))
				}
			case 6:
				if id, backend, ok := checker.anyRunning(rt); ok {
					checker.observe(s.step(&event.AttemptSlow{At: s.now, Request: id, Backend: backend}))
				}
			case 7:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
				checker.observe(s.step(&event.Tick{At: s.now}))
			}
		}
	})
}

// TestSilentLinkIsReplaced checks that the link to a peer that falls silent while
// the link stays up is closed before it is reopened, and not left closed.
func TestSilentLinkIsReplaced(t *testing.T) {
	s := newSession(t, sessionText)
	s.quiet = true
	peer := membership.Record{ID: "entry-2", Zone: "north-a", LinkAddr: "127.0.0.1:9", Incarnation: 1, State: membership.Ready}
	s.step(&event.GossipReceived{At: s.now, From: peer.ID, Message: &membership.Message{Records: []membership.Record{peer}}})
	s.step(&event.LinkUp{At: s.now, Peer: peer.ID})
	opened := true
	replaced := false
	for range 200 {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, f := range s.step(&event.Tick{At: s.now}) {
			switch f := f.(type) {
			case *event.CloseLink:
				require.True(t, opened)
				opened = false
			case *event.OpenLink:
				replaced = replaced || f.Peer == peer.ID && !opened
				opened = true
			}
		}
		require.True(t, opened, "the link was closed for good")
	}
	require.True(t, replaced)
}

func TestStepAllocatesNothingForARead(t *testing.T) {
	s := newSession(t, sessionText)
	s.quiet = true
	read := newReadEvents(s)
	for range 1000 {
		read.run(s.r)
	}
	require.Zero(t, testing.AllocsPerRun(1000, func() { read.run(s.r) }))
}

// BenchmarkReducer measures the four events of one read, from arrival to end.
func BenchmarkReducer(b *testing.B) {
	s := newSession(b, sessionText)
	s.quiet = true
	read := newReadEvents(s)
	b.ReportAllocs()
	for b.Loop() {
		read.run(s.r)
	}
	b.ReportMetric(4*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// readEvents holds the events of one read at an instance that is both ingress and
// owner of the request.
type readEvents struct {
	arrived  event.RequestArrived
	offered  event.OfferReceived
	attempt  event.AttemptFinished
	finished event.RequestFinished
}

func newReadEvents(s *session) *readEvents {
	m := s.meta(1, "browse")
	m.Deadline = s.now.Add(time.Hour)
	return &readEvents{
		arrived:  event.RequestArrived{At: s.now, Request: 1, Meta: m},
		offered:  event.OfferReceived{At: s.now, Request: 2, From: "entry-1", Meta: m},
		attempt:  event.AttemptFinished{At: s.now, Request: 2, Result: event.AttemptComplete},
		finished: event.RequestFinished{At: s.now, Request: 1, Outcome: model.Served},
	}
}

func (e *readEvents) run(r *Reducer) {
	for _, at := range []*model.Instant{&e.arrived.At, &e.offered.At, &e.attempt.At, &e.finished.At} {
		*at = at.Add(100 * time.Microsecond)
	}
	r.Step(&e.arrived)
	for _, f := range r.Step(&e.offered) {
		if d, ok := f.(*event.Dispatch); ok {
			e.attempt.Backend = d.Backend
		}
	}
	r.Step(&e.attempt)
	r.Step(&e.finished)
}
