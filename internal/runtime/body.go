package runtime

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// countedReader counts the bytes read from a caller's streamed body, so that it
// is known whether the request can be offered again.
type countedReader struct {
	reader io.Reader
	count  atomic.Int64
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

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

// trackedBody ends its call when the ingress closes it, with an outcome that
// depends on whether it was read to its end.
type trackedBody struct {
	body    io.ReadCloser
	call    *call
	outcome model.Outcome
	count   int64
	err     error
	once    sync.Once
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.count += int64(n)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.body.Close()
	b.once.Do(b.finish)
	return err
}

func (b *trackedBody) finish() {
	switch {
	case errors.Is(b.err, io.EOF):
		b.call.runtime.lengths.observe(b.call.meta.Route, b.count)
		b.call.finish(b.outcome, model.CauseNone, b.count)
	case b.err != nil:
		b.call.explain("answer", "cut", b.err.Error())
		b.call.finish(model.Unknown, model.CauseAnswerIncomplete, b.count)
	default:
		b.call.finish(model.Unknown, model.CauseCallerGone, b.count)
	}
}
