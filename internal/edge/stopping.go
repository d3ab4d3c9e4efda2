package edge

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/ingress"
)

const (
	// maxAcceptAll is the longest time after the start of a stop in which all requests are
	// accepted, since callers do not know of the stop yet.
	maxAcceptAll = 3 * time.Second
	// finishMargin is the time left for writing an answer before requests are aborted.
	finishMargin = 100 * time.Millisecond
)

// stopWindow says which requests a stopping instance accepts.
type stopWindow struct {
	acceptAll time.Time // until then, all
	abort     time.Time // requests in flight are aborted
}

// accepts reports whether a request that takes at most timeout may start at now.
func (w *stopWindow) accepts(now time.Time, timeout time.Duration) bool {
	return now.Before(w.acceptAll) || timeout <= w.abort.Sub(now)-finishMargin
}

// accepts reports whether this instance takes a request now: a stopping one takes only
// those that it can finish.
func (e *Edge) accepts(x *ingress.Exchange) bool {
	if e.refusing.Load() {
		return false
	}
	w := e.stopWindow.Load()
	return w == nil || w.accepts(time.Now(), e.longestTimeout(x))
}

// longestTimeout returns the longest time that a request may take.
func (e *Edge) longestTimeout(x *ingress.Exchange) time.Duration {
	timeout := time.Duration(math.MaxInt64)
	if x.DeadlineHint > 0 {
		timeout = x.DeadlineHint
	}
	e.mu.Lock()
	c := e.dispatcher.Configuration()
	e.mu.Unlock()
	if c == nil {
		return timeout
	}
	if route := c.Match(x.Host, x.Path); route != nil && route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}
