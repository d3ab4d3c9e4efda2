package confstore

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// result records one operation of an operator and its outcome.
type result struct {
	operation string
	load      bool
	copied    bool  // the table was copied
	restored  bool  // the table was restored from the copy
	lost      bool  // stands for an effect that the restore has undone
	base      int64 // base revision of an Apply, -1 for other operations
	revision  *config.Revision
	err       error
	call      int64 // nanoseconds since the start of the run
	end       int64 // nanoseconds since the start of the run
}

func (r result) outcomeUnknown() bool {
	var unknown *OutcomeUnknownError
	return errors.As(r.err, &unknown)
}

const (
	operators             = 3
	operationsPerOperator = 6
)

// runOperators lets several operators change the configuration concurrently through
// a faulty table. It returns the table and the results of all operations.
func runOperators(seed uint64) (*fakeTable, []result) {
	return runOperatorsOn(newFakeTable(randomFaults(rand.New(rand.NewPCG(seed, 0)))), seed)
}

func runOperatorsOn(table *fakeTable, seed uint64) (*fakeTable, []result) {
	start := time.Now()
	var mu sync.Mutex
	var results []result
	table.observe = func(restored bool) {
		mu.Lock()
		defer mu.Unlock()
		at := int64(time.Since(start))
		results = append(results, result{copied: !restored, restored: restored, call: at, end: at})
	}
	var group sync.WaitGroup
	for operator := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(operator)+1))
		store := New(table, WithRetries(3, time.Microsecond))
		group.Go(func() {
			base := int64(0)
			for i := range operationsPerOperator {
				r := result{operation: fmt.Sprintf("op-%d-%d", operator, i), base: -1, call: int64(time.Since(start))}
				perform(store, random.IntN(3), base, &r)
				r.end = int64(time.Since(start))
				if r.revision != nil {
					base = r.revision.Number
				}
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	table.applyDelayed()
	return table, results
}

// perform executes one randomly chosen operation and stores its outcome in r.
func perform(store *Store, choice int, base int64, r *result) {
	ctx, cancel := contextWithTimeout()
	defer cancel()
	switch choice {
	case 0:
		r.base = base
		r.revision, r.err = store.Apply(ctx, change(base, int(base)+1, r.operation))
	case 1:
		r.revision, r.err = store.Announce(ctx, stop(r.operation))
	default:
		r.load = true
		r.revision, r.err = store.Load(ctx)
	}
}

// TestConcurrentChangesApplyAtMostOnce checks that revision numbers have no gaps,
// that each operation created at most one revision, that no planned stop is lost,
// and that the outcome reported to each operator matches the history. Lost replies
// and delayed commits could otherwise apply a change twice or lose it.
func TestConcurrentChangesApplyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, results := runOperators(rapid.Uint64().Draw(t, "seed"))
		table.nextFault = noFaults
		store := newTestStore(table)
		ctx, cancel := contextWithTimeout()
		defer cancel()
		history, err := store.History(ctx, math.MaxInt32)
		require.NoError(t, err)
		numbers := map[string]int64{}
		for i, revision := range history {
			require.EqualValues(t, len(history)-i, revision.Number)
			require.NotContains(t, numbers, revision.OperationID)
			numbers[revision.OperationID] = revision.Number
			if i > 0 { // no operator cancels, so planned stops are only ever appended
				newer := history[i-1].Stops
				require.GreaterOrEqual(t, len(newer), len(revision.Stops))
				require.True(t, slices.Equal(revision.Stops, newer[:len(revision.Stops)]))
			}
		}
		for _, r := range results {
			id := r.operation
			if r.base < 0 {
				id = "stop-" + id
			}
			switch {
			case r.load || r.outcomeUnknown():
			case r.err == nil:
				require.Equal(t, r.revision.Number, numbers[id])
			default:
				require.NotContains(t, numbers, id, "%v", r.err)
			}
		}
	})
}

