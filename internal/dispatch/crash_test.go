package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// crashFleet replays requests at instances whose view of crashing requests is exchanged
// after each request.
type crashFleet struct {
	t         *testing.T
	instances []*Dispatcher
	now       model.Instant
	lastID    model.RequestID
	down      map[model.BackendName]model.Instant // until when a server refuses connections
	crashes   int
}

func newCrashFleet(t *testing.T, instances int) *crashFleet {
	f := &crashFleet{t: t, now: start, down: map[model.BackendName]model.Instant{}}
	for range instances {
		f.instances = append(f.instances, newDispatcher(testRoute()))
	}
	return f
}

// send sends a request through an instance and returns the refusal, or nil if the request
// was answered. A request that crashes servers breaks its connection at once.
func (f *crashFleet) send(instance int, fingerprint uint64, crashes bool) *Refuse {
	d := f.instances[instance]
	f.lastID++
	id := f.lastID
	effects := d.Step(&RequestArrived{
		At: f.now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: fmt.Sprint(fingerprint), Replayable: true, Fingerprint: fingerprint,
	})
	for {
		next := requestEffect(effects)
		probes := probedServers(effects)
		f.now = f.now.Add(time.Millisecond)
		for _, server := range probes {
			refused := f.now < f.down[server]
			d.Step(&ServerProbed{At: f.now, Server: server, Healthy: !refused, Reached: !refused, Refused: refused})
		}
		switch next := next.(type) {
		case *Refuse:
			return next
		case nil:
			return nil
		case *Send:
			effects = d.Step(f.attempt(id, next, crashes))
		}
	}
}

func (f *crashFleet) attempt(id model.RequestID, s *Send, crashes bool) *AttemptEnded {
	ended := &AttemptEnded{At: f.now, Request: id, Attempt: s.Attempt, Result: event.AttemptComplete}
	switch {
	case f.now < f.down[s.Server.ID]:
		ended.Result, ended.Refused = event.AttemptNotSent, true
	case crashes:
		f.crashes++
		f.down[s.Server.ID] = f.now.Add(2 * time.Second)
		ended.Result = event.AttemptBroken
	}
	return ended
}

// gossip passes what each instance suspects to all others.
func (f *crashFleet) gossip() {
	for _, from := range f.instances {
		suspects := from.Suspects(f.now)
		for _, to := range f.instances {
			to.Step(&SuspectsReceived{At: f.now, Suspects: suspects})
		}
	}
}

func (f *crashFleet) pass(d time.Duration) {
	f.now = f.now.Add(d)
	for _, d := range f.instances {
		for _, server := range probedServers(d.Step(&Tick{At: f.now})) {
			refused := f.now < f.down[server]
			d.Step(&ServerProbed{At: f.now, Server: server, Healthy: !refused, Reached: !refused, Refused: refused})
		}
	}
}

func probedServers(effects []Effect) []model.BackendName {
	var servers []model.BackendName
	for _, f := range effects {
		if p, ok := f.(*Probe); ok {
			servers = append(servers, p.Server.ID)
		}
	}
	return servers
}

// TestRequestThatCrashesServersIsRefusedByTheFleet guards against a request that its caller
// sends again and again, and that takes down one server after the other.
func TestRequestThatCrashesServersIsRefusedByTheFleet(t *testing.T) {
	f := newCrashFleet(t, 7)
	const poison = 4711
	for i := range 40 {
		f.send(i%7, poison, true)
		f.gossip()
		f.pass(300 * time.Millisecond)
	}
	require.LessOrEqual(t, f.crashes, 4, "two by the first request and its retry, then one at a time")
	for i := range f.instances {
		refused := f.send(i, poison, true)
		require.NotNil(t, refused)
		require.Zero(t, refused.RetryAfter)
		require.Equal(t, model.NotRun, refused.Outcome)
		require.Equal(t, model.CauseCrashSuspect, refused.Cause)
		require.Nil(t, f.send(i, 1, false), "other requests are served")
	}
}

// TestRequestsAtCrashedServersAreServedAgain covers servers that crash by themselves, one
// after the other, beneath the same requests.
func TestRequestsAtCrashedServersAreServedAgain(t *testing.T) {
	f := newCrashFleet(t, 3)
	servers := []model.BackendName{"shop-north-a", "shop-north-b", "shop-south-a", "shop-south-b"}
	for i := range 60 {
		// The server takes down the requests that it runs, then refuses connections.
		crashing := servers[i%len(servers)]
		d := f.instances[i%3]
		fingerprint := uint64(i % 5)
		f.lastID++
		id := f.lastID
		sent := requireSend(t, requestEffect(d.Step(&RequestArrived{
			At: f.now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: fmt.Sprint(fingerprint), Replayable: true, Fingerprint: fingerprint,
		})))
		if sent.Server.ID != crashing {
			d.Step(&AttemptEnded{At: f.now, Request: id, Attempt: sent.Attempt, Result: event.AttemptComplete})
		} else {
			f.down[crashing] = f.now.Add(time.Second)
			effects := d.Step(&AttemptEnded{At: f.now, Request: id, Attempt: sent.Attempt, Result: event.AttemptBroken})
			second := requireSend(t, requestEffect(effects))
			for _, server := range probedServers(effects) {
				d.Step(&ServerProbed{At: f.now, Server: server, Refused: true})
			}
			d.Step(&AttemptEnded{At: f.now, Request: id, Attempt: second.Attempt, Result: event.AttemptComplete})
		}
		f.gossip()
		f.pass(1500 * time.Millisecond)
	}
}

