package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// failureWindow counts attempts over the last one to two half windows.
type failureWindow struct {
	current, previous attempts
	end               model.Instant // of the current half
}

type attempts struct{ total, failed int }

func (w *failureWindow) add(now model.Instant, half time.Duration, failed bool) {
	w.roll(now, half)
	w.current.total++
	if failed {
		w.current.failed++
	}
}

func (w *failureWindow) roll(now model.Instant, half time.Duration) {
	if now < w.end {
		return
	}
	w.previous = w.current
	if now.Sub(w.end) >= half {
		w.previous = attempts{}
	}
	w.current = attempts{}
	w.end = now.Add(half)
}

// failing reports whether at least share of at least least attempts failed.
func (w *failureWindow) failing(share float64, least int) bool {
	total := w.current.total + w.previous.total
	failed := w.current.failed + w.previous.failed
	return total >= least && float64(failed) >= share*float64(total)
}
