package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestPipelinedRequestsAreAnsweredInOrder has a caller send further requests before the first
// is answered.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		if x.Path == "/1" {
			time.Sleep(300 * time.Millisecond) // the watcher sees the requests behind this one
		}
		_ = respondText(x, x.Path)
	})
	c := dial(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond) // so that the others wait in the socket
	c.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body, err := c.readResponse(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, path, body)
	}
}

// TestCallerThatPipelinesAndLeavesIsNoticed guards against requests that run on after their
// caller has left, because the next request of the caller hides the end of its connection.
func TestCallerThatPipelinesAndLeavesIsNoticed(t *testing.T) {
	for name, gap := range map[string]time.Duration{"one segment": 0, "two segments": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			entered, ended := make(chan struct{}), make(chan error, 1)
			var second atomic.Bool
			_, address := startServer(t, Settings{}, func(ctx context.Context, x *Exchange) {
				if x.Path != "/1" {
					second.Store(true)
					_ = x.Refuse(model.NotRun, model.CauseNoRoute, 0)
					return
				}
				close(entered)
				select {
				case <-ctx.Done():
					ended <- context.Cause(ctx)
				case <-time.After(5 * time.Second):
					ended <- nil
				}
				_ = x.Refuse(model.Unknown, model.CauseCallerGone, 0)
			})
			c := dial(t, address)
			c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(gap)
			c.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
			<-entered
			require.NoError(t, c.c.Close())
			require.ErrorIs(t, <-ended, ErrCallerGone)
			require.Never(t, second.Load, 300*time.Millisecond, 10*time.Millisecond, "its next request reaches no server")
		})
	}
}
