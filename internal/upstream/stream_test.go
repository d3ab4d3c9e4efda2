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

func post(s *scripted, body io.Reader, length int64) *Attempt {
	a := get(s)
	a.Method = "POST"
	a.BodyStream = body
	a.BodyBytes = length
	return a
}

// echo reads requests with net/http and answers their bodies' lengths.
func echo(s *scripted, _ int64, c net.Conn, br *bufio.Reader) {
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
		_, _ = io.WriteString(c, okAnswer)
	}
}

func TestStreamedBodies(t *testing.T) {
	s := serve(t, echo)
	c := newClient(t, Settings{})
	for _, length := range []int64{streamBytes, -1} {
		body := io.LimitReader(zeros{}, streamBytes)
		answer, sendErr := c.Send(testContext(t), post(s, struct{ io.Reader }{body}, length))
		require.Equal(t, "ok", readAll(t, answer, sendErr))
	}
	require.EqualValues(t, 1, s.accepted.Load(), "a complete exchange keeps its connection")
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestCallersBrokenBodyIsNotTheServersFault(t *testing.T) {
	s := serve(t, echo)
	c := newClient(t, Settings{})
	body := io.MultiReader(io.LimitReader(zeros{}, 100000), iotest.ErrReader(errors.New("caller gone")))
	_, sendErr := c.Send(testContext(t), post(s, body, streamBytes))
	require.Equal(t, event.AttemptCancelled, sendErr.Result)
	require.Equal(t, StepReadBody, sendErr.Step)
	require.True(t, sendErr.Sent)
	require.Equal(t, Connections{}, c.Count(s.addr))
}

// A body that ends before its declared length must not look like a whole
// request.
func TestShortBodyBreaksTheRequest(t *testing.T) {
	s := serve(t, echo)
	c := newClient(t, Settings{ProgressTimeout: time.Second})
	_, sendErr := c.Send(testContext(t), post(s, struct{ io.Reader }{io.LimitReader(zeros{}, 100000)}, streamBytes))
	require.NotNil(t, sendErr)
	require.Equal(t, StepReadBody, sendErr.Step)
	require.ErrorIs(t, sendErr, io.ErrUnexpectedEOF)
	require.Equal(t, Connections{}, c.Count(s.addr))
}

// A server may refuse a large body before reading it, whether it then closes
// the connection or just stops reading.
func TestEarlyAnswerEndsTheUpload(t *testing.T) {
	for _, keepsOpen := range []bool{true, false} {
		s := serve(t, func(s *scripted, _ int64, c net.Conn, br *bufio.Reader) {
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
					time.Sleep(time.Millisecond) // reads far slower than the body is offered
				}
			}
			_, _ = io.CopyN(io.Discard, br, 1000)
		})
		c := newClient(t, Settings{ProgressTimeout: 2 * time.Second})
		_, sendErr := c.Send(testContext(t), post(s, zeros{}, 1<<40))
		require.NotNil(t, sendErr)
		if keepsOpen {
			require.Equal(t, event.AttemptShed, sendErr.Result, sendErr.Error())
		}
		require.Contains(t, []event.AttemptResult{event.AttemptShed, event.AttemptBroken, event.AttemptCut}, sendErr.Result)
		require.Equal(t, Connections{}, c.Count(s.addr))
	}
}
