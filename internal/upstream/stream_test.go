package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/stretchr/testify/require"
)

const streamBytes = 1 << 20

func newPost(s *scriptedServer, body io.Reader, length int64) *Attempt {
	a := newGet(s)
	a.Method = "POST"
	a.BodyStream = body
	a.BodyBytes = length
	return a
}

// respondAfterBody reads requests with net/http and sends okResponse to each one whose
// body has streamBytes bytes. It closes the connection on any other request.
func respondAfterBody(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != streamBytes {
			return
		}
		_, _ = io.WriteString(c, okResponse)
	}
}

func TestStreamedBodies(t *testing.T) {
	s := startServer(t, respondAfterBody)
	c := newClient(t, Settings{})
	for _, length := range []int64{streamBytes, -1} {
		body := io.LimitReader(zeroReader{}, streamBytes)
		response, sendErr := c.Send(testContext(t), newPost(s, struct{ io.Reader }{body}, length))
		require.Equal(t, "ok", readBody(t, response, sendErr))
	}
	require.EqualValues(t, 1, s.accepted.Load(), "the connection must be reused after a complete exchange")
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestBrokenRequestBodyIsNotAServerFailure(t *testing.T) {
	s := startServer(t, respondAfterBody)
	c := newClient(t, Settings{})
	body := io.MultiReader(io.LimitReader(zeroReader{}, 100000), iotest.ErrReader(errors.New("caller gone")))
	_, sendErr := c.Send(testContext(t), newPost(s, body, streamBytes))
	require.Equal(t, event.AttemptCancelled, sendErr.Result)
	require.Equal(t, StepReadBody, sendErr.Step)
	require.True(t, sendErr.Sent)
	require.Equal(t, Connections{}, c.Count(s.addr))
}

// A request body that ends before its declared length must be reported as an error, not
// sent as if it were complete.
func TestShortBodyBreaksTheRequest(t *testing.T) {
	s := startServer(t, respondAfterBody)
	c := newClient(t, Settings{ProgressTimeout: time.Second})
	_, sendErr := c.Send(testContext(t), newPost(s, struct{ io.Reader }{io.LimitReader(zeroReader{}, 100000)}, streamBytes))
	require.NotNil(t, sendErr)
	require.Equal(t, StepReadBody, sendErr.Step)
	require.ErrorIs(t, sendErr, io.ErrUnexpectedEOF)
	require.Equal(t, Connections{}, c.Count(s.addr))
}

// A server may refuse a large body before it has read it, and then either close the
// connection or almost stop reading. The upload must end in both cases.
func TestEarlyResponseEndsUpload(t *testing.T) {
	for _, keepsOpen := range []bool{true, false} {
		s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
			if _, err := s.readHead(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 S\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			if keepsOpen {
				buf := make([]byte, 1)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					time.Sleep(time.Millisecond) // reads far more slowly than the body is sent
				}
			}
			_, _ = io.CopyN(io.Discard, br, 1000)
		})
		c := newClient(t, Settings{ProgressTimeout: 2 * time.Second})
		_, sendErr := c.Send(testContext(t), newPost(s, zeroReader{}, 1<<40))
		require.NotNil(t, sendErr)
		if keepsOpen {
			require.Equal(t, event.AttemptShed, sendErr.Result, sendErr.Error())
		}
		require.Contains(t, []event.AttemptResult{event.AttemptShed, event.AttemptBroken, event.AttemptTruncated}, sendErr.Result)
		require.Equal(t, Connections{}, c.Count(s.addr))
	}
}

// TestEarlyAnswerOutlivesTheRequestBody guards against an answer that is lost because the
// caller's body ends early or stalls after the server has answered.
func TestEarlyAnswerOutlivesTheRequestBody(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		answered := make(chan struct{})
		s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
			if _, err := s.readHead(br); err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, br, 90000)
			time.Sleep(50 * time.Millisecond) // the client waits for more of the body
			_, _ = io.WriteString(c, okResponse)
			time.Sleep(50 * time.Millisecond) // the answer arrives
			close(answered)
			_, _ = io.Copy(io.Discard, br)
		})
		body, caller := io.Pipe()
		go func() {
			_, _ = caller.Write(make([]byte, 100000))
			<-answered
			if !stalls {
				_ = caller.CloseWithError(errors.New("caller gone"))
			}
		}()
		a := newPost(s, body, streamBytes)
		a.AbortBody = func() { _ = caller.CloseWithError(errors.New("aborted")) }
		response, sendErr := newClient(t, Settings{}).Send(testContext(t), a)
		require.Equal(t, "ok", readBody(t, response, sendErr))
	}
}
