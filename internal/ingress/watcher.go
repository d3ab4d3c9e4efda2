package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/tcpstate"
)

// disconnectCheckInterval is how often the connections of running exchanges are checked
// for callers that have disconnected.
const disconnectCheckInterval = 100 * time.Millisecond

// sentAheadCheckInterval is the age at which an exchange's connection is first checked for further
// requests once any caller has sent some ahead. It matters for the first one on a connection.
const sentAheadCheckInterval = 20 * time.Millisecond

// watcher cancels the exchanges of callers that have disconnected. The HTTP library
// cannot detect this, since it reads nothing while a request is being handled.
type watcher struct {
	sentAhead atomic.Bool // a caller has sent requests ahead
	mu        sync.Mutex
	// ring is the sentinel of a circular list of the running exchanges, oldest first.
	ring watched
}

// watched is an exchange's element in the watcher's list.
type watched struct {
	prev, next *watched
	x          *Exchange
	conn       net.Conn
	ahead      *pipeline // of the connection, nil if nothing is read ahead behind the exchange
	started    time.Time
}

func newWatcher() *watcher {
	w := new(watcher)
	w.ring.prev, w.ring.next = &w.ring, &w.ring
	return w
}

func (w *watcher) add(x *Exchange) {
	conn := x.ctx.Conn()
	e := &x.watched
	if c, ok := conn.(*progressConn); ok {
		conn = c.Conn
		if x.ahead == nil {
			e.ahead = c.ahead
		}
	}
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
	interval := disconnectCheckInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var checked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if w.sentAhead.Load() {
				w.checkSentAhead(now)
			}
			if now.Sub(checked) > disconnectCheckInterval-interval/2 {
				w.check(now)
				checked = now
			}
			if interval != sentAheadCheckInterval && w.sentAhead.Load() {
				interval = sentAheadCheckInterval
				ticker.Reset(interval)
			}
		}
	}
}

// check cancels the exchanges whose connections have been closed by the caller. An
// exchange is first checked when it has run for disconnectCheckInterval.
func (w *watcher) check(now time.Time) {
	for _, e := range w.olderThan(now.Add(-disconnectCheckInterval)) {
		switch tcpstate.NewProbe(e.conn).Peek() {
		case tcpstate.Closed:
			e.x.cancel(ErrCallerGone)
			w.remove(e.x)
		case tcpstate.Readable:
			e.noteSentAhead()
		}
	}
}

// checkSentAhead looks for requests that were sent behind an exchange which has run for
// sentAheadCheckInterval; check does so later. Each exchange is looked at once.
func (w *watcher) checkSentAhead(now time.Time) {
	for _, e := range w.startedBetween(now.Add(-2*sentAheadCheckInterval), now.Add(-sentAheadCheckInterval)) {
		if e.ahead != nil && tcpstate.NewProbe(e.conn).Peek() == tcpstate.Readable {
			e.noteSentAhead()
		}
	}
}

func (e *watched) noteSentAhead() {
	if e.ahead != nil {
		e.ahead.sentAhead()
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

// startedBetween returns the exchanges that started after the first time, up to the second.
func (w *watcher) startedBetween(after, until time.Time) []*watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*watched
	for e := w.ring.prev; e != &w.ring && e.started.After(after); e = e.prev {
		if !e.started.After(until) {
			found = append(found, e)
		}
	}
	return found
}
