//go:build prove

package prove

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/standin/relay"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

const pause = 10 * time.Second

// during runs the load through a fault and back; it returns the moment of both.
func (f *fleet) during(l *load, begin, end func(), length time.Duration) (began, healed time.Time) {
	time.Sleep(2 * time.Second)
	began = time.Now()
	begin()
	time.Sleep(length)
	end()
	healed = time.Now()
	time.Sleep(recovery)
	return began, healed
}

// checkCalm checks that everything is served again from a moment on.
func checkCalm(t *testing.T, l *load, from time.Time) {
	t.Helper()
	for _, o := range l.history.all() {
		if o.Called.After(from) && !o.answered() && o.Cause != "in-progress" {
			t.Errorf("not served after the fault: %v", o)
		}
	}
}

func TestPausedInstance(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		w := f.watchRevisions()
		l := f.startLoad(seed, steadyRate)
		p := f.processes[int(seed)%len(f.processes)]
		_, healed := f.during(l, func() { f.signal(p, syscall.SIGSTOP) }, func() { f.signal(p, syscall.SIGCONT) }, pause)
		f.checkRequests(l)
		w.check(t)
		checkCalm(t, l, healed.Add(recovery-time.Second))
	}, 1, 2, 3)
}

func TestPausedInstanceAndRepliesLost(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		l := f.startLoad(seed, steadyRate)
		p := f.processes[int(seed)%len(f.processes)]
		begin := func() {
			f.table.SetFaults(tablestore.Faults{LostReplies: 0.2, Seed: seed})
			f.signal(p, syscall.SIGSTOP)
		}
		end := func() {
			f.signal(p, syscall.SIGCONT)
			f.table.SetFaults(tablestore.Faults{})
		}
		_, healed := f.during(l, begin, end, pause)
		f.checkRequests(l)
		checkCalm(t, l, healed.Add(recovery-time.Second))
	}, 1)
}

func TestKilledInstanceAndRepliesLost(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		l := f.startLoad(seed, steadyRate)
		p := f.processes[int(seed)%len(f.processes)]
		begin := func() {
			f.table.SetFaults(tablestore.Faults{LostReplies: 0.2, Seed: seed})
			time.Sleep(time.Second)
			f.kill(p)
		}
		_, healed := f.during(l, begin, func() { f.table.SetFaults(tablestore.Faults{}) }, 5*time.Second)
		f.checkRequests(l)
		checkCalm(t, l, healed.Add(recovery-time.Second))
	}, 1, 2)
}

// pairShape has one instance in each of two zones, so that the relays before
// them are the links between the zones.
func pairShape() shape {
	s := defaultShape
	s.instances = s.zones
	return s
}

// setLinks switches the links towards some instances.
func setLinks(state relay.State, to ...*process) func() {
	return func() {
		for _, p := range to {
			p.relay.SetFaults(relay.Faults{State: state})
		}
	}
}

func TestZonesCutOff(t *testing.T) {
	cases := map[string]struct {
		state relay.State
		both  bool
		down  bool
	}{
		"both ways":                        {relay.StateCut, true, false},
		"one way silent":                   {relay.StateFrozen, false, false},
		"both ways with the platform down": {relay.StateCut, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, pairShape())
			w := f.watchRevisions()
			l := f.startLoad(1, steadyRate/2)
			ends := f.processes[:1]
			if c.both {
				ends = f.processes
			}
			begin := func() {
				setLinks(c.state, ends...)()
				if c.down {
					f.table.SetFaults(tablestore.Faults{Outage: tablestore.OutageClosed})
				}
			}
			end := func() {
				f.table.SetFaults(tablestore.Faults{})
				setLinks(relay.StateOpen, ends...)()
			}
			began, healed := f.during(l, begin, end, pause)
			f.checkRequests(l)
			w.check(t)
			checkCalm(t, l, healed.Add(recovery-time.Second))
			checkZonesServe(t, f, l, began.Add(5*time.Second), healed)
		})
	}
}

// checkZonesServe checks that callers of every zone are served reads during a
// cut, once it has been noticed.
func checkZonesServe(t *testing.T, f *fleet, l *load, from, to time.Time) {
	t.Helper()
	reads, answered := make(map[string]int), make(map[string]int)
	for _, o := range l.history.all() {
		if o.Key == "" && o.Called.After(from) && o.Called.Before(to) {
			reads[o.Entry]++
			if o.answered() {
				answered[o.Entry]++
			}
		}
	}
	t.Logf("reads during the cut: %v, answered %v", reads, answered)
	for _, p := range f.processes {
		require.Positive(t, answered[p.callers], "%s serves its zone", p.name)
		require.GreaterOrEqual(t, float64(answered[p.callers]), 0.95*float64(reads[p.callers]), "%s serves its zone", p.name)
	}
}
