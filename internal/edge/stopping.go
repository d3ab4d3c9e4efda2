package edge

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/ingress"
)

const (
	// maxAcceptUsual is the longest time after the start of a stop in which requests are
	// accepted that may take too long but usually do not, since callers do not know of the stop yet.
	maxAcceptUsual = 3 * time.Second
	// finishMargin is the time left for writing an answer before requests are aborted.
	finishMargin = 100 * time.Millisecond
)

// stopWindow says which requests a stopping instance accepts.
type stopWindow struct {
	acceptUsual time.Time // until then, those that usually end in time
	abort       time.Time // requests in flight are aborted
}

// accepts reports whether a request may start at now that takes the time most at most and
// usually no longer than usual.
func (w *stopWindow) accepts(now time.Time, most, usual time.Duration) bool {
	left := w.abort.Sub(now) - finishMargin
	return most <= left || now.Before(w.acceptUsual) && usual <= left
}

// accepts reports whether this instance takes a request now: a stopping one takes only
// those that it can finish.
func (e *Edge) accepts(x *ingress.Exchange) bool {
	if e.refusing.Load() {
		return false
	}
	w := e.stopWindow.Load()
	if w == nil {
		return true
	}
	most, usual := e.timeNeeded(x)
	return w.accepts(time.Now(), most, usual)
}

// timeNeeded returns how long a request may take at most, and usually.
func (e *Edge) timeNeeded(x *ingress.Exchange) (most, usual time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.TimeNeeded(x.Host, x.Path, x.DeadlineHint)
}
