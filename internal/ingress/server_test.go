package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
)

func TestEveryResponseEchoesRequestID(t *testing.T) {
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) { _ = respondText(x, "ok") })
	for request, status := range map[string]int{
		"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n":           200,
		"GET /v1/other HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n":   404,
		"GET /v1/entries HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n": 503,
		"STRANGE / HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n":       400,
	} {
		c := dial(t, address)
		c.send(request)
		resp, _, err := c.readResponse("GET")
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode, request)
		require.Equal(t, []string{"id-1"}, resp.Header.Values("X-Request-Id"), request)
	}
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nbroken\r\n\r\n")
	resp, _, err := c.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, 400, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("X-Outcome"))
	require.Len(t, resp.Header.Get("X-Request-Id"), 36)
}

func TestHeaderBounds(t *testing.T) {
	_, address := startServer(t, Settings{MaxHeaderBytes: 1024, HeaderTimeout: 100 * time.Millisecond}, func(_ context.Context, x *Exchange) {
		_ = respondText(x, "ok")
	})
	for header, status := range map[string]int{
		"X-Large: " + strings.Repeat("x", 2000) + "\r\n\r\n": 431,
		"X-Slow: ": 408,
	} {
		c := dial(t, address)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + header)
		resp, _, err := c.readResponse("GET")
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get("X-Outcome"))
	}
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	s, address := startServer(t, Settings{MaxExchanges: 1}, func(_ context.Context, x *Exchange) {
		close(entered)
		<-release
		_ = respondText(x, "ok")
	})
	first := dial(t, address)
	first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	require.Equal(t, 1, s.InFlight())
	second := dial(t, address)
	second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _, err := second.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("X-Outcome"))
	require.Equal(t, "overload", resp.Header.Get("X-Cause"))
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	require.EqualValues(t, 1, s.Stats().Overloaded)
	close(release)
	_, body, err := first.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

func TestDisconnectCancelsContext(t *testing.T) {
	entered := make(chan struct{})
	ended := make(chan struct{})
	_, address := startServer(t, Settings{}, func(ctx context.Context, x *Exchange) {
		close(entered)
		<-ctx.Done()
		close(ended)
		_ = x.Refuse(model.Unknown, model.CauseCallerGone, 0)
	})
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	require.NoError(t, c.c.Close())
	<-ended
}

func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	done := make(chan error, 1)
	_, address := startServer(t, Settings{ProgressTimeout: 100 * time.Millisecond}, func(_ context.Context, x *Exchange) {
		_ = x.Respond(&Response{Status: 200, BodyBytes: -1, Body: zeroReader{}, Done: func(_ int64, err error) { done <- err }})
	})
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.ErrorIs(t, <-done, ErrSlowCaller)
}

func TestCallerThatStopsSendingIsCutOff(t *testing.T) {
	got := make(chan error, 1)
	_, address := startServer(t, Settings{ProgressTimeout: 100 * time.Millisecond}, func(_ context.Context, x *Exchange) {
		_, err := io.Copy(io.Discard, x.BodyStream)
		got <- err
	})
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 20000))
	require.ErrorIs(t, <-got, ErrSlowCaller)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestShutdownWaitsForExchangesInFlight(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(Settings{}, handlerFunc(func(_ context.Context, x *Exchange) {
		close(entered)
		<-release
		_ = x.Respond(&Response{Status: 200, BodyBytes: 1 << 20, Body: io.LimitReader(zeroReader{}, 1<<20)})
	}))
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c := dial(t, ln.Addr().String())
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			probe.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond, "the server must stop accepting first")
	close(release)
	resp, body, err := c.readResponse("GET")
	require.NoError(t, err)
	require.True(t, resp.Close, "the response must close its connection")
	require.Len(t, body, 1<<20)
	require.NoError(t, <-stopped)
	require.NoError(t, <-served)
}

