//go:build prove

package prove

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// settleTime is the wait after the load has ended, in which backend servers may still
// start requests.
const settleTime = 4 * time.Second

// runCounts counts the runs on all backend servers by idempotency key and by request
// identifier.
type runCounts struct{ byKey, byRequest map[string]int }

func (f *fleet) runCounts() runCounts {
	r := runCounts{byKey: make(map[string]int), byRequest: make(map[string]int)}
	for _, s := range f.servers {
		ran := s.Runs()
		for key, n := range ran.IdempotencyKeys {
			r.byKey[key] += n
		}
		for id, n := range ran.RequestIDs {
			r.byRequest[id] += n
		}
	}
	return r
}

// checkRequests ends the load and compares the outcomes that callers received with
// the requests that ran: no key runs twice, no request reported as not run has run,
// and every answer comes from a request that ran.
func (f *fleet) checkRequests(l *load) {
	t := f.t
	t.Helper()
	l.finish()
	time.Sleep(settleTime)
	ran := f.runCounts()
	operations := l.history.all()
	t.Logf("%d attempts: %v", len(operations), l.history.countByResult())
	duplicateRuns, falseNotRuns, wrongAnswers := 0, 0, 0
	for key, n := range ran.byKey {
		if n > 1 {
			duplicateRuns++
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, o := range operations {
		if (o.Result == notRun || o.Result == unreachable) && ran.byRequest[o.ID] > 0 {
			falseNotRuns++
			t.Errorf("reported as not run, but ran: %v", o)
		}
		if o.Result == wrongAnswer || o.Result == "" || o.answered() && ran.byRequest[o.AnswerID] == 0 {
			wrongAnswers++
			t.Errorf("wrong answer: %v", o)
		}
	}
	t.Logf("%d keys ran; run more than once %d, reported as not run but ran %d, wrong answers %d", len(ran.byKey), duplicateRuns, falseNotRuns, wrongAnswers)
	checkOnceHistory(t, operations, ran)
}

// onceOutput is the output of an operation in onceModel. The operations of callers
// set result and answerID; the final read of a key sets only ran, the identifier of
// the attempt that the backend servers ran, "" for none.
type onceOutput struct {
	result   result
	answerID string
	ran      string
}

// finalRead stands in for the attempt identifier in the final read of a key.
const finalRead = "what ran"

// checkOnceHistory checks the operations of each key against onceModel: at most one
// attempt runs, a repeat gets the answer of the attempt that ran, and no attempt
// reported as not run has run.
func checkOnceHistory(t *testing.T, operations []operation, ran runCounts) {
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
		if o.indeterminate() {
			returned = end + 1
		}
		if ran.byRequest[o.ID] > 0 {
			final[o.Key] = o.ID
		} else if _, ok := final[o.Key]; !ok {
			final[o.Key] = ""
		}
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: [2]string{o.Key, o.ID}, Call: o.Called.UnixNano(),
			Output: onceOutput{result: o.Result, answerID: o.AnswerID}, Return: returned,
		})
	}
	for key, id := range final {
		history = append(history, porcupine.Operation{
			ClientId: len(history), Input: [2]string{key, finalRead}, Call: end + 2,
			Output: onceOutput{ran: id}, Return: end + 3,
		})
	}
	result := porcupine.CheckOperationsTimeout(onceModel.ToModel(), history, time.Minute)
	require.Equal(t, porcupine.Ok, result, "history of once keys")
	t.Logf("porcupine accepts %d operations on %d once keys", len(history)-len(final), len(final))
}

// indeterminate reports whether the result leaves open if the attempt has run or will
// still run.
func (o operation) indeterminate() bool {
	return !o.answered() && o.Result != notRun && o.Result != unreachable
}

// onceModel models a once key. Its state is the identifier of the attempt that ran,
// "" for none.
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
	case id == finalRead:
		if state != out.ran {
			return nil
		}
		return []any{state}
	case out.result == served || out.result == late:
		if state == "" && out.answerID == id || state == out.answerID {
			return []any{out.answerID}
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
