package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResponseBeforeEndOfBodyIsDeliveredWhole guards against a response whose rest is thrown away
// because its caller still sends the body that it refuses, also at shutdown.
func TestResponseBeforeEndOfBodyIsDeliveredWhole(t *testing.T) {
	const (
		bodyBytes     = 24 << 20
		responseBytes = 60_000
		pause         = 10 * time.Millisecond
	)
	s, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		_ = respondText(x, strings.Repeat("x", responseBytes))
	})
	c := dial(t, address)
	require.NoError(t, c.c.(*net.TCPConn).SetReadBuffer(4096))
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes))
	go func() {
		block := make([]byte, 4096)
		for range bodyBytes / len(block) {
			if _, err := c.c.Write(block); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(c.br, nil)
	require.NoError(t, err)
	shutdown := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		shutdown <- s.Shutdown(ctx)
	}()
	received := int64(0)
	for received < responseBytes {
		time.Sleep(pause)
		n, err := io.CopyN(io.Discard, resp.Body, 2000)
		received += n
		require.NoError(t, err, "after %d bytes", received)
	}
	require.NoError(t, <-shutdown)
	require.Zero(t, s.linger.open.Load())
}

// TestLingeringConnectionsAreBounded guards against connections of callers that read nothing and
// cost a file descriptor each.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	const timeout = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	linger := &lingerer{timeout: timeout, max: 1}
	for i := range 2 {
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		require.NoError(t, client.(*net.TCPConn).SetReadBuffer(4096))
		server, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, server.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		for err == nil { // until the caller, which reads nothing, has no room
			_, err = server.Write(make([]byte, 4096))
		}
		require.NoError(t, linger.close(server, false))
		require.EqualValues(t, 1, linger.open.Load(), i)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*timeout)
	defer cancel()
	linger.wait(ctx)
	require.NoError(t, ctx.Err())
}

// TestCallersThatSendLeaveRoomForUndeliveredResponses guards against responses that are thrown away
// because callers that have theirs take all places of lingering connections.
func TestCallersThatSendLeaveRoomForUndeliveredResponses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	linger := &lingerer{timeout: 300 * time.Millisecond, max: 2}
	closeOne := func(unread bool) {
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		require.NoError(t, client.(*net.TCPConn).SetReadBuffer(4096))
		server, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, server.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		for unread && err == nil { // until the caller, which reads nothing, has no room
			_, err = server.Write(make([]byte, 4096))
		}
		require.NoError(t, linger.close(server, true))
	}
	closeOne(false)
	closeOne(false)
	require.EqualValues(t, 1, linger.open.Load())
	closeOne(true)
	require.EqualValues(t, 2, linger.open.Load())
	linger.wait(t.Context())
}