// TestBrokenConnectionOfServerThatAcceptsIsNoStrike covers a connection that something else
// than a crash has broken.
func TestBrokenConnectionOfServerThatAcceptsIsNoStrike(t *testing.T) {
	d := newDispatcher(testRoute())
	for id := model.RequestID(1); id < 20; id++ {
		now := at(time.Duration(id) * 3 * time.Second)
		sent := requireSend(t, requestEffect(d.Step(&RequestArrived{
			At: now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: "k", Fingerprint: 1,
		})))
		for _, server := range probedServers(d.Step(&AttemptEnded{At: now, Request: id, Attempt: sent.Attempt, Result: event.AttemptStaleBroken, BodyNotReplayable: true})) {
			d.Step(&ServerProbed{At: now, Server: server, Healthy: true, Reached: true})
		}
	}
	require.Empty(t, d.Suspects(at(time.Minute)))
}

// TestTruncatedAnswersOfRunningServersAreNoStrike covers a faulty server that truncates its answers:
// the requests are sent to another server, and none is suspected.
func TestTruncatedAnswersOfRunningServersAreNoStrike(t *testing.T) {
	d := newDispatcher(testRoute())
	answerChecks := func(now model.Instant, effects []Effect) {
		for _, server := range probedServers(effects) {
			d.Step(&ServerProbed{At: now, Server: server, Healthy: true, Reached: true})
		}
	}
	for id := model.RequestID(1); id < 20; id++ {
		now := at(time.Duration(id) * time.Second)
		answerChecks(now, d.Step(&Tick{At: now}))
		sent := requireSend(t, requestEffect(d.Step(&RequestArrived{
			At: now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: "1", Replayable: true, Fingerprint: uint64(id),
		})))
		effects := d.Step(&AttemptEnded{At: now, Request: id, Attempt: sent.Attempt, Result: event.AttemptTruncated, HeadAt: now, Report: ServerReport{HasLoad: true}})
		second := requireSend(t, requestEffect(effects))
		answerChecks(now, effects)
		require.Empty(t, d.Suspects(now))
		d.Step(&AttemptEnded{At: now, Request: id, Attempt: second.Attempt, Result: event.AttemptComplete})
	}
}

// TestRequestsAtFailingZoneAreNotBlocked guards against refusing a sound request that was
// retried at another server just before that one lost its power too.
func TestRequestsAtFailingZoneAreNotBlocked(t *testing.T) {
	f := newCrashFleet(t, 2)
	const sound = 9
	require.NotNil(t, f.send(0, sound, true), "both servers fail beneath it")
	require.Equal(t, 2, f.crashes)
	require.Positive(t, f.send(0, sound, false).RetryAfter, "not at once")
	f.gossip()
	f.pass(10 * time.Second)
	for i := range f.instances {
		require.Nil(t, f.send(i, sound, false))
	}
}

// TestRequestThatCrashesOneServerAgainAndAgainIsRefused guards against a request whose only
// server starts again under its identifier after each crash.
func TestRequestThatCrashesOneServerAgainAndAgainIsRefused(t *testing.T) {
	d := New(testSettings("north"))
	d.Step(&InstancesCounted{At: start, Instances: 1})
	d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: configuration(1, testRoute())}})
	crashes := 0
	for round := range 6 {
		now := at(time.Duration(round) * 10 * time.Second)
		entry := testServer("only", "north-a", "shop")
		entry.StartedMillis = int64(1 + round)
		d.Step(&CatalogChanged{At: now, Change: &catalog.ServerChange{Server: entry}})
		id := model.RequestID(round + 1)
		sent, ok := requestEffect(d.Step(&RequestArrived{At: now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: "k", Fingerprint: 1})).(*Send)
		if !ok {
			continue
		}
		crashes++
		for _, server := range probedServers(d.Step(&AttemptEnded{At: now, Request: id, Attempt: sent.Attempt, Result: event.AttemptBroken})) {
			d.Step(&ServerProbed{At: now, Server: server, Refused: true})
		}
	}
	require.Equal(t, 2, crashes)
}

