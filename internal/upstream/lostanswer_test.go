package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
)

// cutAnswers answers a request whose identifier is a number with as many bytes of response
// before the connection is closed or reset, and any other request in full.
func cutAnswers(response string, reset bool) func(*scriptedServer, int64, net.Conn, *bufio.Reader) {
	return func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
		for {
			head, err := s.readHead(br)
			if err != nil {
				return
			}
			cut, err := strconv.Atoi(fieldOf(head, "X-Request-Id"))
			if err != nil {
				_, _ = io.WriteString(c, response)
				continue
			}
			_, _ = io.WriteString(c, response[:cut])
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// TestAnswerLostAtEachByte cuts an answer after each of its bytes: the attempt may have run
// and is not complete.
func TestAnswerLostAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-A: b\r\n"
	for form, response := range map[string]string{
		"length":  head + "Content-Length: 12\r\n\r\nthe whole it",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n7\r\nthe who\r\n5\r\nle it\r\n0\r\n\r\n",
		"trailer": head + "Transfer-Encoding: chunked\r\n\r\nc\r\nthe whole it\r\n0\r\nX-T: t\r\n\r\n",
		"refusal": "HTTP/1.1 503 S\r\nContent-Length: 2\r\nX-Not-Run: 1\r\n\r\nno",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(form, " reset ", reset), func(t *testing.T) {
				t.Parallel()
				s := startServer(t, cutAnswers(response, reset))
				c := newClient(t, Settings{AcceptCloseDelimited: true})
				for cut := range len(response) {
					for _, reused := range []bool{false, true} {
						requireLost(t, c, s, form, cut, reused)
					}
				}
			})
		}
	}
}

// requireLost sends a request whose answer is cut, on a new or a reused connection.
func requireLost(t *testing.T, c *Client, s *scriptedServer, form string, cut int, reused bool) {
	t.Helper()
	if reused {
		a := newGet(s)
		a.TraceID = "whole"
		response, sendErr := c.Send(testContext(t), a)
		if sendErr == nil {
			_, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		} else {
			require.Equal(t, "refusal", form)
		}
	}
	a := newGet(s)
	a.TraceID = strconv.Itoa(cut)
	a.FreshConnection = !reused
	response, sendErr := c.Send(testContext(t), a)
	if sendErr == nil {
		_, err := io.ReadAll(response.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut %d", cut)
		require.NoError(t, response.Body.Close())
		return
	}
	require.True(t, sendErr.Sent, "cut %d", cut)
	want := []event.AttemptResult{event.AttemptBroken, event.AttemptStaleBroken, event.AttemptTruncated}
	if form == "refusal" {
		want = append(want, event.AttemptShed) // once its head is whole
	}
	require.Contains(t, want, sendErr.Result, "cut %d: %v", cut, sendErr)
}
