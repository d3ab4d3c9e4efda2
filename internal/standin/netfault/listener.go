// Package netfault provides a TCP listener for the stand-ins that can be suspended: it resets
// its connections, refuses new ones, and later listens on the same address again.
package netfault

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// retryInterval is the time between attempts to accept or to listen again.
const retryInterval = 10 * time.Millisecond

// Listener is a net.Listener that can be suspended and that tracks its open connections.
type Listener struct {
	addr net.Addr

	mu      sync.Mutex
	changed *sync.Cond   // signals changes of tcp and closed
	tcp     net.Listener // nil while suspended
	closed  bool
	conns   map[*Conn]struct{}
	// suspensions is the number of calls of Suspend; each cancels pending resumptions.
	suspensions int

	quit    chan struct{}
	resumes sync.WaitGroup
}

// Listen listens on addr (host:port, where port 0 selects a free port).
func Listen(addr string) (*Listener, error) {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	l := &Listener{
		addr:  tcp.Addr(),
		tcp:   tcp,
		conns: make(map[*Conn]struct{}),
		quit:  make(chan struct{}),
	}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// Accept implements net.Listener. It returns connections of type *Conn and blocks while the
// listener is suspended.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.current()
		if err != nil {
			return nil, err
		}
		accepted, err := tcp.Accept()
		if err != nil {
			l.pauseIfCurrent(tcp)
			continue
		}
		if c := l.track(tcp, accepted); c != nil {
			return c, nil
		}
	}
}

// current waits for the end of a suspension and returns the listener in use, or
// net.ErrClosed after Close.
func (l *Listener) current() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.tcp == nil && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	return l.tcp, nil
}

// pauseIfCurrent waits for retryInterval if tcp is still in use, so that Accept failed for
// another reason than a suspension, such as too many open files.
func (l *Listener) pauseIfCurrent(tcp net.Listener) {
	l.mu.Lock()
	failed := l.tcp == tcp && !l.closed
	l.mu.Unlock()
	if failed {
		l.wait(retryInterval)
	}
}

// wait waits for d. It returns false early if the listener is closed.
func (l *Listener) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.quit:
		return false
	}
}

// track registers a connection accepted from tcp. If the listener has been suspended or
// closed since, track resets the connection and returns nil.
func (l *Listener) track(tcp net.Listener, accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, listener: l}
	l.mu.Lock()
	stale := l.closed || l.tcp != tcp
	if !stale {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if stale {
		c.Reset()
		return nil
	}
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Conns returns the open connections.
func (l *Listener) Conns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// Suspend refuses new connections and resets the open ones. It cancels a pending
// ResumeAfter.
func (l *Listener) Suspend() {
	l.mu.Lock()
	l.suspensions++
	if l.tcp != nil && !l.closed {
		_ = l.tcp.Close()
		l.tcp = nil
	}
	l.mu.Unlock()
	l.ResetAll()
}

// ResetAll resets the open connections.
func (l *Listener) ResetAll() {
	for _, c := range l.Conns() {
		c.Reset()
	}
}

// ResumeAfter ends a suspension after wait by listening on the same address again. It returns
// immediately.
func (l *Listener) ResumeAfter(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	suspension := l.suspensions
	l.resumes.Go(func() { l.resume(suspension, wait) })
}

// resume ends the given suspension after wait, unless Suspend has been called again.
func (l *Listener) resume(suspension int, wait time.Duration) {
	for l.wait(wait) && !l.tryResume(suspension) {
		wait = retryInterval
	}
}

// tryResume tries to end the given suspension. It returns false if listening failed and must
// be retried.
func (l *Listener) tryResume(suspension int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.tcp != nil || l.suspensions != suspension {
		return true
	}
	tcp, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return false
	}
	l.tcp = tcp
	l.changed.Broadcast()
	return true
}

// Close implements net.Listener. It does not close open connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.quit)
	if l.tcp != nil {
		_ = l.tcp.Close()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	l.resumes.Wait()
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }
