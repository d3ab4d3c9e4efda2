//go:build prove

package prove

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// result is the outcome of one attempt as its caller saw it.
type result string

// The first four results are values of the X-Outcome field; the caller determines the
// others.
const (
	served      result = "served"
	late        result = "late"
	notRun      result = "not-run"
	unknown     result = "unknown"
	broken      result = "broken"      // the connection broke before the answer
	truncated   result = "cut"         // the connection broke in the middle of the answer
	timedOut    result = "timeout"     // no answer within requestTimeout
	unreachable result = "unreachable" // no connection could be opened
	wrongAnswer result = "wrong"       // incomplete, or the answer to another request
)

// operation is one attempt of a caller.
type operation struct {
	ID     string // X-Request-Id, unique
	Key    string // idempotency key, "" for reads
	Entry  string // address of the entry instance
	Source string // the caller's address
	Called time.Time
	Ended  time.Time
	Result result
	Cause  string
	Status int
	// AnswerID identifies the attempt that produced the answer. With a repeated key
	// it may be an earlier attempt.
	AnswerID string
	Detail   string
}

func (o operation) String() string {
	return fmt.Sprintf("%s at %s from %s: %s %s %d %s", o.ID, o.Entry, o.Source, o.Result, o.Cause, o.Status, o.Detail)
}

func (o operation) answered() bool { return o.Result == served || o.Result == late }

// history records every attempt of a run.
type history struct {
	mu         sync.Mutex
	operations []operation
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func (h *history) all() []operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]operation(nil), h.operations...)
}

// countByResult counts the attempts by result and cause.
func (h *history) countByResult() map[string]int {
	counts := make(map[string]int)
	for _, o := range h.all() {
		name := string(o.Result)
		if o.Cause != "" {
			name += "/" + o.Cause
		}
		counts[name]++
	}
	return counts
}

// unansweredBySecond counts the attempts without an answer that were sent after from,
// by the second in which they were sent and by result and cause.
func (h *history) unansweredBySecond(from time.Time) []string {
	counts := make(map[string]int)
	for _, o := range h.all() {
		if second := int(o.Called.Sub(from) / time.Second); !o.answered() && second >= 0 {
			counts[fmt.Sprintf("%02d s: %s %s", second, o.Result, o.Cause)]++
		}
	}
	var lines []string
	for what, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", what, n))
	}
	sort.Strings(lines)
	return lines
}
