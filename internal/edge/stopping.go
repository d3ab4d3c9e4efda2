package edge

import (
	"context"
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
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

// callerHandler refuses the requests that a stopping instance could break off, and passes
// all others on.
type callerHandler struct{ edge *Edge }

// Serve implements ingress.Handler.
func (h callerHandler) Serve(ctx context.Context, x *ingress.Exchange) {
	e := h.edge
	if w := e.stopWindow.Load(); w != nil && !w.accepts(time.Now(), e.longestTimeout(x)) {
		e.refuse(x, &dispatch.Refuse{Outcome: model.NotRun, Cause: model.CauseStopping, RetryAfter: stoppingRetryAfter})
		return
	}
	e.Serve(ctx, x)
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
