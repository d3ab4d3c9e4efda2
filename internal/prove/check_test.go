//go:build prove

package prove

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// settleTime is how long after the load backend servers may still start work.
const settleTime = 4 * time.Second

// runs is what all backend servers ran together.
type runs struct{ keys, requests map[string]int }

func (f *fleet) runs() runs {
	r := runs{keys: make(map[string]int), requests: make(map[string]int)}
	for _, s := range f.servers {
		ran := s.Runs()
		for key, n := range ran.IdempotencyKeys {
			r.keys[key] += n
		}
		for id, n := range ran.RequestIDs {
			r.requests[id] += n
		}
	}
	return r
}

// checkRequests compares what callers were told with what ran.
func (f *fleet) checkRequests(l *load) {
	t := f.t
	t.Helper()
	l.finish()
	time.Sleep(settleTime)
	ran := f.runs()
	operations := l.history.all()
	t.Logf("%d attempts: %v", len(operations), l.history.count())
	doubles, liars, wrongs := 0, 0, 0
	for key, n := range ran.keys {
		if n > 1 {
			doubles++
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, o := range operations {
		if (o.Result == notRun || o.Result == unreachable) && ran.requests[o.ID] > 0 {
			liars++
			t.Errorf("told not-run, but ran: %v", o)
		}
		if o.Result == wrong || o.Result == "" || o.answered() && ran.requests[o.Answered] == 0 {
			wrongs++
			t.Errorf("wrong answer: %v", o)
		}
	}
	t.Logf("%d keys ran; doubles %d, not-run that ran %d, wrong answers %d", len(ran.keys), doubles, liars, wrongs)
	checkOnce(t, operations, ran)
}

// onceOutput is what the model compares: the result and whose answer it was.
// The last operation on a key has no input and tells what really ran.
type onceOutput struct {
	result   result
	answered string
	ran      string
}

const lastOperation = "what ran"

// checkOnce checks the operations of each key: at most one of them runs, a
// repeat gets the answer of the one that ran, and none that was told not-run did.
func checkOnce(t *testing.T, operations []operation, ran runs) {
	t.Helper()
	var history []porcupine.Operation
	final := make(map[string]string)
	end := int64(0)
	for _, o := range operations {
		end = max(end, o.Ended.UnixNano())
	}
	for _, o := range operations {
		if o.Key == "" {
			continue
		}
		returned := o.Ended.UnixNano()
		if o.mayRunLater() {
			returned = end + 1
		}
		if ran.requests[o.ID] > 0 {
			final[o.Key] = o.ID
		} else if _, ok := final[o.Key]; !ok {
			final[o.Key] = ""
		}
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: [2]string{o.Key, o.ID}, Call: o.Called.UnixNano(),
			Output: onceOutput{result: o.Result, answered: o.Answered}, Return: returned,
		})
	}
	for key, id := range final {
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: [2]string{key, lastOperation}, Call: end + 2,
			Output: onceOutput{ran: id}, Return: end + 3,
		})
	}
	result := porcupine.CheckOperationsTimeout(onceModel.ToModel(), history, time.Minute)
	require.Equal(t, porcupine.Ok, result, "the history of once keys")
	t.Logf("porcupine accepts %d operations on %d once keys", len(history)-len(final), len(final))
}

func (o operation) mayRunLater() bool {
	return !o.answered() && o.Result != notRun && o.Result != unreachable
}

// onceModel has the identifier of the attempt that ran as its state, "" for none.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.([2]string)[0]
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return stepOnce(state.(string), input.([2]string)[1], output.(onceOutput))
	},
}

func stepOnce(state, id string, out onceOutput) []any {
	switch {
	case id == lastOperation:
		if state != out.ran {
			return nil
		}
		return []any{state}
	case out.result == served || out.result == late:
		if state == "" && out.answered == id || state == out.answered {
			return []any{out.answered}
		}
		return nil
	case out.result == notRun || out.result == unreachable:
		return []any{state}
	case state == "":
		return []any{"", id}
	default:
		return []any{state}
	}
}
