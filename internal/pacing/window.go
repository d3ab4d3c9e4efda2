// Package pacing counts events in sliding windows, so that rate limits hold in every
// span of that length. It does no I/O and reads no clock.
package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Window stores the times of the events of the last Span. The zero value with a Span set
// is ready for use.
type Window struct {
	Span  time.Duration
	times []model.Instant // oldest first
}

// Add records an event.
func (w *Window) Add(now model.Instant) {
	w.expire(now)
	w.times = append(w.times, now)
}

// Count returns the number of events within the Span before now.
func (w *Window) Count(now model.Instant) int {
	w.expire(now)
	return len(w.times)
}

// CountWithin is Count for a span that is shorter than the window's.
func (w *Window) CountWithin(now model.Instant, span time.Duration) int {
	w.expire(now)
	n := 0
	for _, at := range w.times {
		if now.Sub(at) < span {
			n++
		}
	}
	return n
}

// TimeUntilBelow returns the time until fewer than limit events are left in the window,
// 0 if that is already the case. If limit is less than 1, it returns Span.
func (w *Window) TimeUntilBelow(now model.Instant, limit int) time.Duration {
	return w.TimeUntilBelowWithin(now, limit, w.Span)
}

// TimeUntilBelowWithin is TimeUntilBelow for a span that is shorter than the window's.
func (w *Window) TimeUntilBelowWithin(now model.Instant, limit int, span time.Duration) time.Duration {
	w.expire(now)
	if limit < 1 {
		return span
	}
	if len(w.times) < limit {
		return 0
	}
	return max(0, w.times[len(w.times)-limit].Add(span).Sub(now))
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
