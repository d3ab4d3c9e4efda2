package ingress

import (
	"errors"
	"fmt"
	"io"
)

// ErrAnswerCut reports a body that did not end at its declared length.
var ErrAnswerCut = errors.New("the answer's body was cut")

// answerStream passes a streamed answer to the HTTP library. Only a complete
// body ends with io.EOF; the library closes the connection on anything else,
// without a final chunk.
type answerStream struct {
	x    *Exchange
	a    *Answer
	sent int64
	err  error // what broke the body
	eof  bool
}

func newAnswerStream(x *Exchange, a *Answer) *answerStream {
	return &answerStream{x: x, a: a}
}

// Read implements io.Reader.
func (s *answerStream) Read(p []byte) (int, error) {
	if s.a.Body == nil {
		return 0, s.end()
	}
	n, err := s.a.Body.Read(p)
	s.sent += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF: //nolint:errorlint // a wrapped io.EOF is a broken body
		return n, s.end()
	default:
		s.err = answerReadError(err, int(s.sent))
		return n, s.err
	}
}

func (s *answerStream) end() error {
	if err := requireLength(s.sent, s.a.BodyBytes); err != nil {
		s.err = err
		return err
	}
	s.eof = true
	return io.EOF
}

// CloseWithError is called by the HTTP library once the answer is written, with
// the error that ended it.
func (s *answerStream) CloseWithError(writeErr error) error {
	s.x.settle(func() {
		_ = closeBody(s.a.Body)
		if s.a.Done != nil {
			s.a.Done(s.sent, s.result(writeErr))
		}
	})
	return nil
}

// result prefers the body's error to that of writing it.
func (s *answerStream) result(writeErr error) error {
	switch {
	case s.err != nil:
		return s.err
	case writeErr != nil:
		return fmt.Errorf("write answer to caller %s: %w", s.x.Remote, writeErr)
	case !s.eof && s.sent != s.a.BodyBytes:
		return ErrAnswerCut
	default:
		return nil
	}
}

// answerReadError never wraps io.EOF, which a reader may take for a clean end.
func answerReadError(err error, read int) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w after %d bytes: %v", ErrAnswerCut, read, err)
	}
	return fmt.Errorf("read answer after %d bytes: %w", read, err)
}

func requireLength(got, declared int64) error {
	if declared >= 0 && got != declared {
		return fmt.Errorf("%w: %d of %d bytes", ErrAnswerCut, got, declared)
	}
	return nil
}

// readDeclared reads a body up to its end, which must be at its declared
// length. The result is not nil without an error.
func readDeclared(r io.Reader, declared int64) ([]byte, error) {
	if r == nil {
		return []byte{}, requireLength(0, declared)
	}
	body := make([]byte, declared+1)
	n := 0
	for n < len(body) {
		k, err := r.Read(body[n:])
		n += k
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is a broken body
			return body[:n], requireLength(int64(n), declared)
		}
		if err != nil {
			return nil, answerReadError(err, n)
		}
	}
	return nil, fmt.Errorf("%w: more than the declared %d bytes", ErrAnswerCut, declared)
}

func closeBody(r io.Reader) error {
	if c, ok := r.(io.Closer); ok {
		return c.Close()
	}
	return nil
}
