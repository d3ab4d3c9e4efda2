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

// faulty answers with the request's id, but late, cut, twice, not at all or
// after an interim answer, as drawn from its seed.
func faulty(s *scripted, n int64, c net.Conn, br *bufio.Reader) {
	random := rand.New(rand.NewPCG(11, uint64(n)))
	for {
		head, err := s.readHead(br)
		if err != nil {
			return
		}
		id := fieldOf(head, "X-Request-Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if random.IntN(2) == 0 {
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		}
		switch random.IntN(12) {
		case 0: // later than the time-out
			time.Sleep(60 * time.Millisecond)
		case 1:
			answer = answer[:random.IntN(len(answer))]
			_, _ = io.WriteString(c, answer)
			return
		case 2:
			answer += answer
		case 3:
			return
		case 4:
			answer = "HTTP/1.1 102 Processing\r\n\r\n" + answer
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// Whatever a server does, a complete answer is that of its own request.
func TestFaultyServerNeverMixesAnswers(t *testing.T) {
	const callers, requests = 16, 100
	s := serve(t, faulty)
	c := newClient(t, Settings{ProgressTimeout: 25 * time.Millisecond, DialTimeout: 5 * time.Second})
	var mu sync.Mutex
	complete, results := 0, make(map[event.AttemptResult]int)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range requests {
				a := get(s)
				a.Trace = fmt.Sprintf("caller-%d-request-%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				body, result := exchange(ctx, c, a)
				cancel()
				mu.Lock()
				results[result]++
				if result == event.AttemptComplete {
					complete++
					if body != a.Trace {
						t.Errorf("request %s got the answer %q", a.Trace, body)
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
	require.LessOrEqual(t, s.requests.Load(), int64(callers*requests), "no request was sent twice")
	count := c.Count(s.addr)
	require.Equal(t, count.Open, count.Idle, "every connection is back or closed")
}

// exchange returns a complete answer's body, or how the attempt ended.
func exchange(ctx context.Context, c *Client, a *Attempt) (string, event.AttemptResult) {
	answer, sendErr := c.Send(ctx, a)
	if sendErr != nil {
		return "", sendErr.Result
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", event.AttemptCut
	}
	return string(body), event.AttemptComplete
}
