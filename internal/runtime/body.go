package runtime

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"github.com/primrosenotch/primrosenotch/internal/link"
)

// errUploadEnded is returned by a body whose request has been answered.
var errUploadEnded = errors.New("upload ended: the request has been answered")

// countingReader counts the bytes read from a caller's streamed body. A request
// can only be offered again if none of its body has been read.
type countingReader struct {
	reader  io.Reader
	count   atomic.Int64
	stopped atomic.Bool
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	if c.stopped.Load() {
		return 0, errUploadEnded
	}
	n, err := c.reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c *countingReader) stop() { c.stopped.Store(true) }

// answerBody reads an answer body from the connection to an owner.
type answerBody struct {
	reader io.Reader
	conn   link.Conn
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close closes the connection to the owner.
func (b *answerBody) Close() error { return b.conn.Close() }

func newMemoryBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
