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
	mu      sync.Mutex
	running map[*Exchange]net.Conn
}

func newWatcher() *watcher {
	return &watcher{running: make(map[*Exchange]net.Conn)}
}

func (w *watcher) add(x *Exchange) {
	conn := x.ctx.Conn()
	if c, ok := conn.(*progressConn); ok {
		conn = c.Conn
	}
	w.mu.Lock()
	w.running[x] = conn
	w.mu.Unlock()
}

func (w *watcher) remove(x *Exchange) {
	w.mu.Lock()
	delete(w.running, x)
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
	for _, r := range w.olderThan(now.Add(-goneCheckPeriod)) {
		if tcpstate.NewProbe(r.conn).Peek() == tcpstate.Closed {
			r.x.cancel()
			w.remove(r.x)
		}
	}
}

// runningExchange is an exchange and its caller's connection.
type runningExchange struct {
	x    *Exchange
	conn net.Conn
}

func (w *watcher) olderThan(limit time.Time) []runningExchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	var old []runningExchange
	for x, conn := range w.running {
		if x.started.Before(limit) {
			old = append(old, runningExchange{x: x, conn: conn})
		}
	}
	return old
}
