package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestStartupWaitsForPeers(t *testing.T) {
	const began = model.Instant(time.Hour)
	for name, c := range map[string]struct {
		prepare func(s *startup)
		waits   time.Duration
	}{
		"instances unknown":      {func(*startup) {}, linkTimeout},
		"no peer in the zone":    {func(s *startup) { s.listed = true }, 0},
		"links not up":           {func(s *startup) { s.listed = true; s.linkRequested("a") }, linkTimeout},
		"peer without a copy":    {func(s *startup) { s.listed = true; s.linkRequested("a"); s.requestCopy("a"); s.copyAnswered("a") }, 0},
		"peer that is down":      {func(s *startup) { s.listed = true; s.linkRequested("a"); s.linkDown("a") }, 0},
		"peer that is frozen":    {func(s *startup) { s.listed = true; s.linkRequested("a"); s.requestCopy("a") }, copyTimeout},
		"link lost while asked":  {func(s *startup) { s.listed = true; s.linkRequested("a"); s.requestCopy("a"); s.linkDown("a") }, 0},
		"one of two is not up":   {func(s *startup) { s.listed = true; s.linkRequested("a"); s.linkRequested("b"); s.linkDown("a") }, linkTimeout},
		"instance of other zone": {func(s *startup) { s.listed = true; s.linkDown("x"); s.requestCopy("x") }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStartup(began)
			c.prepare(s)
			require.True(t, s.mayReadStore(began.Add(c.waits)))
			if c.waits > 0 {
				require.False(t, s.mayReadStore(began.Add(c.waits-1)))
			}
		})
	}
	require.False(t, newStartup(began).requestCopy("x"), "not in this zone")
}

// startLoad is the load pattern of processes that start in one availability zone.
type startLoad struct {
	instances, servers int
	restarts           func(instance int) bool
	frozen, cut        func(instance int) bool // peers that do not answer, and that cannot be reached
	// spread is the time between the starts of two processes.
	spread time.Duration
}

const (
	startRoundTrip = 120 * time.Millisecond // to the store, in another region
	startPageRows  = 500
	startRowBytes  = 300 // in an answer of the store
	startLinkRate  = 2.5 // MB/s of an instance
	startRing      = 3   // peers in each direction
	startStep      = 10 * time.Millisecond
)

// starting is one instance of a simulated zone.
type starting struct {
	began    time.Duration
	startup  *startup
	known    bool // has the table
	asks     []ask
	turnEnds time.Duration // when the next peer is asked
	rows     int           // read from the store
	pageAt   time.Duration // end of the call for the next page
	knownAt  time.Duration
}

// ask is a request for a copy; answerAt is when it ends, 0 if it has not begun.
type ask struct {
	peer     int
	answerAt time.Duration
	ended    bool
}

// play steps a zone until all instances have the table. It returns the rows that were read
// from the store and the longest time from a start to a copy.
func (l *startLoad) play(t *testing.T) (rows int, slowest time.Duration) {
	t.Helper()
	zone := make([]*starting, l.instances)
	for i := range zone {
		zone[i] = &starting{known: !l.restarts(i), began: time.Duration(i) * l.spread}
		zone[i].startup = newStartup(instantOf(zone[i].began))
	}
	for now := time.Duration(0); now < time.Minute; now += startStep {
		missing := 0
		for i, s := range zone {
			if s.known || now < s.began || l.is(l.frozen, i) || l.is(l.cut, i) {
				continue
			}
			l.step(zone, i, now)
			missing++
		}
		if missing == 0 && now > time.Duration(l.instances)*l.spread {
			break
		}
	}
	for i, s := range zone {
		if l.is(l.frozen, i) || l.is(l.cut, i) {
			continue
		}
		require.True(t, s.known, "instance %d", i)
		rows += s.rows
		slowest = max(slowest, s.knownAt-s.began)
	}
	return rows, slowest
}

func instantOf(d time.Duration) model.Instant { return model.Instant(time.Hour).Add(d) }

func (l *startLoad) is(f func(int) bool, i int) bool { return f != nil && f(i) }

// transfer is the time that a table, or some of its rows, needs on an instance's link.
func transfer(rows int) time.Duration {
	return time.Duration(float64(rows*startRowBytes) / startLinkRate * float64(time.Microsecond))
}

func peerID(i int) model.InstanceID { return model.InstanceID(fmt.Sprint(i)) }

// step moves a starting instance on: it lists the instances, links to its neighbours, asks
// one after the other, and reads pages as soon as it may.
func (l *startLoad) step(zone []*starting, self int, now time.Duration) {
	s := zone[self]
	if !s.startup.listed && now >= s.began+2*startRoundTrip {
		s.startup.listed = true
		for _, p := range l.neighbours(self) {
			s.startup.linkRequested(peerID(p))
			running := now >= zone[p].began || zone[p].known
			switch {
			case l.is(l.cut, p):
			case !running:
				s.startup.linkDown(peerID(p))
			case !s.startup.mayReadStore(instantOf(now)):
				s.startup.requestCopy(peerID(p))
				s.asks = append(s.asks, ask{peer: p})
			}
		}
	}
	l.ask(zone, s, now)
	l.readPages(s, now)
}

func (l *startLoad) ask(zone []*starting, s *starting, now time.Duration) {
	for i := range s.asks {
		a := &s.asks[i]
		if a.ended || a.answerAt == 0 || now < a.answerAt {
			continue
		}
		a.ended, s.turnEnds = true, min(s.turnEnds, now)
		switch {
		case l.is(l.frozen, a.peer) || !zone[a.peer].known:
			s.startup.copyAnswered(peerID(a.peer))
		case !s.known:
			s.known, s.knownAt = true, now
		}
	}
	for i := range s.asks {
		a := &s.asks[i]
		if s.known || a.answerAt > 0 || now < s.turnEnds {
			continue
		}
		a.answerAt, s.turnEnds = now+startStep, now+copyAttemptTimeout
		switch {
		case l.is(l.frozen, a.peer):
			a.answerAt = now + copyTimeout
		case zone[a.peer].known:
			a.answerAt = now + transfer(l.servers)
		}
	}
}

