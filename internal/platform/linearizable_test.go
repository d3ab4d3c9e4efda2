package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/standin/tablestore"
)

const (
	historyKeys         = 3
	historyClients      = 6
	historyOpsPerClient = 80 // iterations of each client, each with one read and one commit
	checkTimeout        = 30 * time.Second
)

// tableState holds the value of each key; 0 represents an absent row. Every write
// except a deletion has a unique value, which identifies the version that the write
// created.
type tableState [historyKeys]int

// tableInput is a read of all keys, or a commit.
type tableInput struct {
	commit bool
	key    int // row that the condition names and the commit writes
	other  int // row that the commit also writes; may be key
	wanted int // value that the condition requires of key
	write  int // value written to both keys; 0 deletes
}

type commitResult int

const (
	commitApplied commitResult = iota
	commitRefused
	commitUnknown
	commitNotApplied
)

type tableOutput struct {
	state  tableState
	result commitResult
}

// tableModel returns the sequential specification of the table. A commit with an
// unknown outcome may or may not have been applied. If it was, it took effect before
// the call returned, because the injected faults close a connection only after the
// effect.
func tableModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{tableState{}} },
		Step: func(state, input, output any) []any {
			return tableModelStep(state.(tableState), input.(tableInput), output.(tableOutput))
		},
	}
	return model.ToModel()
}

func tableModelStep(state tableState, in tableInput, out tableOutput) []any {
	if !in.commit {
		if state == out.state {
			return []any{state}
		}
		return nil
	}
	holds := state[in.key] == in.wanted
	after := state
	after[in.key], after[in.other] = in.write, in.write
	switch {
	case out.result == commitNotApplied, out.result == commitUnknown && !holds:
		return []any{state}
	case out.result == commitUnknown:
		return []any{state, after}
	case out.result == commitApplied && holds:
		return []any{after}
	case out.result == commitRefused && !holds:
		return []any{state}
	default:
		return nil
	}
}

// history records the operations, and the value that belongs to each version.
type history struct {
	t        *testing.T
	start    time.Time
	mu       sync.Mutex
	ops      []porcupine.Operation
	versions map[int64]int // value by version, for all keys
}

func (h *history) add(client int, in tableInput, call int64, out tableOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := time.Since(h.start).Nanoseconds()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
}

func (h *history) checkVersion(row platform.Row, value int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen, ok := h.versions[row.Version]
	if !ok {
		h.versions[row.Version] = value
		return
	}
	if seen != value {
		h.t.Errorf("version %d has values %d and %d", row.Version, seen, value)
	}
}

func keyName(key int) string { return "row/" + strconv.Itoa(key) }

// runClient repeatedly reads all rows and commits a write that is conditional on a
// version it read.
func (h *history) runClient(table platform.Table, client int) {
	rng := rand.New(rand.NewPCG(uint64(client), 1))
	for op := range historyOpsPerClient {
		rows, state, ok := h.read(table, client)
		if !ok {
			continue
		}
		in := tableInput{
			commit: true,
			key:    rng.IntN(historyKeys),
			other:  rng.IntN(historyKeys),
			write:  1 + client*historyOpsPerClient + op,
		}
		if rng.IntN(5) == 0 {
			in.write = 0
		}
		in.wanted = state[in.key]
		h.commit(table, client, in, rows[in.key].Version)
	}
}

func (h *history) read(table platform.Table, client int) ([]platform.Row, tableState, bool) {
	var state tableState
	keys := make([]string, historyKeys)
	for i := range keys {
		keys[i] = keyName(i)
	}
	call := time.Since(h.start).Nanoseconds()
	rows, err := table.Get(context.Background(), keys...)
	if err != nil {
		return nil, state, false
	}
	for i, row := range rows {
		state[i], _ = strconv.Atoi(string(row.Value))
		h.checkVersion(row, state[i])
	}
	h.add(client, tableInput{}, call, tableOutput{state: state})
	return rows, state, true
}

func (h *history) commit(table platform.Table, client int, in tableInput, version int64) {
	value := []byte(strconv.Itoa(in.write))
	txn := platform.Transaction{
		Conditions: []platform.Condition{{Key: keyName(in.key), Version: version}},
		Writes: []platform.Write{
			{Key: keyName(in.key), Value: value, Delete: in.write == 0},
			{Key: keyName(in.other), Value: value, Delete: in.write == 0},
		},
	}
	call := time.Since(h.start).Nanoseconds()
	err := table.Commit(context.Background(), txn)
	h.add(client, in, call, tableOutput{result: commitResultOf(err)})
}

func commitResultOf(err error) commitResult {
	var conflict *platform.ConflictError
	var uncertain *platform.UncertainError
	switch {
	case err == nil:
		return commitApplied
	case errors.As(err, &conflict):
		return commitRefused
	case errors.As(err, &uncertain):
		return commitUnknown
	default:
		return commitNotApplied
	}
}

func TestTableIsLinearizableUnderLostReplies(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			faults := tablestore.Faults{LostReplies: 0.15, LostRequests: 0.1, JitterMillis: 1, Seed: seed}
			server, client := startPlatform(t, faults, func(s *platform.Settings) {
				s.AttemptTimeout = 30 * time.Second
				s.Breaker.Failures = 1000
				s.Retry.InitialInterval = time.Millisecond
				s.Retry.MaxInterval = time.Millisecond
			})
			h := &history{t: t, start: time.Now(), versions: make(map[int64]int)}
			var clients sync.WaitGroup
			for id := range historyClients {
				clients.Go(func() { h.runClient(client.Table(), id) })
			}
			clients.Wait()
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(tableModel(), h.ops, checkTimeout))
			counters := server.Counters()
			require.Positive(t, counters.LostReplies)
			require.Positive(t, counters.LostRequests)
			require.Positive(t, counters.Conflicts)
		})
	}
}
