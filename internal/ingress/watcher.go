package ingress

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/tcpstate"
)

// disconnectCheckInterval is how often the connections of running exchanges are checked
// for callers that have disconnected.
const disconnectCheckInterval = 100 * time.Millisecond

// watcher cancels the exchanges of callers that have disconnected. The HTTP library
// cannot detect this, since it reads nothing while a request is being handled.
type watcher struct {
	mu sync.Mutex
	// ring is the sentinel of a circular list of the running exchanges, oldest first.
	ring watched
}

// watched is an exchange's element in the watcher's list.
type watched struct {
	prev, next *watched
	x          *Exchange
	conn       net.Conn
	started    time.Time
}

func newWatcher() *watcher {
	w := new(watcher)
	w.ring.prev, w.ring.next = &w.ring, &w.ring
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
	e.prev, e.next = w.ring.prev, &w.ring
	e.prev.next, e.next.prev = e, e
	w.mu.Unlock()
}

// remove removes an exchange from the list. Further calls have no effect.
func (w *watcher) remove(x *Exchange) {
	e := &x.watched
	w.mu.Lock()
	if e.prev != nil {
		e.prev.next, e.next.prev = e.next, e.prev
		e.prev, e.next = nil, nil
	}
	w.mu.Unlock()
}

// run checks the exchanges periodically until the context is done.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(disconnectCheckInterval)
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

// check cancels the exchanges whose connections have been closed by the caller. An
// exchange is first checked when it has run for disconnectCheckInterval.
func (w *watcher) check(now time.Time) {
	for _, e := range w.olderThan(now.Add(-disconnectCheckInterval)) {
		if tcpstate.NewProbe(e.conn).Peek() == tcpstate.Closed {
			e.x.cancel(ErrCallerGone)
			w.remove(e.x)
		}
	}
}

// olderThan returns the exchanges that started before the limit, so that their
// sockets can be checked without holding the lock.
func (w *watcher) olderThan(limit time.Time) []*watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	var old []*watched
	for e := w.ring.next; e != &w.ring && e.started.Before(limit); e = e.next {
		old = append(old, e)
	}
	return old
}