func (l *startLoad) readPages(s *starting, now time.Duration) {
	if s.known || now < s.pageAt {
		return
	}
	if s.pageAt > 0 && s.rows >= l.servers {
		s.known, s.knownAt = true, now
		return
	}
	if s.pageAt > 0 && !s.startup.mayReadStore(instantOf(now)) {
		return
	}
	page := min(startPageRows, l.servers-s.rows)
	s.rows += page
	s.pageAt = now + startRoundTrip + transfer(page)
}

func (l *startLoad) neighbours(self int) []int {
	var list []int
	for d := 1; d <= startRing && len(list) < l.instances-1; d++ {
		list = append(list, (self+d)%l.instances)
		if len(list) < l.instances-1 {
			list = append(list, (self-d+l.instances)%l.instances)
		}
	}
	return list
}

// startFleets are the zones of fleets of 7, 78, 303 and 784 instances.
var startFleets = []struct{ inZone, servers int }{{2, 52}, {9, 894}, {34, 3000}, {87, 7800}}

// readAlone is the time in which an instance reads the table from the store.
func readAlone(servers int) time.Duration {
	pages := (servers + startPageRows - 1) / startPageRows
	return time.Duration(pages)*(startRoundTrip+2*startStep) + transfer(servers)
}

// TestRestartsTakeCopiesOfPeers replays processes that start while others of their zone run:
// one after the other, and half of a fleet at the same moment. Each reads the first page of
// the servers' table; only those without a running neighbour read the rest.
func TestRestartsTakeCopiesOfPeers(t *testing.T) {
	for _, f := range startFleets {
		for name, l := range map[string]startLoad{
			"half at once":        {restarts: func(i int) bool { return i%2 == 0 }},
			"one after the other": {restarts: func(i int) bool { return i%4 == 0 }, spread: 100 * time.Millisecond},
			"peers frozen":        {restarts: func(i int) bool { return i%2 == 0 }, frozen: func(i int) bool { return i%7 == 3 }},
			"peers cut off":       {restarts: func(i int) bool { return i%2 == 0 }, cut: func(i int) bool { return i%7 == 3 }},
		} {
			t.Run(fmt.Sprint(f.inZone, " ", name), func(t *testing.T) {
				l.instances, l.servers = f.inZone, f.servers
				starts := 0
				for i := range l.instances {
					if l.restarts(i) && !l.is(l.frozen, i) && !l.is(l.cut, i) {
						starts++
					}
				}
				rows, slowest := l.play(t)
				require.LessOrEqual(t, rows, starts*min(startPageRows, f.servers))
				require.LessOrEqual(t, slowest, copyTimeout+transfer(f.servers)+readAlone(f.servers))
			})
		}
	}
}

// TestWholeFleetStartsFromStore replays a start of all processes of a zone. No peer has a
// copy, so that nobody may wait for one longer than the links take. If peers cannot be
// reached, the wait is bounded.
func TestWholeFleetStartsFromStore(t *testing.T) {
	all := func(int) bool { return true }
	for _, f := range startFleets {
		for name, c := range map[string]struct {
			load  startLoad
			waits time.Duration
		}{
			"all at once":           {startLoad{restarts: all}, 2*startRoundTrip + 2*startRing*2*startStep},
			"others cut off":        {startLoad{restarts: all, cut: func(i int) bool { return i > 0 }}, linkTimeout},
			"others frozen":         {startLoad{restarts: all, frozen: func(i int) bool { return i > 0 }}, copyTimeout},
			"one after the other":   {startLoad{restarts: all, spread: 50 * time.Millisecond}, 2*startRoundTrip + 2*startRing*2*startStep},
			"one in four cut off":   {startLoad{restarts: all, cut: func(i int) bool { return i%4 == 1 }}, linkTimeout},
			"one in four is frozen": {startLoad{restarts: all, frozen: func(i int) bool { return i%4 == 1 }}, copyTimeout},
		} {
			t.Run(fmt.Sprint(f.inZone, " ", name), func(t *testing.T) {
				l := c.load
				l.instances, l.servers = f.inZone, f.servers
				rows, slowest := l.play(t)
				require.LessOrEqual(t, rows, l.instances*f.servers)
				require.LessOrEqual(t, slowest, c.waits+readAlone(f.servers)+2*startStep)
			})
		}
	}
}

// TestOldCopyOfPeerIsNotUsed guards against a starting instance that serves with the servers
// of an instance that has long been cut off from the store.
func TestOldCopyOfPeerIsNotUsed(t *testing.T) {
	e := newEdgeWithPeers(t, 1)
	e.options.Tables = Tables{Operator: "operator", Servers: "servers", Instances: "instances"}
	limit := e.maxAge("servers")
	for _, c := range []struct {
		version int64
		age     time.Duration
		used    bool
	}{{7, limit, true}, {7, limit + 1, false}, {0, 0, false}, {7, math.MaxInt64, false}} {
		state := &linkpb.State{Tables: []*linkpb.TableState{
			{Table: "operator", Version: 7},
			{Table: "servers", Version: c.version, AgeNs: int64(c.age)},
		}}
		require.Equal(t, c.used, e.hasRecentServers(state), c)
	}
	require.False(t, e.hasRecentServers(&linkpb.State{}))
}
