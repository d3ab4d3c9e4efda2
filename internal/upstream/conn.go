package upstream

import (
	"bufio"
	"errors"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/tcpstate"
)

// ErrNoProgress is returned where a connection neither took nor gave a byte
// within the progress time-out.
var ErrNoProgress = errors.New("no progress within the time-out")

// errAnswered stops sending a request whose answer has already arrived.
var errAnswered = errors.New("the server answered before the request was sent")

// bufferBytes is the size of each connection's read and write buffers.
const bufferBytes = 4096

// conn is one connection to a backend server. It counts bytes both ways and
// fails a read or write that makes no progress.
type conn struct {
	net.Conn
	pool     *pool
	probe    *tcpstate.Probe
	br       *bufio.Reader
	bw       *bufio.Writer
	opened   time.Time
	idleFrom time.Time
	maxIdle  time.Duration // that the server keeps it open for
	requests int           // requests that this connection has carried
	progress time.Duration
	// firstByte replaces progress until the first byte of an answer.
	firstByte time.Duration
	written   atomic.Int64 // bytes of the current request
	received  atomic.Int64 // bytes of the current answer
	uploading atomic.Bool  // a body is being sent while the answer is awaited
	foreign   bool         // it gave an answer to another request
	answered  atomic.Bool  // the answer arrived while uploading
	// readErr is the last error of Read, since fasthttp reports what goes wrong
	// before the first byte as io.EOF.
	readErr error
}

func newConn(c net.Conn, p *pool, now time.Time, progress time.Duration) *conn {
	cn := &conn{Conn: c, pool: p, probe: tcpstate.NewProbe(c), opened: now, progress: progress, maxIdle: math.MaxInt64}
	cn.br = bufio.NewReaderSize(cn, bufferBytes)
	cn.bw = bufio.NewWriterSize(cn, bufferBytes)
	return cn
}

// begin prepares the connection for its next request.
func (c *conn) begin(answerTimeout time.Duration) {
	c.requests++
	c.firstByte = answerTimeout
	if c.firstByte <= 0 {
		c.firstByte = c.progress
	}
	c.written.Store(0)
	c.received.Store(0)
	c.uploading.Store(false)
	c.answered.Store(false)
	c.readErr = nil
}

// receiveError returns what the connection itself reported, else err.
func (c *conn) receiveError(err error) error {
	if c.readErr != nil {
		return c.readErr
	}
	return err
}

// Write implements net.Conn with the progress time-out.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	// Checked after the deadline is set, so that stopUpload cannot be overtaken.
	if c.answered.Load() {
		return 0, errAnswered
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if err != nil && c.answered.Load() {
		return n, errAnswered
	}
	return n, asNoProgress(err)
}

// Read implements net.Conn with the progress time-out. While a body is being
// sent the server owes nothing, so a read then has no deadline of its own.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.armRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.readErr = asNoProgress(err)
	return n, c.readErr
}

func (c *conn) armRead() error {
	if !c.uploading.Load() {
		return c.SetReadDeadline(time.Now().Add(c.readTimeout()))
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if c.uploading.Load() {
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(c.readTimeout()))
}

func (c *conn) readTimeout() time.Duration {
	if c.received.Load() == 0 {
		return c.firstByte
	}
	return c.progress
}

// stopUpload makes the writer give up, since the answer is there.
func (c *conn) stopUpload() {
	c.answered.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}

// uploadEnded starts the wait for the answer, bounded by timeout.
func (c *conn) uploadEnded(timeout time.Duration) {
	c.uploading.Store(false)
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

func asNoProgress(err error) error {
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrNoProgress
	}
	return err
}
