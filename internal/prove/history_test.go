//go:build prove

package prove

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// result is what a caller saw of one attempt.
type result string

// The results. The first four are what the system says.
const (
	served      result = "served"
	late        result = "late"
	notRun      result = "not-run"
	unknown     result = "unknown"
	broken      result = "broken"      // the connection broke before the answer
	cut         result = "cut"         // the answer ended early, and not cleanly
	timedOut    result = "timeout"     // no answer in time
	unreachable result = "unreachable" // no connection could be opened
	wrong       result = "wrong"       // not the whole answer to this request
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
	// Answered is the attempt whose answer this is; with a repeated key it may be
	// an earlier one.
	Answered string
	Detail   string
}

func (o operation) String() string {
	return fmt.Sprintf("%s at %s from %s: %s %s %d %s", o.ID, o.Entry, o.Source, o.Result, o.Cause, o.Status, o.Detail)
}

func (o operation) answered() bool { return o.Result == served || o.Result == late }

// history is every attempt of a run.
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

// count summarizes a history by result and cause.
func (h *history) count() map[string]int {
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

// bySecond counts the attempts without an answer by the second in which they
// were sent, from a moment on, and by result and cause.
func (h *history) bySecond(from time.Time) []string {
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
