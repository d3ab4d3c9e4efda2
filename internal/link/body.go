package link

import (
	"errors"
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ChunkBytes is the size of the chunks in which bodies travel.
const ChunkBytes = 32 << 10

// CutError reports a body that ended before it was complete.
type CutError struct {
	Step  string
	Cause model.Cause
	Err   error
}

// Error implements error.
func (e *CutError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: body cut by the sender: %s", e.Step, e.Cause)
	}
	return fmt.Sprintf("%s: body cut: %v", e.Step, e.Err)
}

// Unwrap returns the underlying error.
func (e *CutError) Unwrap() error {
	if e.Err == nil {
		return io.ErrUnexpectedEOF
	}
	return e.Err
}

// bodyReader turns chunks into a stream of bytes. It returns io.EOF only after
// the sender's word that the body is complete.
type bodyReader struct {
	receive func() (*linkpb.Frame, error)
	step    string
	rest    []byte
	err     error
}

// NewBody returns a reader over the chunks that receive returns next.
func NewBody(receive func() (*linkpb.Frame, error), step string) io.Reader {
	return &bodyReader{receive: receive, step: step}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.next()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *bodyReader) next() {
	f, err := b.receive()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.err = &CutError{Step: b.step, Err: err}
		return
	}
	switch body := f.GetBody().(type) {
	case *linkpb.Frame_Chunk:
		b.rest = body.Chunk.GetData()
	case *linkpb.Frame_End:
		b.end(body.End)
	default:
		b.err = &CutError{Step: b.step, Err: fmt.Errorf("unexpected frame %T inside a body", body)}
	}
}

func (b *bodyReader) end(e *linkpb.End) {
	if e.GetComplete() {
		b.err = io.EOF
		return
	}
	b.err = &CutError{Step: b.step, Cause: model.Cause(e.GetCause())}
}

// SendBody sends a body in chunks and its end. The length is -1 where it is not
// known. A reader's error is passed on as an incomplete end and returned as
// readErr; sendErr reports the connection's.
func SendBody(conn Conn, r io.Reader, length int64, cause model.Cause) (sent int64, readErr, sendErr error) {
	buffers := chunkBuffers{left: length}
	for readErr == nil {
		buf := buffers.next()
		var n int
		n, readErr = r.Read(buf)
		if n == 0 {
			continue
		}
		buffers.take(n)
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

// minRead is the least room in bytes that a read gets; the one that finds the end
// of the body needs no more.
const minRead = 512

// chunkBuffers hands out room for reads. The receiver owns what was sent, so no
// byte is handed out twice; a short body gets a short buffer.
type chunkBuffers struct {
	left int64 // of the body, negative when unknown
	room []byte
}

func (b *chunkBuffers) next() []byte {
	if len(b.room) < minRead {
		size := int64(ChunkBytes)
		if b.left >= 0 {
			size = min(size, b.left+minRead)
		}
		b.room = make([]byte, size)
	}
	return b.room
}

func (b *chunkBuffers) take(n int) {
	b.room = b.room[n:]
	if b.left >= 0 {
		b.left = max(b.left-int64(n), 0)
	}
}
