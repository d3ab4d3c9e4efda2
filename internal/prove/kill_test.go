//go:build prove

package prove

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Targets after a kill.
const (
	servedAgainWithin = 3 * time.Second
	steadyRate        = 200 // requests a second
)

// perSeed runs a scenario once for each seed.
func perSeed(t *testing.T, scenario func(t *testing.T, seed uint64), seeds ...uint64) {
	for _, seed := range seedsFromEnvironment(seeds...) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { scenario(t, seed) })
	}
}

// A fleet without faults serves everything; every other test builds on that.
func TestNoFault(t *testing.T) {
	f := startFleet(t, defaultShape)
	l := f.startLoad(1, steadyRate)
	at := time.Now()
	time.Sleep(5 * time.Second)
	f.checkRequests(l)
	t.Logf("without an answer: %q", l.history.bySecond(at))
	operations := l.history.all()
	for _, o := range operations {
		if !o.answered() && (o.Cause != "in-progress" || !besideAnswered(o, operations)) {
			t.Errorf("no answer: %v", o)
		}
	}
}

func TestKilledInstance(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		l := f.startLoad(seed, steadyRate)
		time.Sleep(3 * time.Second)
		victim := f.processes[int(seed)%len(f.processes)]
		at := time.Now()
		f.kill(victim)
		time.Sleep(8 * time.Second)
		f.checkRequests(l)
		checkServedAgain(t, l, at, victim)
	}, 1, 2, 3)
}

// lostKeys are the keys of once requests that got no answer for the kill. Their
// claims have no result for good, so a repeat is told in-progress at any later
// time: the ledger never lets it run a second time.
func lostKeys(l *load, at time.Time) map[string]bool {
	lost := make(map[string]bool)
	for _, o := range l.history.all() {
		inFlight := o.Called.Before(at.Add(time.Second)) && o.Ended.After(at)
		if inFlight && o.Key != "" && o.mayRunLater() {
			lost[o.Key] = true
		}
	}
	return lost
}

// besideAnswered reports whether another attempt with the same key was in flight at
// the same time and got its answer: a key is in progress then, whatever was killed.
func besideAnswered(o operation, operations []operation) bool {
	return slices.ContainsFunc(operations, func(other operation) bool {
		return other.Key == o.Key && other.ID != o.ID && other.answered() &&
			other.Called.Before(o.Ended) && other.Ended.After(o.Called)
	})
}

// checkServedAgain checks that the failures that a kill brings end in time and
// touch only requests in flight at the victim, and repeats of those.
func checkServedAgain(t *testing.T, l *load, at time.Time, victim *process) {
	t.Helper()
	var last time.Time
	failed, elsewhere, repeats, beside := 0, 0, 0, 0
	lost := lostKeys(l, at)
	operations := l.history.all()
	for _, o := range operations {
		if o.Ended.Before(at) || o.answered() {
			continue
		}
		if o.Cause == "in-progress" && lost[o.Key] {
			repeats++
			continue
		}
		if o.Cause == "in-progress" && besideAnswered(o, operations) {
			beside++
			continue
		}
		if o.Called.After(last) {
			last = o.Called
		}
		if o.mayRunLater() {
			failed++
			if o.Called.After(at.Add(time.Second)) && o.Cause != "in-progress" {
				elsewhere++
				t.Errorf("not in flight at the kill: %v", o)
			}
		}
	}
	took := time.Duration(0)
	if !last.IsZero() {
		took = last.Sub(at)
	}
	t.Logf("killed %s: %d unknown or broken, %d of them not in flight, %d repeats of lost keys, %d beside an answered attempt; last request without an answer was sent %v after",
		victim.name, failed, elsewhere, repeats, beside, took)
	t.Logf("without an answer: %q", l.history.bySecond(at))
	require.Less(t, took, servedAgainWithin)
}
