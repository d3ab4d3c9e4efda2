package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/stretchr/testify/require"
)

// respondFaulty responds with the request's ID. Depending on random numbers seeded with
// the connection's number, it does so late, truncated, twice, not at all or after an
// interim response.
func respondFaulty(s *scriptedServer, n int64, c net.Conn, br *bufio.Reader) {
	random := rand.New(rand.NewPCG(11, uint64(n)))
	for {
		head, err := s.readHead(br)
		if err != nil {
			return
		}
		id := fieldOf(head, "X-Request-Id")
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if random.IntN(2) == 0 {
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		}
		switch random.IntN(12) {
		case 0: // later than the timeout
			time.Sleep(60 * time.Millisecond)
		case 1:
			response = response[:random.IntN(len(response))]
			_, _ = io.WriteString(c, response)
			return
		case 2:
			response += response
		case 3:
			return
		case 4:
			response = "HTTP/1.1 102 Processing\r\n\r\n" + response
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

// A late or repeated response on a reused connection could be taken for the response to
// another request. Every complete response must carry the ID of its own request.
func TestFaultyServerNeverMixesResponses(t *testing.T) {
	const callers, requests = 16, 100
	s := startServer(t, respondFaulty)
	c := newClient(t, Settings{ProgressTimeout: 25 * time.Millisecond, DialTimeout: 5 * time.Second})
	var mu sync.Mutex
	complete, results := 0, make(map[event.AttemptResult]int)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range requests {
				a := newGet(s)
				a.TraceID = fmt.Sprintf("caller-%d-request-%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				body, result := sendAndRead(ctx, c, a)
				cancel()
				mu.Lock()
				results[result]++
				if result == event.AttemptComplete {
					complete++
					if body != a.TraceID {
						t.Errorf("request %s got the response %q", a.TraceID, body)
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	require.Positive(t, complete, results)
	require.Positive(t, results[event.AttemptTimeout], results)
	require.Zero(t, results[event.AttemptNotSent], results)
	require.LessOrEqual(t, s.requests.Load(), int64(callers*requests), "no request may be sent twice")
	count := c.Count(s.addr)
	require.Equal(t, count.Open, count.Idle, "every connection must be idle or closed")
}

// sendAndRead makes an attempt and returns the body of a complete response and how the
// attempt ended.
func sendAndRead(ctx context.Context, c *Client, a *Attempt) (string, event.AttemptResult) {
	response, sendErr := c.Send(ctx, a)
	if sendErr != nil {
		return "", sendErr.Result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", event.AttemptTruncated
	}
	return string(body), event.AttemptComplete
}
