package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBodiesHeldInMemoryAreBounded guards against a process that runs out of memory because many
// callers send bodies, or read answers, slowly.
func TestBodiesHeldInMemoryAreBounded(t *testing.T) {
	const bodyBytes = 64 << 10
	text := strings.Repeat("x", bodyBytes)
	started := make(chan struct{}, 8)
	answers := make(chan struct{})
	s, address := startServer(t, Settings{HeldBytes: 2 * bodyBytes, BufferBytes: bodyBytes}, func(_ context.Context, x *Exchange) {
		started <- struct{}{}
		if x.Path == "/wait" {
			<-answers
		}
		if x.Path == "/large" {
			_ = respondText(x, text)
			return
		}
		_ = respondText(x, fmt.Sprint(len(x.Body)))
	})
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, text)
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, text)
	send := func(path, body string) *caller {
		c := dial(t, address)
		go c.send("POST " + path + " HTTP/1.1\r\nHost: h\r\n" + body)
		return c
	}
	requireAnswer := func(c *caller, status int, body string) {
		resp, got, err := c.readResponse(http.MethodPost)
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
		if status == http.StatusOK {
			require.Equal(t, body, got)
			return
		}
		require.Equal(t, "not-run", resp.Header.Get("X-Outcome"))
		require.Equal(t, "overload", resp.Header.Get("X-Cause"))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	for range 3 { // what ends makes room
		waiting := []*caller{send("/wait", length), send("/wait", chunked)}
		<-started
		<-started
		requireAnswer(send("/", length), http.StatusServiceUnavailable, "")
		requireAnswer(send("/", chunked), http.StatusServiceUnavailable, "")
		requireAnswer(send("/", "Content-Length: 4\r\n\r\nbody"), http.StatusOK, "4")
		<-started
		requireAnswer(send("/large", "Content-Length: 0\r\n\r\n"), http.StatusOK, text)
		<-started
		for range waiting {
			answers <- struct{}{}
		}
		for _, c := range waiting {
			requireAnswer(c, http.StatusOK, fmt.Sprint(bodyBytes))
		}
		require.Eventually(t, func() bool { return s.held.Load() == 0 }, 5*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 6, s.Stats().Overloaded)
}
