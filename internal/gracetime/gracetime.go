// Package gracetime ends the time that a stopping process gives its requests in flight.
package gracetime

import (
	"context"
	"time"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 50 * time.Millisecond
	// standstill is the time between two checks from which on the process counts as not having
	// run in the meantime. It is above the pauses of an ordinary quota of processor time.
	standstill = 250 * time.Millisecond
	// catchUp is the running time that the process has after a standstill to pass on answers that
	// arrived meanwhile.
	catchUp = 500 * time.Millisecond
)

// Context returns a context that is canceled at end. After a standstill of the process at that time
// or shortly before, it is canceled once the process has run for catchUp again. A release of its
// resources cancels it, too.
func Context(end time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	w := watch{end: end, last: time.Now()}
	go func() {
		defer cancel()
		for !w.isOver(time.Now()) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(w.untilCheck()):
			}
		}
	}()
	return ctx, cancel
}

// watch follows the clock of a process that may stand still.
type watch struct {
	end      time.Time
	last     time.Time     // of the last check
	left     time.Duration // running time until the process has caught up
	extended bool          // a standstill has ended after end; no other one counts
}

// untilCheck returns the time from the last check to the next one.
func (w *watch) untilCheck() time.Duration {
	if left := w.end.Sub(w.last); left > 0 {
		return min(left, checkInterval)
	}
	return checkInterval
}

// isOver reports whether the time has ended, as of a check at now.
func (w *watch) isOver(now time.Time) bool {
	gap := now.Sub(w.last)
	w.last = now
	w.left -= min(gap, checkInterval)
	late := !now.Before(w.end)
	if gap >= standstill && !w.extended {
		w.left = catchUp
		w.extended = late
	}
	return late && w.left <= 0
}
