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

const faultDuration = 10 * time.Second

// withFault keeps the load running while it starts a fault, ends it after length and
// waits for recoveryTime. It returns the times at which the fault started and ended.
func (f *fleet) withFault(l *load, begin, end func(), length time.Duration) (faultStart, faultEnd time.Time) {
	time.Sleep(2 * time.Second)
	faultStart = time.Now()
	begin()
	time.Sleep(length)
	end()
	faultEnd = time.Now()
	time.Sleep(recoveryTime)
	return faultStart, faultEnd
}

// checkAllServedFrom checks that all requests sent after from are served, except
// repeats of once keys that are still in progress.
func checkAllServedFrom(t *testing.T, l *load, from time.Time) {
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
		w := f.monitorRevisions()
		l := f.startLoad(seed, steadyRate)
		p := f.processes[int(seed)%len(f.processes)]
		_, faultEnd := f.withFault(l, func() { f.signal(p, syscall.SIGSTOP) }, func() { f.signal(p, syscall.SIGCONT) }, faultDuration)
		f.checkRequests(l)
		w.check(t)
		checkAllServedFrom(t, l, faultEnd.Add(recoveryTime-time.Second))
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
		_, faultEnd := f.withFault(l, begin, end, faultDuration)
		f.checkRequests(l)
		checkAllServedFrom(t, l, faultEnd.Add(recoveryTime-time.Second))
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
		_, faultEnd := f.withFault(l, begin, func() { f.table.SetFaults(tablestore.Faults{}) }, 5*time.Second)
		f.checkRequests(l)
		checkAllServedFrom(t, l, faultEnd.Add(recoveryTime-time.Second))
	}, 1, 2)
}

// oneInstancePerZone returns a fleet with one instance in each of two zones, in which
// the relays in front of the instances are the links between the zones.
func oneInstancePerZone() shape {
	s := defaultShape
	s.instances = s.zones
	return s
}

// setLinks returns a function that sets the state of the links towards the instances
// in to.
func setLinks(state relay.State, to ...*process) func() {
	return func() {
		for _, p := range to {
			p.relay.SetFaults(relay.Faults{State: state})
		}
	}
}

func TestZonesCutOff(t *testing.T) {
	cases := map[string]struct {
		state        relay.State
		bothWays     bool
		platformDown bool
	}{
		"both ways":                        {relay.StateCut, true, false},
		"one way silent":                   {relay.StateFrozen, false, false},
		"both ways with the platform down": {relay.StateCut, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, oneInstancePerZone())
			w := f.monitorRevisions()
			l := f.startLoad(1, steadyRate/2)
			cutOff := f.processes[:1]
			if c.bothWays {
				cutOff = f.processes
			}
			begin := func() {
				setLinks(c.state, cutOff...)()
				if c.platformDown {
					f.table.SetFaults(tablestore.Faults{Outage: tablestore.OutageClosed})
				}
			}
			end := func() {
				f.table.SetFaults(tablestore.Faults{})
				setLinks(relay.StateOpen, cutOff...)()
			}
			faultStart, faultEnd := f.withFault(l, begin, end, faultDuration)
			f.checkRequests(l)
			w.check(t)
			checkAllServedFrom(t, l, faultEnd.Add(recoveryTime-time.Second))
			checkZonesServed(t, f, l, faultStart.Add(5*time.Second), faultEnd)
		})
	}
}

// checkZonesServed checks that every instance answers at least 95 % of the reads sent
// to it between from and to. The time from lies after the start of the cut, so that
// the instances have detected it.
func checkZonesServed(t *testing.T, f *fleet, l *load, from, to time.Time) {
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
		require.Positive(t, answered[p.callersAddr], "%s answered no read during the cut", p.name)
		require.GreaterOrEqual(t, float64(answered[p.callersAddr]), 0.95*float64(reads[p.callersAddr]), "%s answered too few reads during the cut", p.name)
	}
}
