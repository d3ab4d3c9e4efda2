package backend

import (
	"maps"
	"sync"
	"time"
)

// maxTrackedValues limits the number of idempotency keys, and of request identifiers, for
// which counts are kept; the oldest are dropped first.
const maxTrackedValues = 200_000

// Runs holds the counts of a server since New; a crash does not reset them.
type Runs struct {
	Started   int64 `json:"started"`   // requests that started to run
	Completed int64 `json:"completed"` // requests that ran to the end
	Cancelled int64 `json:"cancelled"` // aborted because the caller closed the connection or sent an incomplete body
	Shed      int64 `json:"shed"`      // requests refused without running
	Crashes   int64 `json:"crashes"`
	// PeakInUse is the maximum number of slots in use at the same time.
	PeakInUse int `json:"peak_in_use"`
	// LastStart is the time at which the last request started to run, in milliseconds
	// since the Unix epoch; 0 if none has.
	LastStart int64 `json:"last_start_ms"`
	// IdempotencyKeys and RequestIDs hold the number of runs of each value received.
	IdempotencyKeys map[string]int `json:"idempotency_keys"`
	RequestIDs      map[string]int `json:"request_ids"`
}

// runCounters collects the counts of Runs, except PeakInUse.
type runCounters struct {
	mu              sync.Mutex
	runs            Runs
	idempotencyKeys boundedCounts
	requestIDs      boundedCounts
}

func newRunCounters() *runCounters {
	return &runCounters{idempotencyKeys: newBoundedCounts(), requestIDs: newBoundedCounts()}
}

func (c *runCounters) started(idempotencyKey, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Started++
	c.runs.LastStart = time.Now().UnixMilli()
	c.idempotencyKeys.add(idempotencyKey)
	c.requestIDs.add(requestID)
}

func (c *runCounters) completed() { c.count(&c.runs.Completed) }
func (c *runCounters) cancelled() { c.count(&c.runs.Cancelled) }
func (c *runCounters) shed()      { c.count(&c.runs.Shed) }
func (c *runCounters) crashed()   { c.count(&c.runs.Crashes) }

func (c *runCounters) count(counter *int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
}

func (c *runCounters) snapshot() Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runs
	runs.IdempotencyKeys = maps.Clone(c.idempotencyKeys.counts)
	runs.RequestIDs = maps.Clone(c.requestIDs.counts)
	return runs
}

// boundedCounts counts the occurrences of up to maxTrackedValues values; a further value
// replaces the oldest.
type boundedCounts struct {
	counts map[string]int
	order  []string // ring buffer of the values in the order of their first occurrence
	next   int      // index in order of the oldest value, once the ring is full
}

func newBoundedCounts() boundedCounts { return boundedCounts{counts: make(map[string]int)} }

func (b *boundedCounts) add(value string) {
	if value == "" {
		return
	}
	b.counts[value]++
	if b.counts[value] > 1 {
		return
	}
	if len(b.order) < maxTrackedValues {
		b.order = append(b.order, value)
		return
	}
	delete(b.counts, b.order[b.next])
	b.order[b.next] = value
	b.next = (b.next + 1) % maxTrackedValues
}
