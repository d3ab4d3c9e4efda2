package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// failureWindow counts attempts over a period of one to two half windows.
type failureWindow struct {
	current, previous attemptCounts
	end               model.Instant // end of the current half window
}

type attemptCounts struct{ total, failed int }

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
		w.previous = attemptCounts{}
	}
	w.current = attemptCounts{}
	w.end = now.Add(half)
}

// failing reports whether there were at least minAttempts attempts and at least
// share of them failed.
func (w *failureWindow) failing(share float64, minAttempts int) bool {
	total := w.current.total + w.previous.total
	failed := w.current.failed + w.previous.failed
	return total >= minAttempts && float64(failed) >= share*float64(total)
}
