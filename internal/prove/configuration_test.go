//go:build prove

package prove

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/confstore"
)

const sampleInterval = 25 * time.Millisecond

// revisionMonitor samples the revision in force on each instance. It records every
// instance that returns to an older revision, and every revision that has different
// hashes on two instances.
type revisionMonitor struct {
	mu         sync.Mutex
	highest    map[string]int64 // by instance name and incarnation
	hashes     map[int64]string
	violations []string
	stop       context.CancelFunc
	samplers   sync.WaitGroup
}

func (f *fleet) monitorRevisions() *revisionMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	w := &revisionMonitor{highest: make(map[string]int64), hashes: make(map[int64]string), stop: cancel}
	for _, p := range f.processes {
		w.samplers.Go(func() {
			for ctx.Err() == nil {
				w.sample(f, p)
				time.Sleep(sampleInterval)
			}
		})
	}
	f.t.Cleanup(func() { cancel(); w.samplers.Wait() })
	return w
}

func (w *revisionMonitor) sample(f *fleet, p *process) {
	s, err := f.statusOf(p)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := fmt.Sprintf("%s/%d", p.name, s.Incarnation)
	revision := s.Configuration.Revision
	if revision < w.highest[name] {
		w.violations = append(w.violations, fmt.Sprintf("%s went back from revision %d to %d", name, w.highest[name], revision))
	}
	w.highest[name] = max(w.highest[name], revision)
	if hash, ok := w.hashes[revision]; ok && hash != s.Configuration.Hash {
		w.violations = append(w.violations, fmt.Sprintf("%s has revision %d with hash %s, others %s", name, revision, s.Configuration.Hash, hash))
	}
	w.hashes[revision] = s.Configuration.Hash
}

func (w *revisionMonitor) check(t *testing.T) {
	t.Helper()
	w.stop()
	w.samplers.Wait()
	require.Empty(t, w.violations, "revisions that went back or have different hashes")
}

// waitInForce waits until every running instance has revision number or a later one
// in force. It returns the longest time from acceptance to adoption among the
// instances seen with exactly that revision.
func (f *fleet) waitInForce(number int64, within time.Duration) time.Duration {
	f.t.Helper()
	var slowest time.Duration
	for _, p := range f.processes {
		if p.command == nil {
			continue
		}
		require.Eventually(f.t, func() bool {
			s, err := f.statusOf(p)
			if err != nil || s.Configuration.Revision < number {
				return false
			}
			if s.Configuration.Revision == number {
				slowest = max(slowest, s.Configuration.AdoptedAt.Sub(s.Configuration.AcceptedAt))
			}
			return true
		}, within, pollStatus, "%s does not have revision %d in force", p.name, number)
	}
	return slowest
}

// apply commits a configuration that differs from others only by note, and returns
// its revision number.
func (f *fleet) apply(note string) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	head, err := f.store.Load(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := f.store.Apply(ctx, confstore.Change{
		Base: head.Number, Source: f.configurationText(note), Author: "prove", Reason: note, OperationID: note,
	})
	if err != nil {
		return 0, err
	}
	return revision.Number, nil
}

// registerOperation is a read or a conditional write of the configuration.
type registerOperation struct {
	write bool
	base  int64
	id    string
}

type registerOutput struct {
	outcome string // "ok", "conflict" or "unknown"
	number  int64
	id      string
}

type registerState struct {
	number int64
	id     string
}

// registerModel models the configuration as a register with compare-and-set: a change
// is applied only if its base is the current revision.
func registerModel(start registerState) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{start} },
		Step: func(state, input, output any) []any {
			return stepRegister(state.(registerState), input.(registerOperation), output.(registerOutput))
		},
	}
	return model.ToModel()
}

func stepRegister(s registerState, in registerOperation, out registerOutput) []any {
	applied := registerState{s.number + 1, in.id}
	switch {
	case !in.write && out.outcome == "unknown":
		return []any{s}
	case !in.write:
		if s.number == out.number && s.id == out.id {
			return []any{s}
		}
	case out.outcome == "ok":
		if s.number == in.base && applied.number == out.number {
			return []any{applied}
		}
	case out.outcome == "conflict":
		if s.number != in.base {
			return []any{s}
		}
	case s.number == in.base:
		return []any{s, applied}
	default:
		return []any{s}
	}
	return nil
}

// applyChanges loads and changes the configuration count times as one operator, as
// fast as the platform answers, and records each load and change through add.
func (f *fleet) applyChanges(name string, count int, add func(porcupine.Operation)) {
	ctx := context.Background()
	for i := range count {
		called := time.Now().UnixNano()
		head, err := f.store.Load(ctx)
		out := registerOutput{outcome: "unknown"}
		if err == nil {
			out = registerOutput{outcome: "ok", number: head.Number, id: head.Reason}
		}
		add(porcupine.Operation{Input: registerOperation{}, Call: called, Output: out, Return: time.Now().UnixNano()})
		if err != nil {
			continue
		}
		id := fmt.Sprintf("%s-%d-%d", name, head.Number, i)
		called = time.Now().UnixNano()
		revision, err := f.store.Apply(ctx, confstore.Change{
			Base: head.Number, Source: f.configurationText(id), Author: name, Reason: id, OperationID: id,
		})
		op := porcupine.Operation{Input: registerOperation{true, head.Number, id}, Call: called, Return: time.Now().UnixNano()}
		var conflict *confstore.ConflictError
		switch {
		case err == nil:
			op.Output = registerOutput{outcome: "ok", number: revision.Number}
		case errors.As(err, &conflict):
			op.Output = registerOutput{outcome: "conflict"}
		default:
			op.Output = registerOutput{outcome: "unknown"}
			op.Return = time.Now().Add(time.Hour).UnixNano()
		}
		add(op)
	}
}

// raceOperators lets two operators make count changes each at the same time, and
// checks the results that they got against registerModel.
func (f *fleet) raceOperators(count int) {
	f.t.Helper()
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	head, err := f.store.Load(context.Background())
	require.NoError(f.t, err)
	for client, name := range []string{"ana", "ben"} {
		operators.Go(func() {
			f.applyChanges(name, count, func(o porcupine.Operation) {
				mu.Lock()
				defer mu.Unlock()
				o.ClientId = client
				history = append(history, o)
			})
		})
	}
	operators.Wait()
	outcomes := make(map[string]int)
	for _, o := range history {
		if o.Input.(registerOperation).write {
			outcomes[o.Output.(registerOutput).outcome]++
		}
	}
	f.t.Logf("two operators: %v", outcomes)
	model := registerModel(registerState{head.Number, head.Reason})
	require.Equal(f.t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, time.Minute))
}
