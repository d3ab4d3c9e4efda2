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

const sampleEvery = 25 * time.Millisecond

// revisionWatch samples the revision that each instance has in force and
// reports every step back.
type revisionWatch struct {
	mu       sync.Mutex
	highest  map[string]int64 // by name and incarnation
	hashes   map[int64]string
	backward []string
	stop     context.CancelFunc
	running  sync.WaitGroup
}

func (f *fleet) watchRevisions() *revisionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &revisionWatch{highest: make(map[string]int64), hashes: make(map[int64]string), stop: cancel}
	for _, p := range f.processes {
		w.running.Go(func() {
			for ctx.Err() == nil {
				w.sample(f, p)
				time.Sleep(sampleEvery)
			}
		})
	}
	f.t.Cleanup(func() { cancel(); w.running.Wait() })
	return w
}

func (w *revisionWatch) sample(f *fleet, p *process) {
	s, err := f.statusOf(p)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := fmt.Sprintf("%s/%d", p.name, s.Incarnation)
	revision := s.Configuration.Revision
	if revision < w.highest[name] {
		w.backward = append(w.backward, fmt.Sprintf("%s went from revision %d to %d", name, w.highest[name], revision))
	}
	w.highest[name] = max(w.highest[name], revision)
	if hash, ok := w.hashes[revision]; ok && hash != s.Configuration.Hash {
		w.backward = append(w.backward, fmt.Sprintf("%s has revision %d with hash %s, others %s", name, revision, s.Configuration.Hash, hash))
	}
	w.hashes[revision] = s.Configuration.Hash
}

func (w *revisionWatch) check(t *testing.T) {
	t.Helper()
	w.stop()
	w.running.Wait()
	require.Empty(t, w.backward, "revisions never go back")
}

// inForce waits until every running instance has a revision in force and
// returns how long after it was accepted the last one adopted it.
func (f *fleet) inForce(number int64, within time.Duration) time.Duration {
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

func (f *fleet) apply(note string) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	head, err := f.store.Load(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := f.store.Apply(ctx, confstore.Change{
		Base: head.Number, Source: f.text(note), Author: "prove", Reason: note, OperationID: note,
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

// registerModel is the configuration: a change counts only on its base.
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

// operate lets one operator change the configuration several times, as fast as
// the platform answers.
func (f *fleet) operate(name string, times int, add func(porcupine.Operation)) {
	ctx := context.Background()
	for i := range times {
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
			Base: head.Number, Source: f.text(id), Author: name, Reason: id, OperationID: id,
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

// raceOperators lets two operators race and checks what each was told.
func (f *fleet) raceOperators(times int) {
	f.t.Helper()
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	head, err := f.store.Load(context.Background())
	require.NoError(f.t, err)
	for client, name := range []string{"ana", "ben"} {
		operators.Go(func() {
			f.operate(name, times, func(o porcupine.Operation) {
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
