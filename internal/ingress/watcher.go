package ingress

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/tcpstate"
)

// goneCheckPeriod is how often the connections of running exchanges are checked
// for callers that have gone away.
const goneCheckPeriod = 100 * time.Millisecond

// watcher cancels the exchanges of callers that have gone away. The HTTP
// library reads nothing while a request is being handled, so it cannot tell.
type watcher struct {
	mu sync.Mutex
	// ends is the anchor of a ring of the running exchanges, oldest first.
	ends watched
}

// watched is an exchange's place in the watcher's ring.
type watched struct {
	before, after *watched
	x             *Exchange
	conn          net.Conn
	started       time.Time
}

func newWatcher() *watcher {
	w := new(watcher)
	w.ends.before, w.ends.after = &w.ends, &w.ends
	return w
}

func (w *watcher) add(x *Exchange) {
	conn := x.ctx.Conn()
	if c, ok := conn.(*progressConn); ok {
		conn = c.Conn
	}
	e := &x.watched
	e.x, e.conn, e.started = x, conn, time.Now()
	w.mu.Lock()
	e.before, e.after = w.ends.before, &w.ends
	e.before.after, e.after.before = e, e
	w.mu.Unlock()
}

// remove takes an exchange out of the ring; it may be called again.
func (w *watcher) remove(x *Exchange) {
	e := &x.watched
	w.mu.Lock()
	if e.before != nil {
		e.before.after, e.after.before = e.after, e.before
		e.before, e.after = nil, nil
	}
	w.mu.Unlock()
}

// run checks until the context ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(goneCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.check(now)
		}
	}
}

func (w *watcher) check(now time.Time) {
	for _, e := range w.olderThan(now.Add(-goneCheckPeriod)) {
		if tcpstate.NewProbe(e.conn).Peek() == tcpstate.Closed {
			e.x.cancel()
			w.remove(e.x)
		}
	}
}

// olderThan returns the exchanges that started before the limit, so that their
// sockets are looked at without holding the lock.
func (w *watcher) olderThan(limit time.Time) []*watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	var old []*watched
	for e := w.ends.after; e != &w.ends && e.started.Before(limit); e = e.after {
		old = append(old, e)
	}
	return old
}