// TestRequestThatWasAnsweredLongAgoIsRefusedOnceItCrashesServers guards against a request whose
// equal was answered by a server before.
func TestRequestThatWasAnsweredLongAgoIsRefusedOnceItCrashesServers(t *testing.T) {
	f := newCrashFleet(t, 7)
	const poison = 4711
	for i := range f.instances {
		require.Nil(t, f.send(i, poison, false))
	}
	f.pass(time.Minute)
	for i := range 40 {
		f.send(i%7, poison, true)
		f.gossip()
		f.pass(300 * time.Millisecond)
	}
	require.LessOrEqual(t, f.crashes, 4)
}

// startServerAt lists a server of the service "shop" at an address of its own.
func startServerAt(d *Dispatcher, now model.Instant, id string, address netip.AddrPort, startedMillis int64) {
	entry := testServer(id, "north-a", "shop")
	entry.Address, entry.StartedMillis = address, startedMillis
	d.Step(&CatalogChanged{At: now, Change: &catalog.ServerChange{Server: entry}})
}

// arrivedAt sends a request and returns its attempt.
func arrivedAt(t *testing.T, d *Dispatcher, now model.Instant, id model.RequestID) *Send {
	send := requestEffect(d.Step(&RequestArrived{
		At: now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: "1", Fingerprint: uint64(id),
	}))
	require.IsType(t, &Send{}, send)
	return send.(*Send)
}

// TestServerThatIsGoneBeforeItIsCheckedIsAStrike guards against requests that crash servers which
// no health check finds, since their entries are removed or their addresses taken before.
func TestServerThatIsGoneBeforeItIsCheckedIsAStrike(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:7001")
	for _, test := range []struct {
		name string
		end  event.AttemptResult
		gone func(d *Dispatcher, now model.Instant)
		// goneFirst servers are known to be gone before the attempt ends.
		goneFirst bool
	}{
		{"removed, then broken", event.AttemptBroken, removeServer, true},
		{"removed, then timed out", event.AttemptTimeout, removeServer, true},
		{"broken, then removed", event.AttemptBroken, removeServer, false},
		{"timed out, then removed", event.AttemptTimeout, removeServer, false},
		{"timed out, then replaced", event.AttemptTimeout, func(d *Dispatcher, now model.Instant) { startServerAt(d, now, "next", address, 2) }, false},
		{"replaced, then timed out", event.AttemptTimeout, func(d *Dispatcher, now model.Instant) { startServerAt(d, now, "next", address, 2) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, now := newGoneFleet(address), start
			send := arrivedAt(t, d, now, 1)
			now = now.Add(time.Second)
			if test.goneFirst {
				test.gone(d, now)
			}
			now = now.Add(time.Second)
			d.Step(&AttemptEnded{At: now, Request: 1, Attempt: send.Attempt, Result: test.end, BodyNotReplayable: true})
			if !test.goneFirst {
				now = now.Add(time.Second)
				test.gone(d, now)
			}
			require.True(t, d.suspects.HasStrike(now, 1))
		})
	}
}

// TestServerThatLeavesUnreportedIsNoStrike has servers whose entries are removed while they go on
// serving, and servers that have reported that they leave.
func TestServerThatLeavesUnreportedIsNoStrike(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:7001")
	for _, reported := range []bool{false, true} {
		d, now := newGoneFleet(address), start
		lost, answered := arrivedAt(t, d, now, 1), arrivedAt(t, d, now, 2)
		arrivedAt(t, d, now, 3) // runs on
		if reported {
			entry := *lost.Server
			entry.Draining, entry.Sequence = true, entry.Sequence+1
			d.Step(&CatalogChanged{At: now, Change: &catalog.ServerChange{Server: entry}})
		}
		now = now.Add(time.Second)
		removeServer(d, now)
		now = now.Add(time.Second)
		if !reported {
			d.Step(&AttemptEnded{At: now, Request: 2, Attempt: answered.Attempt, Result: event.AttemptComplete})
		}
		now = now.Add(time.Second)
		d.Step(&AttemptEnded{At: now, Request: 1, Attempt: lost.Attempt, Result: event.AttemptTimeout, BodyNotReplayable: true})
		for fingerprint := range uint64(3) {
			require.False(t, d.suspects.HasStrike(now, fingerprint+1), "request %d", fingerprint+1)
		}
	}
}

// newGoneFleet returns a dispatcher with one server, "gone".
func newGoneFleet(address netip.AddrPort) *Dispatcher {
	d := newDispatcher(testRoute())
	for _, zone := range []string{"north-a", "north-b", "south-a", "south-b"} {
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerRemoved{ID: model.BackendName("shop-" + zone)}})
	}
	startServerAt(d, start, "gone", address, 1)
	return d
}

func removeServer(d *Dispatcher, now model.Instant) {
	d.Step(&CatalogChanged{At: now, Change: &catalog.ServerRemoved{ID: "gone"}})
}
