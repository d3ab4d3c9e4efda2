package backend

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/standin/netfault"
)

// errCut is the error of writes after an answer was cut short.
var errCut = errors.New("answer was cut short")

// conn is a caller's connection that can go silent, be reset, cut its answer
// short, and tell when the caller hangs up.
type conn struct {
	*netfault.Conn
	owner  *listener
	silent atomic.Bool
	// hungUp is set when a read failed, so that a silent connection may be closed.
	hungUp atomic.Bool

	// The HTTP server reads and writes from one goroutine at a time, which also
	// runs the handler; these belong to it.
	pushedBack []byte
	cut        cutState
}

// cutState says where a cut answer stands.
type cutState int

const (
	cutNone     cutState = iota
	cutAtBody            // the next write is the header, the one after it is cut
	cutNow               // the next write is cut
	cutFinished          // nothing more is written
)

// Read implements net.Conn. A silent connection swallows what it receives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if len(c.pushedBack) > 0 && !c.silent.Load() {
			n := copy(p, c.pushedBack)
			c.pushedBack = c.pushedBack[n:]
			return n, nil
		}
		n, err := c.Conn.Read(p)
		if err != nil {
			c.hungUp.Store(true)
			return n, err
		}
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn. A silent connection swallows what it should send.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	switch c.cut {
	case cutAtBody:
		c.cut = cutNow
	case cutNow:
		c.cut = cutFinished
		n, _ := c.Conn.Write(p[:len(p)/2])
		return n, errCut
	case cutFinished:
		return 0, errCut
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open towards the
// caller until the caller or the server ends it.
func (c *conn) Close() error {
	if c.silent.Load() && !c.hungUp.Load() {
		return nil
	}
	return c.forceClose()
}

func (c *conn) forceClose() error {
	c.owner.forget(c)
	return c.Conn.Close()
}

// reset closes the connection as a crashed process would.
func (c *conn) reset() {
	c.owner.forget(c)
	c.Conn.Reset()
}

// watch returns a channel that is closed when the caller hangs up. stop must be
// called, by the same goroutine, before the connection is read again.
func (c *conn) watch() (hungUp <-chan struct{}, stop func()) {
	gone := make(chan struct{})
	done := make(chan struct{})
	var first [1]byte
	var read int
	go func() {
		defer close(done)
		n, err := c.Conn.Read(first[:])
		read = n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(gone)
		}
	}()
	stop = func() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.pushedBack = append(c.pushedBack, first[:read]...)
	}
	return gone, stop
}
