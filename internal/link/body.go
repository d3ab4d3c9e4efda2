package link

import (
	"errors"
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ChunkBytes is the maximum size of a body chunk, in bytes.
const ChunkBytes = 32 << 10

// IncompleteBodyError reports a body that ended before it was complete. Err is nil when
// the sender reported the truncation; Cause is then the reason that it gave.
type IncompleteBodyError struct {
	Step  string
	Cause model.Cause
	Err   error
}

// Error implements error.
func (e *IncompleteBodyError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: sender ended the body early: %s", e.Step, e.Cause)
	}
	return fmt.Sprintf("%s: body truncated: %v", e.Step, e.Err)
}

// Unwrap returns the underlying error, or io.ErrUnexpectedEOF if there is none.
func (e *IncompleteBodyError) Unwrap() error {
	if e.Err == nil {
		return io.ErrUnexpectedEOF
	}
	return e.Err
}

// bodyReader turns chunks into a stream of bytes. It returns io.EOF only after
// the sender has confirmed that the body is complete.
type bodyReader struct {
	receive func() (*linkpb.Frame, error)
	step    string
	unread  []byte
	err     error
}

// NewBodyReader returns a reader over the body whose chunks receive returns. step names
// the operation in errors.
func NewBodyReader(receive func() (*linkpb.Frame, error), step string) io.Reader {
	return &bodyReader{receive: receive, step: step}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.nextFrame()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *bodyReader) nextFrame() {
	f, err := b.receive()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.err = &IncompleteBodyError{Step: b.step, Err: err}
		return
	}
	switch body := f.GetBody().(type) {
	case *linkpb.Frame_Chunk:
		b.unread = body.Chunk.GetData()
	case *linkpb.Frame_End:
		b.finish(body.End)
	default:
		b.err = &IncompleteBodyError{Step: b.step, Err: fmt.Errorf("unexpected frame %T within a body", body)}
	}
}

func (b *bodyReader) finish(e *linkpb.End) {
	if e.GetComplete() {
		b.err = io.EOF
		return
	}
	b.err = &IncompleteBodyError{Step: b.step, Cause: model.Cause(e.GetCause())}
}

// SendBody sends a body in chunks, followed by an End frame. length is -1 if it is
// unknown. If r fails with an error that does not wrap io.EOF, the End frame marks the
// body as incomplete with the given cause, and the error is returned as readErr.
// sendErr is an error of conn.
func SendBody(conn Conn, r io.Reader, length int64, cause model.Cause) (sent int64, readErr, sendErr error) {
	buffers := chunkBuffers{remaining: length}
	for readErr == nil {
		buf := buffers.next()
		var n int
		n, readErr = r.Read(buf)
		if n == 0 {
			continue
		}
		buffers.advance(n)
		sent += int64(n)
		chunk := &linkpb.Frame_Chunk{Chunk: &linkpb.Chunk{Data: buf[:n:n]}}
		if sendErr = conn.Send(&linkpb.Frame{Body: chunk}); sendErr != nil {
			return sent, nil, sendErr
		}
	}
	if errors.Is(readErr, io.EOF) {
		readErr = nil
	}
	end := &linkpb.End{Complete: readErr == nil}
	if readErr != nil {
		end.Cause = string(cause)
	}
	sendErr = conn.Send(&linkpb.Frame{Body: &linkpb.Frame_End{End: end}})
	return sent, readErr, sendErr
}

// minReadBytes is the free space in bytes below which a buffer is replaced. A buffer
// for a body of known length is larger than the body by this much, so that the read
// that returns io.EOF needs no second buffer.
const minReadBytes = 512

// chunkBuffers allocates read buffers. The receiver owns the data that was sent, so
// no part of a buffer is reused. A short body gets a short buffer.
type chunkBuffers struct {
	remaining int64 // bytes of the body still to be read; negative if unknown
	free      []byte
}

func (b *chunkBuffers) next() []byte {
	if len(b.free) < minReadBytes {
		size := int64(ChunkBytes)
		if b.remaining >= 0 {
			size = min(size, b.remaining+minReadBytes)
		}
		b.free = make([]byte, size)
	}
	return b.free
}

func (b *chunkBuffers) advance(n int) {
	b.free = b.free[n:]
	if b.remaining >= 0 {
		b.remaining = max(b.remaining-int64(n), 0)
	}
}
