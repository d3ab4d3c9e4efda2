//go:build prove

package prove

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

// Targets of a change of configuration on seven instances.
const (
	inForceWithin      = time.Second
	inForceRepliesLost = 3 * time.Second
	inForceAfterHeal   = 5 * time.Second
	outage             = 20 * time.Second
	recovery           = 6 * time.Second
)

func TestRacingOperators(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		w := f.watchRevisions()
		number, err := f.apply("plain")
		require.NoError(t, err)
		took := f.inForce(number, inForceAfterHeal)
		t.Logf("in force on all after %v", took)
		require.LessOrEqual(t, took, inForceWithin)
		f.raceOperators(15)
		f.table.SetFaults(tablestore.Faults{LostReplies: 0.1, LostRequests: 0.05, Seed: seed})
		f.raceOperators(10)
		f.table.SetFaults(tablestore.Faults{})
		head, err := f.store.Load(context.Background())
		require.NoError(t, err)
		f.inForce(head.Number, inForceRepliesLost)
		w.check(t)
	}, 1, 2)
}

// platformScenario runs the load through a fault of the platform that ends
// before the load does.
func platformScenario(t *testing.T, seed uint64, faults tablestore.Faults, during time.Duration) (*fleet, *load) {
	f := startFleet(t, defaultShape)
	w := f.watchRevisions()
	l := f.startLoad(seed, steadyRate)
	time.Sleep(2 * time.Second)
	faults.Seed = seed
	f.table.SetFaults(faults)
	began := time.Now()
	time.Sleep(during)
	f.table.SetFaults(tablestore.Faults{})
	healed := time.Now()
	time.Sleep(recovery)
	number, err := f.apply("after the fault")
	require.NoError(t, err)
	t.Logf("in force on all after %v", f.inForce(number, inForceAfterHeal))
	f.checkRequests(l)
	w.check(t)
	checkReadsServed(t, l, began)
	checkOnceServedFrom(t, l, healed.Add(recovery-time.Second))
	return f, l
}

// checkReadsServed checks that reads do not depend on the platform.
func checkReadsServed(t *testing.T, l *load, from time.Time) {
	t.Helper()
	for _, o := range l.history.all() {
		if o.Key == "" && o.Called.After(from) && !o.answered() {
			t.Errorf("read not served: %v", o)
		}
	}
}

// checkOnceServedFrom checks that once work is served again from a moment on,
// but for repeats of keys whose outcome is open.
func checkOnceServedFrom(t *testing.T, l *load, from time.Time) {
	t.Helper()
	for _, o := range l.history.all() {
		if o.Key != "" && o.Called.After(from) && !o.answered() && o.Cause != "in-progress" {
			t.Errorf("once work not served after the fault: %v", o)
		}
	}
}

func TestPlatformDown(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		platformScenario(t, seed, tablestore.Faults{Outage: tablestore.OutageClosed}, outage)
	}, 1)
}

func TestPlatformSlow(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		platformScenario(t, seed, tablestore.Faults{LatencyMillis: 600, JitterMillis: 800}, 8*time.Second)
	}, 1)
}

func TestPlatformRepliesAndRequestsLost(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		platformScenario(t, seed, tablestore.Faults{LostReplies: 0.15, LostRequests: 0.1}, 8*time.Second)
	}, 1, 2, 3)
}

func TestRestartWhilePlatformIsDown(t *testing.T) {
	f := startFleet(t, defaultShape)
	number, err := f.apply("second revision")
	require.NoError(t, err)
	f.inForce(number, inForceAfterHeal)
	f.table.SetFaults(tablestore.Faults{Outage: tablestore.OutageClosed})
	p := f.processes[len(f.processes)-1]
	f.kill(p)
	at := time.Now()
	f.start(p)
	f.waitReady(p)
	t.Logf("ready from its peers after %v", time.Since(at))
	f.inForce(number, inForceAfterHeal)
}