// 50 MiB bodies must be streamed in both directions with less than 16 MiB of heap. A
// body that is buffered instead exceeds the limit.
func TestLargeBodiesUseBoundedMemory(t *testing.T) {
	const size, limit = 50 << 20, 16 << 20
	var peak atomic.Uint64
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		n, err := io.Copy(io.Discard, &heapMeter{r: x.BodyStream, peak: &peak})
		if err != nil || n != size {
			return
		}
		_ = x.Respond(&Response{Status: 200, BodyBytes: size, Body: &heapMeter{r: io.LimitReader(zeroReader{}, size), peak: &peak}})
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", io.LimitReader(zeroReader{}, size))
	require.NoError(t, err)
	req.ContentLength = size
	resp, err := client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
	require.Less(t, peak.Load(), uint64(limit))
}

// heapMeter records the peak heap use while a body is read.
type heapMeter struct {
	r     io.Reader
	peak  *atomic.Uint64
	reads int
}

func (m *heapMeter) Read(p []byte) (int, error) {
	if m.reads++; m.reads%64 == 0 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		m.peak.Store(max(m.peak.Load(), stats.HeapAlloc))
	}
	return m.r.Read(p)
}

// fixedDirectory returns the same entries for every lookup, the first one with the remote
// address as its zone.
type fixedDirectory struct{ entries []Entry }

func (d *fixedDirectory) Entries(remote netip.Addr, dst []Entry) ([]Entry, time.Duration) {
	dst = append(dst, d.entries...)
	dst[0].Zone = model.ZoneName(remote.String())
	return dst, 5 * time.Second
}

func TestLookup(t *testing.T) {
	s, address := startServer(t, Settings{}, func(context.Context, *Exchange) {})
	s.SetDirectory(&fixedDirectory{entries: []Entry{{"e1", "", "127.0.0.1:1"}, {`e"2`, "z", "127.0.0.1:2"}}})
	c := dial(t, address)
	for query, zone := range map[string]string{"": "127.0.0.1", "?address=10.1.2.3": "10.1.2.3", "?address=10.64.9.9/16": "10.64.0.0"} {
		c.send("GET /v1/entries" + query + " HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, body, err := c.readResponse("GET")
		require.NoError(t, err)
		require.Equal(t, "private, max-age=5", resp.Header.Get("Cache-Control"))
		require.JSONEq(t, `{"entries":[{"instance":"e1","zone":"`+zone+`","address":"127.0.0.1:1"},{"instance":"e\"2","zone":"z","address":"127.0.0.1:2"}],"ttl_seconds":5}`, body)
	}
	c.send("GET /v1/entries?address=nonsense HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _, err := c.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, 400, resp.StatusCode)
}

func TestLookupsHaveSeparateLimit(t *testing.T) {
	s, address := startServer(t, Settings{MaxLookups: 1}, func(context.Context, *Exchange) {})
	s.SetDirectory(&fixedDirectory{entries: []Entry{{}}})
	s.lookups.Add(1)
	defer s.lookups.Add(-1)
	c := dial(t, address)
	c.send("GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _, err := c.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, "overload", resp.Header.Get("X-Cause"))
	require.EqualValues(t, 1, s.Stats().RefusedLookups)
}

func TestDrainingEndsConnections(t *testing.T) {
	s, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) { _ = respondText(x, "ok") })
	s.StartDraining()
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _, err := c.readResponse("GET")
	require.NoError(t, err)
	require.True(t, resp.Close)
	_, err = c.br.ReadByte()
	require.True(t, errors.Is(err, io.EOF), err)
}

// New limits must apply to connections that were opened before, too: a caller that was
// promised a longer idle timeout reuses its connection until then, and would otherwise
// find it closed.
func TestLimitsApplyToOpenConnections(t *testing.T) {
	s, address := startServer(t, Settings{IdleTimeout: 100 * time.Millisecond}, func(_ context.Context, x *Exchange) { _ = respondText(x, "ok") })
	ask := func(c *caller) {
		c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, err := c.readResponse("GET")
		require.NoError(t, err)
	}
	short := dial(t, address)
	ask(short)
	_, err := short.br.ReadByte()
	require.ErrorIs(t, err, io.EOF, "closed after the idle timeout")

	c := dial(t, address)
	ask(c)
	s.SetLimits(Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: 100 * time.Millisecond, BodyBytes: 10})
	ask(c)
	time.Sleep(300 * time.Millisecond)
	ask(c)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world")
	resp, _, err := c.readResponse("POST")
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)

	slow := dial(t, address)
	slow.send("GET / HTTP/1.1\r\nHost: ")
	resp, _, err = slow.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
}
