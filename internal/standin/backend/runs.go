package backend

import (
	"maps"
	"sync"
	"time"
)

// maxTrackedNames bounds the idempotency keys and the request identifiers that
// are counted; the oldest are forgotten first.
const maxTrackedNames = 200_000

// Runs counts what the server ran since it was made, crashes included.
type Runs struct {
	Started   int64 `json:"started"`   // requests that began to run
	Completed int64 `json:"completed"` // ran to their end
	Cancelled int64 `json:"cancelled"` // stopped because the caller hung up or sent no whole body
	Shed      int64 `json:"shed"`      // refused without running
	Crashes   int64 `json:"crashes"`
	// PeakInUse is the highest number of slots in use.
	PeakInUse int `json:"peak_in_use"`
	// LastStart is when the last request began to run, in milliseconds since the
	// epoch; 0 for none.
	LastStart int64 `json:"last_start_ms"`
	// IdempotencyKeys and RequestIDs count the runs for each value that was sent.
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
	RequestIDs      map[string]int `json:"request_ids"`
}

// runLog counts runs.
type runLog struct {
	mu    sync.Mutex
	runs  Runs
	keys  nameCounts
	names nameCounts
}

func newRunLog() *runLog {
	return &runLog{keys: newNameCounts(), names: newNameCounts()}
}

func (l *runLog) started(idempotencyKey, requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs.Started++
	l.runs.LastStart = time.Now().UnixMilli()
	l.keys.add(idempotencyKey)
	l.names.add(requestID)
}

func (l *runLog) completed() { l.count(&l.runs.Completed) }
func (l *runLog) cancelled() { l.count(&l.runs.Cancelled) }
func (l *runLog) shed()      { l.count(&l.runs.Shed) }
func (l *runLog) crashed()   { l.count(&l.runs.Crashes) }

func (l *runLog) count(counter *int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*counter++
}

func (l *runLog) snapshot() Runs {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.runs
	runs.IdempotencyKeys = maps.Clone(l.keys.counts)
	runs.RequestIDs = maps.Clone(l.names.counts)
	return runs
}

// nameCounts counts names and forgets the oldest above the bound.
type nameCounts struct {
	counts map[string]int
	order  []string // ring of names in the order of their first count
	next   int
}

func newNameCounts() nameCounts { return nameCounts{counts: make(map[string]int)} }

func (n *nameCounts) add(name string) {
	if name == "" {
		return
	}
	n.counts[name]++
	if n.counts[name] > 1 {
		return
	}
	if len(n.order) < maxTrackedNames {
		n.order = append(n.order, name)
		return
	}
	delete(n.counts, n.order[n.next])
	n.order[n.next] = name
	n.next = (n.next + 1) % maxTrackedNames
}
