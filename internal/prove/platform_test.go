//go:build prove

package prove

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

// Limits for the adoption of a configuration change by seven instances, and the times
// of platform faults.
const (
	adoptionLimit            = time.Second
	adoptionLimitRepliesLost = 3 * time.Second
	adoptionLimitAfterFault  = 5 * time.Second
	outageDuration           = 20 * time.Second
	recoveryTime             = 6 * time.Second
)

func TestRacingOperators(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		w := f.monitorRevisions()
		number, err := f.apply("plain")
		require.NoError(t, err)
		took := f.waitInForce(number, adoptionLimitAfterFault)
		t.Logf("in force on all after %v", took)
		require.LessOrEqual(t, took, adoptionLimit)
		f.raceOperators(15)
		f.table.SetFaults(tablestore.Faults{LostReplies: 0.1, LostRequests: 0.05, Seed: seed})
		f.raceOperators(10)
		f.table.SetFaults(tablestore.Faults{})
		head, err := f.store.Load(context.Background())
		require.NoError(t, err)
		f.waitInForce(head.Number, adoptionLimitRepliesLost)
		w.check(t)
	}, 1, 2)
}

// platformScenario runs the load across a platform fault that ends before the load
// does, and checks requests and revisions.
func platformScenario(t *testing.T, seed uint64, faults tablestore.Faults, duration time.Duration) (*fleet, *load) {
	f := startFleet(t, defaultShape)
	w := f.monitorRevisions()
	l := f.startLoad(seed, steadyRate)
	time.Sleep(2 * time.Second)
	faults.Seed = seed
	f.table.SetFaults(faults)
	faultStart := time.Now()
	time.Sleep(duration)
	f.table.SetFaults(tablestore.Faults{})
	faultEnd := time.Now()
	time.Sleep(recoveryTime)
	number, err := f.apply("after the fault")
	require.NoError(t, err)
	t.Logf("in force on all after %v", f.waitInForce(number, adoptionLimitAfterFault))
	f.checkRequests(l)
	w.check(t)
	checkReadsServed(t, l, faultStart)
	checkOnceServedFrom(t, l, faultEnd.Add(recoveryTime-time.Second))
	return f, l
}

// checkReadsServed checks that every read sent after from is served: reads don't
// depend on the platform.
func checkReadsServed(t *testing.T, l *load, from time.Time) {
	t.Helper()
	for _, o := range l.history.all() {
		if o.Key == "" && o.Called.After(from) && !o.answered() {
			t.Errorf("read not served: %v", o)
		}
	}
}

// checkOnceServedFrom checks that every once request sent after from is served,
// except repeats of keys whose outcome is open.
func checkOnceServedFrom(t *testing.T, l *load, from time.Time) {
	t.Helper()
	for _, o := range l.history.all() {
		if o.Key != "" && o.Called.After(from) && !o.answered() && o.Cause != "in-progress" {
			t.Errorf("once request not served after the fault: %v", o)
		}
	}
}

func TestPlatformDown(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		platformScenario(t, seed, tablestore.Faults{Outage: tablestore.OutageClosed}, outageDuration)
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
	f.waitInForce(number, adoptionLimitAfterFault)
	f.table.SetFaults(tablestore.Faults{Outage: tablestore.OutageClosed})
	p := f.processes[len(f.processes)-1]
	f.kill(p)
	restartedAt := time.Now()
	f.start(p)
	f.waitReady(p)
	t.Logf("ready with the configuration of its peers after %v", time.Since(restartedAt))
	f.waitInForce(number, adoptionLimitAfterFault)
}
