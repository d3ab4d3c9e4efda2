package ingress

import (
	"errors"
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/contain"
)

// ErrBrokenResponse reports a response body that was cut off or that did not end at
// its declared length.
var ErrBrokenResponse = errors.New("broken response body")

// responseStream passes a streamed response body to the HTTP library. Only a
// complete body ends with io.EOF; on any other error the library closes the
// connection without sending a final chunk.
type responseStream struct {
	x    *Exchange
	a    *Response
	sent int64
	err  error // error that broke the body
	eof  bool
}

func newResponseStream(x *Exchange, a *Response) *responseStream {
	return &responseStream{x: x, a: a}
}

// Read implements io.Reader.
func (s *responseStream) Read(p []byte) (int, error) {
	if s.a.Body == nil {
		return 0, s.end()
	}
	n, err := 0, errReadPanic
	s.x.panics().Do(contain.Answer, func() { n, err = s.a.Body.Read(p) })
	s.sent += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF: //nolint:errorlint // a wrapped io.EOF is a broken body
		return n, s.end()
	default:
		s.err = responseReadError(err, int(s.sent))
		return n, s.err
	}
}

func (s *responseStream) end() error {
	if err := checkLength(s.sent, s.a.BodyBytes); err != nil {
		s.err = err
		return err
	}
	s.eof = true
	return io.EOF
}

// CloseWithError is called by the HTTP library after it has written the response or
// failed to; writeErr is the error that ended writing. It closes the body, ends
// the exchange and reports the result to Done.
func (s *responseStream) CloseWithError(writeErr error) error {
	s.x.finish(func() {
		s.x.panics().Do(contain.Answer, func() { _ = closeBody(s.a.Body) })
		if s.a.Done != nil {
			s.x.panics().Do(contain.Answer, func() { s.a.Done(s.sent, s.result(writeErr)) })
		}
	})
	return nil
}

var errReadPanic = errors.New("reading the body failed in this instance")

// result returns the error of the exchange, nil for a complete response. An error
// from reading the body takes precedence over one from writing it.
func (s *responseStream) result(writeErr error) error {
	switch {
	case s.err != nil:
		return s.err
	case writeErr != nil:
		return fmt.Errorf("%w %s: %w", ErrNotDelivered, s.x.Remote, writeErr)
	case !s.eof && s.sent != s.a.BodyBytes:
		return ErrBrokenResponse
	default:
		return nil
	}
}

// responseReadError adds the number of bytes read to err. The result never wraps
// io.EOF or io.ErrUnexpectedEOF, since a reader may treat io.EOF as a clean end.
func responseReadError(err error, read int) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w after %d bytes: %v", ErrBrokenResponse, read, err)
	}
	return fmt.Errorf("read response body after %d bytes: %w", read, err)
}

// checkLength returns an error that wraps ErrBrokenResponse if the declared length
// is known (not negative) and differs from got.
func checkLength(got, declared int64) error {
	if declared >= 0 && got != declared {
		return fmt.Errorf("%w: %d of %d bytes", ErrBrokenResponse, got, declared)
	}
	return nil
}

// readWholeBody reads a body whose length must be the declared one. The result is
// not nil unless there is an error.
func readWholeBody(r io.Reader, declared int64) ([]byte, error) {
	if r == nil {
		return []byte{}, checkLength(0, declared)
	}
	body := make([]byte, declared+1)
	n := 0
	for n < len(body) {
		k, err := r.Read(body[n:])
		n += k
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is a broken body
			return body[:n], checkLength(int64(n), declared)
		}
		if err != nil {
			return nil, responseReadError(err, n)
		}
	}
	return nil, fmt.Errorf("%w: more than the declared %d bytes", ErrBrokenResponse, declared)
}

func closeBody(r io.Reader) error {
	if c, ok := r.(io.Closer); ok {
		return c.Close()
	}
	return nil
}
