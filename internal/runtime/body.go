package runtime

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/primrosenotch/primrosenotch/internal/link"
)

// errUploadEnded ends an upload whose request has been answered.
var errUploadEnded = errors.New("the request has been answered")

// countedReader counts the bytes read from a caller's streamed body, so that it
// is known whether the request can be offered again.
type countedReader struct {
	reader  io.Reader
	count   atomic.Int64
	stopped atomic.Bool
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	if c.stopped.Load() {
		return 0, errUploadEnded
	}
	n, err := c.reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c *countedReader) stop() { c.stopped.Store(true) }

// answerBody is an answer that arrives from an owner.
type answerBody struct {
	reader io.Reader
	conn   link.Conn
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close closes the connection to the owner.
func (b *answerBody) Close() error { return b.conn.Close() }

func newMemoryBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
