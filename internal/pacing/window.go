// Package pacing counts events in sliding windows, so that bounds hold in any span
// of that length. It is pure.
package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Window remembers the times of the events of its last span. The zero value with
// a Span is ready for use.
type Window struct {
	Span  time.Duration
	times []model.Instant // oldest first
}

// Add counts an event.
func (w *Window) Add(now model.Instant) {
	w.expire(now)
	w.times = append(w.times, now)
}

// Count returns the number of events within the span before now.
func (w *Window) Count(now model.Instant) int {
	w.expire(now)
	return len(w.times)
}

// Next returns how long it takes until fewer than limit events are left, 0 where
// that is so already.
func (w *Window) TimeUntilBelow(now model.Instant, limit int) time.Duration {
	w.expire(now)
	if limit < 1 {
		return w.Span
	}
	if len(w.times) < limit {
		return 0
	}
	return w.times[len(w.times)-limit].Add(w.Span).Sub(now)
}

func (w *Window) expire(now model.Instant) {
	n := 0
	for n < len(w.times) && now.Sub(w.times[n]) >= w.Span {
		n++
	}
	if n > 0 {
		w.times = append(w.times[:0], w.times[n:]...)
	}
}