// headModel models the configuration as the number of the current revision. A
// change with an unknown outcome may take effect once at any later time, or never.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, _, output any) []any {
		head, r := state.(int64), output.(result)
		var conflict *ConflictError
		switch {
		case r.load && r.revision == nil:
			return statesIf(head == 0, head)
		case r.load:
			return statesIf(head == r.revision.Number, head)
		case r.outcomeUnknown() && r.base >= 0 && r.base != head:
			return []any{head}
		case r.outcomeUnknown():
			return []any{head, head + 1}
		case errors.As(r.err, &conflict):
			return statesIf(head != r.base, head)
		case r.err != nil:
			return []any{head}
		default:
			return statesIf(head+1 == r.revision.Number, head+1)
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// statesIf returns the successor state, or none if the transition is impossible.
func statesIf(possible bool, state int64) []any {
	if !possible {
		return nil
	}
	return []any{state}
}

// TestHistoriesAreLinearizable checks the histories of concurrent operators against
// headModel. An operation with an unknown outcome has no end, since it may still
// take effect later.
func TestHistoriesAreLinearizable(t *testing.T) {
	const seeds = 60
	model := headModel.ToModel()
	for seed := range uint64(seeds) {
		_, results := runOperators(seed)
		requireLinearizable(t, model, results, seed)
	}
}

func requireLinearizable(t *testing.T, model porcupine.Model, results []result, seed uint64) {
	t.Helper()
	var history []porcupine.Operation
	for i, r := range results {
		end := r.end
		if r.outcomeUnknown() {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{ClientId: i, Call: r.call, Output: r, Return: end})
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, 10*time.Second), "seed %d", seed)
}

// runOperatorsWithRestore also restores the table from a copy while the operators work.
func runOperatorsWithRestore(seed uint64) (*fakeTable, []result) {
	random := rand.New(rand.NewPCG(seed, 0))
	table := newFakeTable(randomFaults(random))
	table.copyAt = 1 + random.IntN(5)
	table.restoreAt = table.copyAt + 1 + random.IntN(6)
	return runOperatorsOn(table, seed)
}

// TestConcurrentChangesAroundTableRestore checks that each revision was built from the one
// before it, that no operation is in the history twice, and that what operators were told
// after the restore matches the history. Versions of rows are given out again, so a change
// that was built from a lost revision could otherwise be committed on another one.
func TestConcurrentChangesAroundTableRestore(t *testing.T) {
	const seeds = 400
	for seed := range uint64(seeds) {
		table, results := runOperatorsWithRestore(seed)
		table.nextFault = noFaults
		history, err := newTestStore(table).History(t.Context(), math.MaxInt32)
		require.NoError(t, err)
		numbers := map[string]int64{}
		for i, revision := range history {
			require.EqualValues(t, len(history)-i, revision.Number, "seed %d", seed)
			require.NotContains(t, numbers, revision.OperationID, "seed %d", seed)
			numbers[revision.OperationID] = revision.Number
			if i > 0 {
				require.Equal(t, revision.AncestorsOfNext(), history[i-1].Ancestors, "seed %d, revision %d", seed, history[i-1].Number)
			}
		}
		restoredAt := int64(0)
		for _, r := range results {
			if r.restored {
				restoredAt = r.end
			}
		}
		for _, r := range results {
			id := r.operation
			if r.base < 0 {
				id = "stop-" + id
			}
			switch {
			case r.load || r.copied || r.restored || r.outcomeUnknown():
			case r.err == nil && r.call > restoredAt:
				require.Equal(t, r.revision.Number, numbers[id], "seed %d", seed)
			case r.err != nil:
				require.NotContains(t, numbers, id, "seed %d: %v", seed, r.err)
			}
		}
	}
}

// restoredState is a state of restoreModel.
type restoredState struct{ head, copied int64 }

// restoreModel extends headModel by copies and restores of the table.
var restoreModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{restoredState{}} },
	Step: func(state, input, output any) []any {
		s, r := state.(restoredState), output.(result)
		switch {
		case r.copied:
			return []any{restoredState{head: s.head, copied: s.head}}
		case r.restored:
			return []any{restoredState{head: s.copied, copied: s.copied}}
		case r.lost && (r.base < 0 || r.base == s.head):
			return []any{s, restoredState{head: s.head + 1, copied: s.copied}}
		case r.lost:
			return []any{s}
		}
		var next []any
		for _, head := range headModel.Step(s.head, input, output) {
			next = append(next, restoredState{head: head.(int64), copied: s.copied})
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestHistoriesWithRestoreAreLinearizable checks the histories of concurrent operators
// against restoreModel.
func TestHistoriesWithRestoreAreLinearizable(t *testing.T) {
	const seeds = 60
	model := restoreModel.ToModel()
	for seed := range uint64(seeds) {
		_, results := runOperatorsWithRestore(seed)
		requireLinearizable(t, model, append(results, lostEffects(results)...), seed)
	}
}

// lostEffects returns an operation with an unknown outcome for each one during which the
// table was restored: its first attempt may have taken effect before, with a lost reply.
func lostEffects(results []result) []result {
	var lost []result
	restore := slices.IndexFunc(results, func(r result) bool { return r.restored })
	if restore < 0 {
		return nil
	}
	at := results[restore].call
	for _, r := range results {
		if r.call < at && at < r.end && !r.load {
			lost = append(lost, result{base: r.base, lost: true, call: r.call, end: at})
		}
	}
	return lost
}
