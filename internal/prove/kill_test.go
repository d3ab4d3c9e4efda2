//go:build prove

package prove

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// killRecoveryLimit bounds the time from a kill to the sending of the last
	// request that fails because of it.
	killRecoveryLimit = 3 * time.Second
	steadyRate        = 200 // requests per second
)

// perSeed runs a scenario once for each seed.
func perSeed(t *testing.T, scenario func(t *testing.T, seed uint64), seeds ...uint64) {
	for _, seed := range seedsFromEnvironment(seeds...) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { scenario(t, seed) })
	}
}

// TestNoFault checks that a fleet without faults serves all requests. The other tests
// attribute every failure to their fault and rely on this.
func TestNoFault(t *testing.T) {
	f := startFleet(t, defaultShape)
	l := f.startLoad(1, steadyRate)
	killedAt := time.Now()
	time.Sleep(5 * time.Second)
	f.checkRequests(l)
	t.Logf("without an answer: %q", l.history.unansweredBySecond(killedAt))
	operations := l.history.all()
	for _, o := range operations {
		if !o.answered() && (o.Cause != "in-progress" || !concurrentWithAnswered(o, operations)) {
			t.Errorf("no answer: %v", o)
		}
	}
}

func TestKilledInstance(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		l := f.startLoad(seed, steadyRate)
		time.Sleep(3 * time.Second)
		killed := f.processes[int(seed)%len(f.processes)]
		killedAt := time.Now()
		f.kill(killed)
		time.Sleep(8 * time.Second)
		f.checkRequests(l)
		checkKillRecovery(t, l, killedAt, killed)
	}, 1, 2, 3)
}

// lostKeys returns the keys of once requests whose outcome stays open because of the
// kill. Their claims never get a result, so a repeat fails with in-progress at any
// later time: the ledger never lets it run a second time.
func lostKeys(l *load, killedAt time.Time) map[string]bool {
	lost := make(map[string]bool)
	for _, o := range l.history.all() {
		inFlight := o.Called.Before(killedAt.Add(time.Second)) && o.Ended.After(killedAt)
		if inFlight && o.Key != "" && o.indeterminate() {
			lost[o.Key] = true
		}
	}
	return lost
}

// concurrentWithAnswered reports whether another attempt with the same key was in
// flight at the same time and got its answer. The key is in progress in that time
// regardless of a kill.
func concurrentWithAnswered(o operation, operations []operation) bool {
	return slices.ContainsFunc(operations, func(other operation) bool {
		return other.Key == o.Key && other.ID != o.ID && other.answered() &&
			other.Called.Before(o.Ended) && other.Ended.After(o.Called)
	})
}

// checkKillRecovery checks that the failures after a kill end within
// killRecoveryLimit. Only requests in flight at the kill (sent at most one second
// after it) and attempts on keys in progress may fail without a definite outcome.
func checkKillRecovery(t *testing.T, l *load, killedAt time.Time, killed *process) {
	t.Helper()
	var last time.Time
	failed, notInFlight, repeatsOfLost, concurrent := 0, 0, 0, 0
	lost := lostKeys(l, killedAt)
	operations := l.history.all()
	for _, o := range operations {
		if o.Ended.Before(killedAt) || o.answered() {
			continue
		}
		if o.Cause == "in-progress" && lost[o.Key] {
			repeatsOfLost++
			continue
		}
		if o.Cause == "in-progress" && concurrentWithAnswered(o, operations) {
			concurrent++
			continue
		}
		if o.Called.After(last) {
			last = o.Called
		}
		if o.indeterminate() {
			failed++
			if o.Called.After(killedAt.Add(time.Second)) && o.Cause != "in-progress" {
				notInFlight++
				t.Errorf("failed, but was not in flight at the kill: %v", o)
			}
		}
	}
	took := time.Duration(0)
	if !last.IsZero() {
		took = last.Sub(killedAt)
	}
	t.Logf("killed %s: %d unknown or broken, %d of them not in flight, %d repeats of lost keys, %d concurrent with an answered attempt; last request without an answer was sent %v after the kill",
		killed.name, failed, notInFlight, repeatsOfLost, concurrent, took)
	t.Logf("without an answer: %q", l.history.unansweredBySecond(killedAt))
	require.Less(t, took, killRecoveryLimit)
}
