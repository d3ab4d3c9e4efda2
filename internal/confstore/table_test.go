package confstore

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// fault selects the failure that a fakeTable injects into one commit.
type fault int

const (
	faultNone        fault = iota
	faultUnavailable       // not applied and reported as such
	faultLostReply         // applied, reply lost
	faultLostRequest       // not applied, reply lost
	faultDelayed           // applied during a later call, reply lost
	faultCount
)

var errInjected = errors.New("injected")

// fakeTable is an in-memory platform.Table with injected faults.
type fakeTable struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	delayed   []platform.Transaction
	commits   int
	reads     map[string]int // by key, if not nil
	nextFault func() fault

	// copyAt and restoreAt are the commits before which the table is copied and restored
	// from that copy, 0 for never. A restore drops delayed transactions.
	copyAt, restoreAt int
	copied            map[string]platform.Row
	observe           func(restored bool) // called after a copy and a restore, if not nil
}

func newFakeTable(nextFault func() fault) *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, nextFault: nextFault}
}

func noFaults() fault { return faultNone }

// randomFaults injects a fault into about a quarter of the commits (4 of 15).
func randomFaults(random *rand.Rand) func() fault {
	return func() fault {
		if random.IntN(3) > 0 {
			return faultNone
		}
		return fault(random.IntN(int(faultCount)))
	}
}

// faultSequence injects the given faults in order, then none.
func faultSequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return faultNone
		}
		first := faults[0]
		faults = faults[1:]
		return first
	}
}

func (t *fakeTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return nil, &platform.UnavailableError{Step: "get", Peer: "fake", Err: ctx.Err()}
	}
	var rows []platform.Row
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		if t.reads != nil {
			t.reads[key]++
		}
		rows = append(rows, row)
	}
	t.applyDelayed() // between two reads of one attempt, the hardest interleaving for the store
	return rows, nil
}

func (t *fakeTable) Scan(_ context.Context, prefix string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *fakeTable) Commit(_ context.Context, txn platform.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	t.copyOrRestore()
	uncertain := &platform.UncertainError{Step: "commit", Peer: "fake", Err: errInjected}
	switch t.nextFault() {
	case faultUnavailable:
		return &platform.UnavailableError{Step: "commit", Peer: "fake", Err: errInjected}
	case faultLostReply:
		_ = t.apply(txn) // the lost reply hides a conflict from the caller
		return uncertain
	case faultLostRequest:
		return uncertain
	case faultDelayed:
		t.delayed = append(t.delayed, txn)
		return uncertain
	default:
		return t.apply(txn)
	}
}

func (t *fakeTable) copyOrRestore() {
	if t.commits != t.copyAt && t.commits != t.restoreAt {
		return
	}
	restored := t.commits == t.restoreAt
	if restored {
		t.rows = maps.Clone(t.copied)
		t.delayed = nil
	} else {
		t.copied = maps.Clone(t.rows)
	}
	if t.observe != nil {
		t.observe(restored)
	}
}

func (t *fakeTable) applyDelayed() {
	for _, txn := range t.delayed {
		_ = t.apply(txn) // a transaction with a conflict has no effect
	}
	t.delayed = nil
}

func (t *fakeTable) apply(txn platform.Transaction) error {
	for _, c := range txn.Conditions {
		if actual := t.rows[c.Key].Version; actual != c.Version {
			return &platform.ConflictError{Step: "commit", Peer: "fake", Key: c.Key, Expected: c.Version, Actual: actual}
		}
	}
	for _, w := range txn.Writes {
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
	}
	return nil
}

const testTimeout = 10 * time.Second

func contextWithTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), testTimeout)
}
