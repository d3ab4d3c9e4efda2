package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// counterBuckets is the resolution of a Counter: its count covers between span and
// span·(1 + 1/counterBuckets).
const counterBuckets = 20

// Counter counts events in a sliding window, in constant memory. Its count covers at
// least the span.
type Counter struct {
	span    time.Duration
	buckets [counterBuckets + 1]int
	current int64 // number of the current bucket since the epoch
	total   int
}

// maxCounted returns the longest span that a Counter over span covers.
func maxCounted(span time.Duration) time.Duration { return span + span/counterBuckets }

// NewCounter returns a Counter over the given span.
func NewCounter(span time.Duration) *Counter { return &Counter{span: span} }

// Add counts n events.
func (c *Counter) Add(now model.Instant, n int) {
	c.advance(now)
	c.buckets[c.current%int64(len(c.buckets))] += n
	c.total += n
}

// Count returns the number of events in at least the last span.
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
