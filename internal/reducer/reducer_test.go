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

// TestSessions compares whole sessions, events in and effects out, with golden
// files. Run with -update to write them anew.
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
			s.comment("a claim is asked for while the request holds an idle slot")
			s.offer(11, "order")
			s.claim(11, event.ClaimGranted)
			s.comment("a shed attempt provably did not run: another server, same claim")
			s.attempt(11, "shop-1", event.AttemptShed)
			s.attempt(11, "shop-2", event.AttemptBroken)
			s.comment("every ledger answer that forbids the run")
			for i, result := range []event.ClaimResult{
				event.ClaimFinished, event.ClaimInProgress, event.ClaimCancelled, event.ClaimMismatch,
				event.ClaimUnavailable, event.ClaimUncertain, event.ClaimOverBudget,
			} {
				id := model.RequestID(20 + i)
				s.offer(id, "order")
				s.claim(id, result)
			}
			s.comment("the ingress gives up before the ledger has answered")
			s.offer(30, "order")
			s.step(&event.OfferWithdrawn{At: s.now, Request: 30})
			s.claim(30, event.ClaimGranted)
		},
		"slow-attempt": func(s *session) {
			s.comment("a read without an answer goes to a new connection; the old attempt may have run")
			s.offer(11, "browse")
			s.step(&event.AttemptSlow{At: s.now, Request: 11, Backend: "shop-1"})
			s.attempt(11, "shop-1", event.AttemptCancelled)
			s.step(&event.AttemptSlow{At: s.now, Request: 11, Backend: "shop-1"})
			s.comment("the answer comes before the cancellation takes effect")
			s.attempt(11, "shop-2", event.AttemptComplete)
			s.comment("once work is never tried twice")
			s.offer(12, "order")
			s.claim(12, event.ClaimGranted)
			s.step(&event.AttemptSlow{At: s.now, Request: 12, Backend: "shop-1"})
		},
		"owner-lost": func(s *session) {
			s.comment("nothing was sent: another owner, or not-run where there is none")
			s.arrive(1, "order")
			s.step(&event.OwnerLost{At: s.now, Request: 1, Owner: "entry-1"})
			s.wait(time.Second)
			s.comment("the offer may have arrived: the ledger decides for once work")
			s.arrive(2, "order")
			s.step(&event.OwnerLost{At: s.now, Request: 2, Owner: "entry-1", Offered: true})
			s.step(&event.ClaimSettled{At: s.now, Request: 2, Result: event.ClaimCancelled})
			s.wait(time.Second)
			s.arrive(3, "order")
			s.step(&event.OwnerLost{At: s.now, Request: 3, Owner: "entry-1", Offered: true})
			s.step(&event.ClaimSettled{At: s.now, Request: 3, Result: event.ClaimInProgress})
			s.wait(time.Second)
			s.comment("a read that may have run is never refused as not-run")
			s.arrive(4, "browse")
			s.step(&event.OwnerLost{At: s.now, Request: 4, Owner: "entry-1", Offered: true})
		},
		"crash": func(s *session) {
			s.comment("a reused connection breaks, and its server refuses the probe: a strike, and no other server is tried")
			s.offer(11, "browse")
			s.attempt(11, "shop-1", event.AttemptStaleBroken)
			s.probed("shop-1", syscall.ECONNREFUSED)
			s.comment("a connection breaks and the server answers the probe: another server")
			s.offer(12, "browse")
			s.attempt(12, "shop-2", event.AttemptStaleBroken)
			s.probed("shop-2", nil)
			s.attempt(12, "shop-1", event.AttemptNotSent)
			s.wait(time.Second)
			s.comment("the first request breaks the other server: refused from now on")
			s.same(13, 11)
			s.attempt(13, "shop-2", event.AttemptStaleBroken)
			s.probed("shop-2", syscall.ECONNREFUSED)
			s.same(14, 11)
			s.comment("another request is not refused for it")
			s.offer(15, "browse")
		},
		"planned-stop": func(s *session) {
			s.offer(11, "browse")
			s.comment("a planned stop of shop-1: nothing new goes there, what runs there ends")
			s.configure(2, sessionText, config.Stop{ID: "s1", Scope: config.StopBackend, Target: "shop-1"})
			s.offer(12, "browse")
			s.offer(13, "browse")
			s.attempt(11, "shop-1", event.AttemptComplete)
			s.attempt(12, "shop-2", event.AttemptComplete)
			s.comment("a lower revision changes nothing")
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

// TestEveryRequestEndsOnce drives random events and checks that each offer ends
// exactly once, that slots are never exceeded, that a once request is never
// dispatched without its claim or twice after an uncertain attempt, and that
// not-run is never said of a request that may have run.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSession(t, sessionText)
		s.quiet = true
		w := newWitness(rt)
		next := model.RequestID(100)
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1:
				next++
				route := rapid.SampledFrom([]model.RouteName{"browse", "order"}).Draw(rt, "route")
				w.offered[next] = route
				w.see(s.offer(next, route))
			case 2, 3:
				id, backend, ok := w.anyRunning(rt)
				if ok {
					result := event.AttemptResult(rapid.IntRange(0, int(event.AttemptStaleBroken)).Draw(rt, "result"))
					w.ended(id, result)
					w.see(s.attempt(id, backend, result))
				}
			case 4:
				id, ok := w.anyClaiming(rt)
				if ok {
					result := event.ClaimResult(rapid.IntRange(0, int(event.ClaimOverBudget)).Draw(rt, "claim"))
					w.claimed[id] = result == event.ClaimGranted
					delete(w.claiming, id)
					w.see(s.claim(id, result))
				}
			case 5:
				id, ok := w.anyOpen(rt)
				if ok {
					w.see(s.step(&event.OfferWithdrawn{At: s.now, Request: id}))
				}
			case 6:
				if id, backend, ok := w.anyRunning(rt); ok {
					w.see(s.step(&event.AttemptSlow{At: s.now, Request: id, Backend: backend}))
				}
			case 7:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
				w.see(s.step(&event.Tick{At: s.now}))
			}
		}
	})
}

// TestASilentLinkIsReplaced goes through every effect of a peer that falls
// silent while its link stays up: the link is closed before it is opened anew.
func TestASilentLinkIsReplaced(t *testing.T) {
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

// BenchmarkReducer measures one read from arrival to end: four events.
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

// readEvents are the events of one read at an instance that is both its ingress
// and its owner.
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
