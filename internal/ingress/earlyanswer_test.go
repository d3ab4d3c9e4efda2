package ingress

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestEarlyAnswerReachesCallerThatSendsItAllFirst guards against answers that a caller never reads
// because its connection is reset while it still sends its request.
func TestEarlyAnswerReachesCallerThatSendsItAllFirst(t *testing.T) {
	const (
		bodyBytes = 4 << 20
		blocks    = 64
		callers   = 5
	)
	for name, test := range map[string]struct {
		settings Settings
		limits   Limits
		path     string
		head     string // before the body, without a length unless empty
		drain    bool
		status   int
	}{
		"no memory":        {settings: Settings{HeldBytes: 1, BufferBytes: bodyBytes}, path: "/", status: http.StatusServiceUnavailable},
		"too long":         {limits: Limits{BodyBytes: bodyBytes - 1}, path: "/", status: http.StatusRequestEntityTooLarge},
		"reserved path":    {path: reservedPrefix + "other", status: http.StatusNotFound},
		"refused":          {path: "/refuse", status: http.StatusServiceUnavailable},
		"refused draining": {path: "/refuse", drain: true, status: http.StatusServiceUnavailable},
		"header too large": {path: "/", head: "X-Large: ", status: http.StatusRequestHeaderFieldsTooLarge},
		"answered":         {path: "/", status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, address := startServer(t, test.settings, func(_ context.Context, x *Exchange) {
				if x.Path == "/refuse" {
					_ = x.Refuse(model.NotRun, model.CauseStopping, 0)
					return
				}
				_ = respondText(x, "ok")
			})
			s.limits.Store(&test.limits)
			if test.drain {
				s.StartDraining()
			}
			for range callers {
				c := dial(t, address)
				c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s", test.path, cmp.Or(test.head, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))))
				block := strings.Repeat("x", bodyBytes/blocks)
				for range blocks {
					time.Sleep(time.Millisecond)
					c.send(block)
				}
				resp, _, err := c.readResponse(http.MethodPost)
				require.NoError(t, err)
				require.Equal(t, test.status, resp.StatusCode)
			}
		})
	}
}

// TestCallerThatSendsWithoutEndIsCutOff guards against connections that stay open for a caller that
// neither sends the rest of its request nor closes its connection.
func TestCallerThatStopsSendingAfterItsAnswerIsCutOff(t *testing.T) {
	s, address := startServer(t, Settings{HeldBytes: 1, BufferBytes: 1 << 30}, func(_ context.Context, x *Exchange) { _ = respondText(x, "ok") })
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 64<<10))
	resp, _, err := c.readResponse(http.MethodPost)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Eventually(t, func() bool { return s.linger.open.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return s.linger.open.Load() == 0 }, 10*maxLingerSilence, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		_, err := c.c.Write([]byte("x"))
		return err != nil
	}, 5*time.Second, 10*time.Millisecond)
}

// TestShutdownDoesNotWaitForCallerThatSendsWithoutEnd guards against a stop that outlasts its grace
// time because of a caller that has its answer and sends on.
func TestShutdownDoesNotWaitForCallerThatSendsWithoutEnd(t *testing.T) {
	const grace = 500 * time.Millisecond
	s, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) { _ = x.Refuse(model.NotRun, model.CauseStopping, 0) })
	s.StartDraining()
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n")
	go func() {
		for {
			if _, err := c.c.Write(make([]byte, 4096)); err != nil {
				return
			}
		}
	}()
	_, _, err := c.readResponse(http.MethodPost)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.linger.open.Load() == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
	require.Error(t, ctx.Err(), "it waited for as long as it may")
	require.Zero(t, s.InFlight())
}
