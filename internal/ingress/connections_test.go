package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionsBeyondLimitAreRefused opens more connections than allowed: a caller on one
// of the others is told at once, and its request does not run.
func TestConnectionsBeyondLimitAreRefused(t *testing.T) {
	const limit = 2
	s, address := startServer(t, Settings{MaxConnections: limit}, func(_ context.Context, x *Exchange) {
		_ = respondText(x, "ok")
	})
	for i := range limit {
		c := dial(t, address)
		c.send(fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i))
		resp, _, err := c.readResponse(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	for range 20 {
		c := dial(t, address)
		started := time.Now()
		_, _ = c.c.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"))
		resp, _, err := c.readResponse(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Less(t, time.Since(started), time.Second)
	}
	require.EqualValues(t, 20, s.Stats().RefusedConnections)
}

// TestSteadySlowReaderGetsTheWholeAnswer guards against an answer that is cut off because its
// caller, which reads all the time, needs longer for all of it than the progress timeout.
func TestSteadySlowReaderGetsTheWholeAnswer(t *testing.T) {
	const (
		answerBytes = 20
		timeout     = 300 * time.Millisecond
	)
	server, caller := net.Pipe() // buffers nothing
	c := &progressConn{Conn: server, timeout: timeout}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for range answerBytes {
			time.Sleep(timeout / 10)
			_, _ = caller.Read(make([]byte, 1)) // an error also shows in Write
		}
	}()
	n, err := c.Write(make([]byte, answerBytes))
	require.NoError(t, err)
	require.Equal(t, answerBytes, n)
	<-read
	n, err = c.Write(make([]byte, answerBytes))
	require.Zero(t, n)
	require.ErrorIs(t, err, ErrSlowCaller)
	require.NoError(t, server.Close())
}

// TestAnswerDoesNotWaitForAPipelinedRequest guards against an answer that is held back, or lost
// in a stop, because the caller has sent its next request already.
func TestAnswerDoesNotWaitForAPipelinedRequest(t *testing.T) {
	release := make(chan struct{})
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		if x.Path == "/2" {
			<-release
		}
		_ = respondText(x, x.Path)
	})
	c := dial(t, address)
	require.NoError(t, c.c.SetReadDeadline(time.Now().Add(3*time.Second)))
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	defer func() {
		close(release)
		_, body, err := c.readResponse(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, "/2", body)
	}()
	_, body, err := c.readResponse(http.MethodGet)
	require.NoError(t, err)
	require.Equal(t, "/1", body)
}
