package ingress

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

func newPanics() *contain.Panics {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return contain.New(logrus.NewEntry(log), "panics_total")
}

// panickingReader panics after a part of a body.
type panickingReader struct{ part io.Reader }

func (r panickingReader) Read(p []byte) (int, error) {
	n, err := r.part.Read(p)
	if err != nil {
		panic("reading a body")
	}
	return n, nil
}

// TestPanicEndsOnlyItsRequest guards against a process that ends with a request, and against an
// answer that looks complete although it was not.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	var ended atomic.Int32
	part := strings.Repeat("x", 10_000) // more than the HTTP library buffers
	s, address := startServer(t, Settings{Panics: newPanics()}, func(_ context.Context, x *Exchange) {
		respond := func(length int64) {
			_ = x.Respond(&Response{
				Status: 200, BodyBytes: length, Body: panickingReader{strings.NewReader(part)},
				Done: func(_ int64, err error) {
					if err != nil {
						ended.Add(1)
					}
				},
			})
		}
		switch x.Path {
		case "/before":
			panic("before the answer")
		case "/declared":
			respond(2 * DefaultBufferBytes)
		case "/chunked":
			respond(-1)
		case "/buffered":
			respond(20_000)
		case "/done":
			_ = x.Respond(&Response{Status: 200, BodyBytes: 2, Body: strings.NewReader("ok"), Done: func(int64, error) { panic("done") }})
		default:
			_ = respondText(x, "ok")
		}
	})
	for path, status := range map[string]int{"/before": 502, "/buffered": 502, "/done": 200} {
		c := dial(t, address)
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n")
		resp, _, err := c.readResponse("GET")
		require.NoError(t, err, path)
		require.Equal(t, status, resp.StatusCode, path)
		require.True(t, resp.Close, path)
		require.Equal(t, "id-1", resp.Header.Get("X-Request-Id"), path)
		if status == 502 {
			require.Equal(t, string(model.CauseInternal), resp.Header.Get("X-Cause"), path)
			require.Equal(t, "unknown", resp.Header.Get("X-Outcome"), path)
		}
	}
	for _, path := range []string{"/declared", "/chunked"} {
		c := dial(t, address)
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, err := c.readResponse("GET")
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, path)
	}
	c := dial(t, address)
	c.send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _, err := c.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Eventually(t, func() bool { return s.InFlight() == 0 && ended.Load() == 2 }, time.Second, time.Millisecond)
}
