package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// counterSlots is the resolution of a Counter: its count covers between span and
// span·(1 + 1/counterSlots).
const counterBuckets = 20

// Counter counts many events in a sliding window with bounded memory. Its count
// covers at least the span.
type Counter struct {
	span    time.Duration
	buckets [counterBuckets + 1]int
	current int64 // number of the current slot since the epoch
	total   int
}

// NewCounter returns a counter over a span.
func NewCounter(span time.Duration) *Counter { return &Counter{span: span} }

// Add counts n events.
func (c *Counter) Add(now model.Instant, n int) {
	c.advance(now)
	c.buckets[c.current%int64(len(c.buckets))] += n
	c.total += n
}

// Count returns the events of at least the last span.
func (c *Counter) Count(now model.Instant) int {
	c.advance(now)
	return c.total
}

func (c *Counter) advance(now model.Instant) {
	target := int64(now) / int64(c.span/counterBuckets)
	if target-c.current > int64(len(c.buckets)) {
		clear(c.buckets[:])
		c.total = 0
		c.current = target
		return
	}
	for c.current < target {
		c.current++
		bucket := &c.buckets[c.current%int64(len(c.buckets))]
		c.total -= *bucket
		*bucket = 0
	}
}
