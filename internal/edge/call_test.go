package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// TestHedgeStartedAfterTheAnswerDoesNotDelayIt guards against an answer that is held back
// until a second attempt has ended. The attempt's goroutine may begin after the request has
// been answered by the first one.
func TestHedgeStartedAfterTheAnswerDoesNotDelayIt(t *testing.T) {
	runs := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	e := newEdgeWithPeers(t, 0)
	c := e.beginCall(t.Context(), &ingress.Exchange{Method: http.MethodGet, URI: []byte("/"), Replayable: true})
	c.end()
	started := time.Now()
	o := c.send(&dispatch.Send{
		Request:  c.id,
		Server:   &catalog.Server{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		TimeLeft: 2 * time.Second,
		Attempt:  2,
	})
	require.Nil(t, o.answer)
	require.Nil(t, o.next)
	require.Less(t, time.Since(started), time.Second)
	require.Empty(t, runs, "no server runs a request that has been answered")
}

// TestSilenceWithinAnAnswerDoesNotEndIt guards against LOST after SIGTERM: a server that is
// silent in the middle of an answer is at work on it until the request's own deadline.
func TestSilenceWithinAnAnswerDoesNotEndIt(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, "first ") // on an error the test sees an incomplete body
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(upstream.DefaultProgressTimeout + 300*time.Millisecond)
		_, _ = io.WriteString(rw, "last")
	}))
	t.Cleanup(server.Close)
	e := newEdgeWithPeers(t, 0)
	c := e.beginCall(t.Context(), &ingress.Exchange{Method: http.MethodGet, URI: []byte("/"), Replayable: true})
	t.Cleanup(c.end)
	o := c.send(&dispatch.Send{
		Request:  c.id,
		Server:   &catalog.Server{ID: "b", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		TimeLeft: 10 * time.Second,
		Attempt:  1,
	})
	require.NotNil(t, o.answer)
	t.Cleanup(o.answer.release)
	body, err := io.ReadAll(o.answer.response.Body)
	require.NoError(t, err)
	require.Equal(t, "first last", string(body))
}
