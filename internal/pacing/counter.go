package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// counterSlots is the resolution of a Counter: its count covers between span and
// span·(1 + 1/counterSlots).
const counterSlots = 20

// Counter counts many events in a sliding window with bounded memory. Its count
// covers at least the span.
type Counter struct {
	span  time.Duration
	slots [counterSlots + 1]int
	at    int64 // number of the current slot since the epoch
	total int
}

// NewCounter returns a counter over a span.
func NewCounter(span time.Duration) *Counter { return &Counter{span: span} }

// Add counts n events.
func (c *Counter) Add(now model.Instant, n int) {
	c.advance(now)
	c.slots[c.at%int64(len(c.slots))] += n
	c.total += n
}

// Count returns the events of at least the last span.
func (c *Counter) Count(now model.Instant) int {
	c.advance(now)
	return c.total
}

func (c *Counter) advance(now model.Instant) {
	at := int64(now) / int64(c.span/counterSlots)
	if at-c.at > int64(len(c.slots)) {
		clear(c.slots[:])
		c.total = 0
		c.at = at
		return
	}
	for c.at < at {
		c.at++
		slot := &c.slots[c.at%int64(len(c.slots))]
		c.total -= *slot
		*slot = 0
	}
}
