package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
)

// TestRefusalWrittenAgainRefusesNoOtherRequest has a server write an earlier refusal once more
// on a kept connection, before the answer to the next request or in place of it. That request
// runs, so that its caller must not be told that it did not.
func TestRefusalWrittenAgainRefusesNoOtherRequest(t *testing.T) {
	refusals := map[string]string{
		"named":   "HTTP/1.1 503 S\r\nX-Request-Id: first\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"unnamed": "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	dialects := map[string]Settings{"own": {AcceptCloseDelimited: true}, "echoing": echoingSettings()}
	for dialect, settings := range dialects {
		for name, refusal := range refusals {
			for _, inPlace := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/in place %t", dialect, name, inPlace), func(t *testing.T) {
					t.Parallel()
					s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
						for refused := false; ; {
							head, err := s.readHead(br)
							if err != nil {
								return
							}
							id := fieldOf(head, "X-Request-Id")
							if id == "first" {
								_, _ = io.WriteString(c, refusal)
								refused = true
								continue
							}
							if refused {
								_, _ = io.WriteString(c, refusal)
								time.Sleep(segmentGap)
							}
							if refused && inPlace {
								return
							}
							_, _ = io.WriteString(c, answerTo(id))
						}
					})
					c := newClient(t, settings)
					attempt := newGet(s)
					attempt.TraceID = "first"
					_, sendErr := c.Send(testContext(t), attempt)
					require.Equal(t, event.AttemptShed, sendErr.Result)
					for i := range 3 {
						attempt.TraceID = fmt.Sprint("next-", i)
						response, sendErr := c.Send(testContext(t), attempt)
						if sendErr != nil {
							require.NotEqual(t, event.AttemptShed, sendErr.Result, "request %d has run", i)
							continue
						}
						require.Equal(t, "answer to "+attempt.TraceID, readBody(t, response, nil))
					}
				})
			}
		}
	}
}

// TestRefusalOfHealthCheckWrittenAgainRefusesNoRequest has a server write the refusal of a health
// check, which names no request, once more on a kept connection. The next request there runs.
func TestRefusalOfHealthCheckWrittenAgainRefusesNoRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for dialect, settings := range map[string]Settings{"own": {AcceptCloseDelimited: true}, "echoing": echoingSettings()} {
		t.Run(dialect, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
				for refused := false; ; {
					head, err := s.readHead(br)
					if err != nil {
						return
					}
					id := fieldOf(head, "X-Request-Id")
					if id == "" {
						_, _ = io.WriteString(c, refusal)
						refused = true
						continue
					}
					if refused {
						_, _ = io.WriteString(c, refusal)
						time.Sleep(segmentGap)
					}
					_, _ = io.WriteString(c, answerTo(id))
				}
			})
			c := newClient(t, settings)
			check := newGet(s)
			check.TraceID = ""
			_, err := c.Check(testContext(t), check)
			require.Error(t, err)
			attempt := newGet(s)
			attempt.TraceID = "next"
			response, sendErr := c.Send(testContext(t), attempt)
			require.Equal(t, "answer to next", readBody(t, response, sendErr))
		})
	}
}
