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
	table := newFakeTable(randomFaults(rand.New(rand.NewPCG(seed, 0))))
	start := time.Now()
	var mu sync.Mutex
	var results []result
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
}
