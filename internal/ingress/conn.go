package ingress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// ErrSlowCaller is returned for a body of which the caller sends or takes too
// little in the progress time-out.
var ErrSlowCaller = errors.New("the caller makes too little progress")

// listener wraps each accepted connection in a progressConn.
type listener struct {
	net.Listener
	timeout  time.Duration
	minBytes int
	// waitLimit returns how long to wait for a request where the server allows so much.
	waitLimit func(allowed time.Duration) time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: c, timeout: l.timeout, minBytes: l.minBytes, waitLimit: l.waitLimit}, nil
}

// progressConn bounds how slowly a caller may send a body or take an answer.
// Only time spent waiting for the caller counts, so a body that the backend
// server takes slowly costs its caller nothing. Headers are bounded by the
// server's own read deadline instead.
type progressConn struct {
	net.Conn
	timeout   time.Duration
	minBytes  int
	waitLimit func(allowed time.Duration) time.Duration
	inBody    bool
	waited    time.Duration // since the last sufficient progress
	read      int           // bytes since then
}

// startBody replaces the header's read deadline by the progress time-out, until
// the server sets its next read deadline.
func (c *progressConn) startBody() {
	c.inBody = true
	c.waited, c.read = 0, 0
}

// SetReadDeadline implements net.Conn.
func (c *progressConn) SetReadDeadline(t time.Time) error {
	c.inBody = false
	if !t.IsZero() && time.Until(t) > 0 {
		now := time.Now()
		t = now.Add(c.waitLimit(t.Sub(now)))
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if !c.inBody {
		return c.Conn.Read(p)
	}
	start := time.Now()
	if err := c.Conn.SetReadDeadline(start.Add(c.timeout - c.waited)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.waited += time.Since(start)
	c.read += n
	if c.read >= c.minBytes {
		c.waited, c.read = 0, 0
	}
	return n, asSlowCaller(err)
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	return n, asSlowCaller(err)
}

func asSlowCaller(err error) error {
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSlowCaller, err)
	}
	return err
}
