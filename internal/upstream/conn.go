package upstream

import (
	"bufio"
	"errors"
	"math"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/tcpstate"
)

// ErrNoProgress is returned when no byte could be sent or received on a connection
// within the progress timeout.
var ErrNoProgress = errors.New("no progress on the connection to the backend server within the timeout")

// errEarlyResponse stops sending a request whose response has already arrived.
var errEarlyResponse = errors.New("server responded before the request was fully sent")

// bufferBytes is the size of each connection's read and write buffers.
const bufferBytes = 4096

// conn is a connection to a backend server. It counts the bytes sent and received and
// fails a read or write that makes no progress.
type conn struct {
	net.Conn
	pool            *pool
	probe           *tcpstate.Probe
	br              *bufio.Reader
	bw              *bufio.Writer
	opened          time.Time
	idleSince       time.Time
	maxIdle         time.Duration // how long the server keeps the idle connection open, less a margin
	requests        int           // requests carried so far
	progressTimeout time.Duration
	deadline        time.Time // of the current request, zero if it has none
	// firstByteTimeout replaces progressTimeout until the first byte of a response.
	firstByteTimeout time.Duration
	written          atomic.Int64 // bytes of the current request
	received         atomic.Int64 // bytes of the current response
	uploading        atomic.Bool  // a body is being sent while the response is awaited
	desynchronized   bool         // a response on the connection may belong to another request
	echoes           bool         // a response on the connection has named its request
	responded        atomic.Bool  // the response arrived while uploading
	// readErr is the last error of Read. It is kept because fasthttp returns io.EOF or
	// an error of its own for any error before the first byte.
	readErr error
	// brokenBy is the first error with which the operating system ended the connection. It
	// reports such an error once, to a read or a write; after a write has got it, reads
	// return the data received so far and then io.EOF, as after an orderly end.
	brokenBy atomic.Pointer[syscall.Errno]
}

func newConn(c net.Conn, p *pool, now time.Time, progressTimeout time.Duration) *conn {
	cn := &conn{Conn: c, pool: p, probe: tcpstate.NewProbe(c), opened: now, progressTimeout: progressTimeout, maxIdle: math.MaxInt64}
	cn.br = bufio.NewReaderSize(cn, bufferBytes)
	cn.bw = bufio.NewWriterSize(cn, bufferBytes)
	return cn
}

// begin prepares the connection for its next request.
func (c *conn) begin(a *Attempt) {
	c.requests++
	c.deadline = time.Time{}
	if a.DeadlineLeft > 0 {
		c.deadline = time.Now().Add(a.DeadlineLeft)
	}
	c.firstByteTimeout = a.ResponseTimeout
	if c.firstByteTimeout <= 0 {
		c.firstByteTimeout = c.progressTimeout
	}
	c.written.Store(0)
	c.received.Store(0)
	c.uploading.Store(false)
	c.responded.Store(false)
	c.readErr = nil
}

// receiveError returns the connection's own read error if there is one, else err.
func (c *conn) receiveError(err error) error {
	if c.readErr != nil {
		return c.readErr
	}
	return err
}

// Write implements net.Conn with the progress timeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.progressDeadline()); err != nil {
		return 0, err
	}
	// responded is checked after the deadline is set, because this may have replaced the
	// deadline set by abortUpload.
	if c.responded.Load() {
		return 0, errEarlyResponse
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	c.noteBroken(err)
	if err != nil && c.responded.Load() {
		return n, errEarlyResponse
	}
	return n, asNoProgress(err)
}

// Read implements net.Conn with the progress timeout. While a body is being sent, no
// response is due, so a read has no deadline then.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.setReadTimeout(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.noteBroken(err)
	c.readErr = asNoProgress(err)
	return n, c.readErr
}

// noteBroken records an error of a read or a write if the connection was reset or timed out.
// EPIPE is none: the peer had ended its side in order before it reset the connection.
func (c *conn) noteBroken(err error) {
	var errno syscall.Errno
	if err != nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.brokenBy.CompareAndSwap(nil, &errno)
	}
}

// brokenError returns the error with which the connection was ended out of order, nil if it
// was not.
func (c *conn) brokenError() error {
	if errno := c.brokenBy.Load(); errno != nil {
		return *errno
	}
	return nil
}

// setReadTimeout sets the deadline of the next read. It checks uploading a second time
// because finishUpload may have set a deadline after the first check, which
// setReadTimeout then cleared.
func (c *conn) setReadTimeout() error {
	if !c.uploading.Load() {
		return c.SetReadDeadline(c.readDeadline())
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if c.uploading.Load() {
		return nil
	}
	return c.SetReadDeadline(c.readDeadline())
}

func (c *conn) readDeadline() time.Time {
	if c.received.Load() == 0 {
		return time.Now().Add(c.firstByteTimeout)
	}
	return c.progressDeadline()
}

// progressDeadline returns when the next byte is due. Before the deadline of the request a
// server that is silent may still be at work.
func (c *conn) progressDeadline() time.Time {
	due := time.Now().Add(c.progressTimeout)
	if c.deadline.After(due) {
		return c.deadline
	}
	return due
}

// abortUpload makes writing the request fail, since the response has arrived.
func (c *conn) abortUpload() {
	c.responded.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}

// finishUpload starts the wait for the response, bounded by timeout.
func (c *conn) finishUpload(timeout time.Duration) {
	c.uploading.Store(false)
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

func asNoProgress(err error) error {
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrNoProgress
	}
	return err
}
