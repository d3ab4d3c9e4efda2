package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// startScripted answers each request with the bytes that respond returns and counts the connections.
func startScripted(t *testing.T, respond func() string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				defer func() { _ = c.Close() }()
				for br := bufio.NewReader(c); ; {
					request, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if _, err := io.WriteString(c, respond()); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &accepted
}

// TestInvalidAnswersAreNotUsed guards against an answer with an invalid header that counts: its rows
// or instances as the platform's, its status as proof that a write was applied or was not.
func TestInvalidAnswersAreNotUsed(t *testing.T) {
	const rows, instances = `{"rows":[]}`, `{"instances":[]}`
	for _, head := range []string{
		"200 OK\r\nBad Name: v", "200 OK\r\nBad : v", "200 OK\r\n Bad: v", "200 OK\r\nDate: d\r\n Bad: v", "200 OK\r\nBad\t: v", "200 OK\r\nBad\x00Name: v",
		"200 OK\r\nBad\x7f: v", "200 OK\r\n: v", "200 OK\r\nBad", "200 OK\r\nConnection : close", "503 Odd\r\nX-Not-Applied : true",
		"503 Odd\r\nX-Not-Applied: true\r\nBad : v", "429 Odd\r\nX-Not-Applied: true\r\nBad Name: v", "409 Odd\r\nBad : v",
		"000 Odd", "099 Odd", "101 Odd", "600 Odd", "2x0 Odd", "0200 Odd",
		"103 Early Hints\r\nBad : v\r\n\r\nHTTP/1.1 200 OK",
	} {
		body := rows
		address, accepted := startScripted(t, func() string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
		})
		settings := platform.DefaultSettings(address)
		disableRetries(&settings)
		settings.Breaker.Failures = 1000
		client := platform.NewClient(settings)
		t.Cleanup(client.Close)
		started := time.Now()

		var unavailable *platform.UnavailableError
		_, err := client.Table().Get(t.Context(), "k")
		require.ErrorAs(t, err, &unavailable, "%q", head)
		require.ErrorContains(t, err, "invalid response", "%q", head)
		_, err = client.Objects().Get(t.Context(), "o")
		require.ErrorAs(t, err, &unavailable, "%q", head)
		body = instances
		_, err = client.Instances().List(t.Context())
		require.ErrorAs(t, err, &unavailable, "%q", head)

		var uncertain *platform.UncertainError
		require.ErrorAs(t, client.Table().Commit(t.Context(), put("k", "v")), &uncertain, "%q", head)
		require.ErrorAs(t, client.Objects().Put(t.Context(), "o", nil), &uncertain, "%q", head)
		require.EqualValues(t, 5, accepted.Load(), "%q: its connection is not used again", head)
		require.Less(t, time.Since(started), eventuallyTimeout)

		retrying := platform.NewRetryingClient(settings, func(int) platform.AnswerClass { return platform.NotApplied })
		t.Cleanup(retrying.Close)
		_, err = retrying.Call(t.Context(), platform.Call{Step: "commit", Method: http.MethodPost, Target: "/x"})
		require.ErrorAs(t, err, &uncertain, "%q", head)
	}
}
