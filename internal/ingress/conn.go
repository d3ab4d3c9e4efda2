package ingress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// ErrSlowCaller is returned when a caller sends fewer body bytes than required
// within the progress timeout, or accepts nothing of the response within it.
var ErrSlowCaller = errors.New("caller made too little progress sending or reading a body")

// ErrBodyAborted is returned for a body that is no longer needed.
var ErrBodyAborted = errors.New("the rest of the body is not needed")

// listener wraps each accepted connection in a progressConn.
type listener struct {
	net.Listener
	timeout  time.Duration
	minBytes int
	// readTimeout returns how long a read may take when the HTTP library requests
	// the given timeout.
	readTimeout func(requested time.Duration) time.Duration
	held        *atomic.Int64 // bytes of bodies held for all connections
	linger      *lingerer
	server      *Server // reads requests ahead, nil for none
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &progressConn{Conn: c, timeout: l.timeout, minBytes: l.minBytes, readTimeout: l.readTimeout, totalHeld: l.held, linger: l.linger}
	if l.server != nil {
		conn.ahead = &pipeline{server: l.server, conn: conn}
	}
	return conn, nil
}

// progressConn limits how slowly a caller may send a body or read a response.
// Only time spent waiting for the caller counts, so a slow backend server does
// not use up its caller's timeout. Headers are bounded by the HTTP library's read
// deadline instead.
type progressConn struct {
	net.Conn
	timeout     time.Duration
	minBytes    int
	readTimeout func(requested time.Duration) time.Duration
	inBody      bool
	bodyAborted atomic.Bool   // reads of the body fail
	waited      time.Duration // time spent waiting since the last sufficient progress
	read        int           // bytes read since the last sufficient progress
	held        atomic.Int64  // bytes of bodies held for the current exchange
	totalHeld   *atomic.Int64
	linger      *lingerer
	sendsNoMore atomic.Bool // the caller has sent its last request completely
	sending     atomic.Bool // a part of the current request has not been read
	closed      atomic.Bool
	ahead       *pipeline // nil if no requests are read ahead
}

// hold counts bytes that are held in memory until the response has been written. It returns
// false if all connections would hold more than limit.
func (c *progressConn) hold(bytes, limit int64) bool {
	if c.totalHeld.Add(bytes) > limit {
		c.totalHeld.Add(-bytes)
		return false
	}
	c.held.Add(bytes)
	return true
}

func (c *progressConn) release() { c.totalHeld.Add(-c.held.Swap(0)) }

// Close implements net.Conn. What the caller has not received yet is still sent.
func (c *progressConn) Close() error {
	c.release()
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.ahead != nil {
		c.ahead.close()
	}
	if c.sendsNoMore.Load() {
		return c.Conn.Close()
	}
	return c.linger.close(c.Conn, c.sending.Load())
}

// startBody replaces the header's read deadline with the progress timeout until the
// HTTP library sets its next read deadline.
func (c *progressConn) startBody() {
	c.inBody = true
	c.bodyAborted.Store(false)
	c.waited, c.read = 0, 0
}

// abortBody makes reads of the body fail, including one that waits for the caller.
func (c *progressConn) abortBody() {
	c.bodyAborted.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. The HTTP library calls it before it reads the next
// request. It ends the use of the progress timeout, applies readTimeout to the deadline and
// releases what the last exchange held.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.inBody = false
	c.sending.Store(false)
	c.release()
	idle := false
	if !t.IsZero() && time.Until(t) > 0 {
		now := time.Now()
		requested := t.Sub(now)
		idle = isIdleTimeout(requested)
		t = now.Add(c.readTimeout(requested))
	}
	if c.ahead != nil {
		c.ahead.endRequest(idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. It returns bytes of one request at a time if requests are read ahead.
func (c *progressConn) Read(p []byte) (int, error) {
	if c.ahead == nil {
		return c.receive(p)
	}
	if n, err := c.ahead.deliverPending(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.receive(p)
	return c.ahead.deliver(p[:n]), err
}

// receive reads from the connection. While a body is read, it enforces the progress timeout.
func (c *progressConn) receive(p []byte) (int, error) {
	if !c.inBody {
		return c.Conn.Read(p)
	}
	start := time.Now()
	if err := c.Conn.SetReadDeadline(start.Add(c.timeout - c.waited)); err != nil {
		return 0, err
	}
	// bodyAborted is checked after the deadline is set, because this may have replaced the
	// deadline set by abortBody.
	if c.bodyAborted.Load() {
		return 0, ErrBodyAborted
	}
	n, err := c.Conn.Read(p)
	c.waited += time.Since(start)
	c.read += n
	if c.read >= c.minBytes {
		c.waited, c.read = 0, 0
	}
	return n, asSlowCaller(err)
}

// Write implements net.Conn with the progress timeout. A write may take longer in all, as long
// as the caller accepts some of it within each timeout.
func (c *progressConn) Write(p []byte) (int, error) {
	if c.closed.Load() { // the connection may linger
		return 0, net.ErrClosed
	}
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, asSlowCaller(err)
		}
	}
}

func asSlowCaller(err error) error {
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSlowCaller, err)
	}
	return err
}
