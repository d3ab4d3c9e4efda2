package backend

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/standin/netfault"
)

// errTruncated is returned by writes to a connection whose answer was truncated.
var errTruncated = errors.New("answer truncated by fault injection")

// conn is a connection from a caller. It can be silenced or reset, it can truncate an
// answer, and it can detect that the caller closes it.
type conn struct {
	*netfault.Conn
	owner  *listener
	silent atomic.Bool
	// readFailed is set after a failed read; only then can Close close a silent connection.
	readFailed atomic.Bool

	// The fields below need no lock: the HTTP server reads, writes and runs the handler
	// of a connection from one goroutine at a time, and only that goroutine uses them.
	unread     []byte
	truncation truncationState
}

// truncationState is the progress of truncating an answer.
type truncationState int

const (
	truncateNone      truncationState = iota
	truncateBody                      // the next write is the header; the write after it is truncated
	truncateNextWrite                 // the next write is truncated
	truncateDone                      // the answer was truncated; all writes fail
)

// Read implements net.Conn. A silent connection discards all data that it receives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if len(c.unread) > 0 && !c.silent.Load() {
			n := copy(p, c.unread)
			c.unread = c.unread[n:]
			return n, nil
		}
		n, err := c.Conn.Read(p)
		if err != nil {
			c.readFailed.Store(true)
			return n, err
		}
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn. A silent connection discards the data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	switch c.truncation {
	case truncateBody:
		c.truncation = truncateNextWrite
	case truncateNextWrite:
		c.truncation = truncateDone
		n, _ := c.Conn.Write(p[:len(p)/2])
		return n, errTruncated
	case truncateDone:
		return 0, errTruncated
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It leaves a silent connection open until the caller closes it
// or the server stops.
func (c *conn) Close() error {
	if c.silent.Load() && !c.readFailed.Load() {
		return nil
	}
	return c.forceClose()
}

// forceClose closes the connection even if it is silent.
func (c *conn) forceClose() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as if the process had crashed.
func (c *conn) reset() {
	c.owner.remove(c)
	c.Conn.Reset()
}

// watchDisconnect returns a channel that is closed when the caller closes the connection. It
// detects this by reading a byte. A byte that arrives is returned by the next Read, and a
// later close is then not detected. The same goroutine must call stop before it reads from the
// connection again.
func (c *conn) watchDisconnect() (disconnected <-chan struct{}, stop func()) {
	closed := make(chan struct{})
	done := make(chan struct{})
	var first [1]byte
	var read int
	go func() {
		defer close(done)
		n, err := c.Conn.Read(first[:])
		read = n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(closed)
		}
	}()
	stop = func() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.unread = append(c.unread, first[:read]...)
	}
	return closed, stop
}
