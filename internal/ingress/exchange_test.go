package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
)

func TestExchangeCarriesTheRequest(t *testing.T) {
	got := make(chan *Exchange, 1)
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		got <- x
		_ = respondText(x, "hello")
	})
	c := dial(t, address)
	c.send("POST /a%20b/../c?q=1&r=%2F HTTP/1.1\r\nHost: h\r\nX-Request-Id: abc\r\nX-Forwarded-For: 9.9.9.9\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-Deadline-Ms: 250\r\nIdempotency-Key: key\r\nContent-Length: 3\r\n\r\nxyz")
	resp, body, err := c.readResponse("POST")
	require.NoError(t, err)
	require.Equal(t, "hello", body)
	require.Equal(t, "abc", resp.Header.Get("X-Request-Id"))
	require.Equal(t, "served", resp.Header.Get("X-Outcome"))
	require.Equal(t, "b1", resp.Header.Get("X-Backend"))
	x := <-got
	require.Equal(t, "/c", x.Path)
	require.Equal(t, "/a%20b/../c?q=1&r=%2F", string(x.URI))
	require.Equal(t, "127.0.0.1", x.Remote.String())
	require.Equal(t, "9.9.9.9, 127.0.0.1", x.Header.Get(httpheader.ForwardedFor))
	require.Equal(t, "", x.Header.Get("X-Hop"))
	require.Equal(t, "h", x.Header.Get("Host"))
	require.Equal(t, 250*time.Millisecond, x.DeadlineHint)
	require.Equal(t, "key", x.IdempotencyKey)
	require.Equal(t, "xyz", string(x.Body))
	require.True(t, x.Replayable)
	require.EqualValues(t, 3, x.BodyBytes)
}

func TestBodySizes(t *testing.T) {
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		n := int64(len(x.Body))
		if !x.Replayable {
			n, _ = io.Copy(io.Discard, x.BodyStream)
		}
		_ = respondText(x, fmt.Sprint(x.Replayable, x.BodyBytes, n))
	})
	c := dial(t, address)
	for _, size := range []int{0, 1, DefaultBufferBytes, DefaultBufferBytes + 1, 3 * DefaultBufferBytes} {
		text := strings.Repeat("x", size)
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, text))
		_, body, err := c.readResponse("POST")
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(size <= DefaultBufferBytes, size, size), body)

		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		if size > 0 {
			c.send(fmt.Sprintf("%x\r\n%s\r\n", size, text))
		}
		c.send("0\r\n\r\n")
		_, body, err = c.readResponse("POST")
		require.NoError(t, err)
		if size <= DefaultBufferBytes {
			require.Equal(t, fmt.Sprint(true, size, size), body)
		} else {
			require.Equal(t, fmt.Sprint(false, -1, size), body)
		}
	}
}

func TestTruncatedRequestBodyIsAnError(t *testing.T) {
	for name, framing := range map[string]string{
		"content length": "Content-Length: 200000\r\n\r\n",
		"chunked":        "Transfer-Encoding: chunked\r\n\r\n30d40\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan error, 1)
			_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
				_, err := io.Copy(io.Discard, x.BodyStream)
				got <- err
			})
			c := dial(t, address)
			c.send("POST / HTTP/1.1\r\nHost: h\r\n" + framing + strings.Repeat("x", 100000))
			require.NoError(t, c.c.Close())
			require.ErrorIs(t, <-got, io.ErrUnexpectedEOF)
		})
	}
}

// A broken response must reach the caller as a broken connection, regardless of the
// error and the framing. Otherwise the caller takes a truncated body for a complete one.
func TestBrokenResponseNeverEndsCleanly(t *testing.T) {
	failures := map[string]error{
		"error":          errors.New("lost"),
		"unexpected EOF": io.ErrUnexpectedEOF,
		"wrapped EOF":    fmt.Errorf("peer: %w", io.EOF),
		"early EOF":      io.EOF,
	}
	for name, failure := range failures {
		for _, declared := range []int64{10 * DefaultBufferBytes, -1} {
			if declared < 0 && failure == io.EOF {
				continue // without a declared length this is a complete response
			}
			t.Run(fmt.Sprint(name, declared), func(t *testing.T) {
				done := make(chan error, 1)
				_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
					body := io.MultiReader(strings.NewReader(strings.Repeat("x", 2*DefaultBufferBytes)), iotest.ErrReader(failure))
					_ = x.Respond(&Response{Status: 200, BodyBytes: declared, Body: body, Done: func(_ int64, err error) { done <- err }})
				})
				c := dial(t, address)
				c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				_, body, err := c.readResponse("GET")
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.LessOrEqual(t, len(body), 2*DefaultBufferBytes)
				require.Error(t, <-done)
				_, err = c.br.ReadByte()
				require.Error(t, err, "the connection must be closed")
			})
		}
	}
}

func TestBrokenBufferedResponseCanBeRefused(t *testing.T) {
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		body := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
		if err := x.Respond(&Response{Status: 200, BodyBytes: 100, Body: body}); err != nil {
			_ = x.Refuse(model.Unknown, model.CauseAnswerIncomplete, 0)
		}
	})
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, body, err := c.readResponse("GET")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "unknown", resp.Header.Get("X-Outcome"))
	require.Equal(t, "answer-incomplete", resp.Header.Get("X-Cause"))
	require.Contains(t, body, `"outcome":"unknown","cause":"answer-incomplete","request_id":"`+resp.Header.Get("X-Request-Id")+`"`)
}

func TestStreamedResponsesAndHead(t *testing.T) {
	const size = 5 * DefaultBufferBytes
	_, address := startServer(t, Settings{}, func(_ context.Context, x *Exchange) {
		length := int64(size)
		if x.Path == "/chunked" {
			length = -1
		}
		_ = x.Respond(&Response{
			Status: 200, BodyBytes: length, Outcome: model.Late,
			Header: httpheader.List{{Name: "Set-Cookie", Value: "a=1"}, {Name: "Set-Cookie", Value: "b=2"}, {Name: "Date", Value: "Thu, 01 Jan 1970 00:00:00 GMT"}, {Name: "X-Outcome", Value: "forged"}},
			Body:   io.LimitReader(strings.NewReader(strings.Repeat("y", size)), size),
		})
	})
	c := dial(t, address)
	for _, path := range []string{"/", "/chunked", "/"} {
		c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, body, err := c.readResponse("GET")
		require.NoError(t, err)
		require.Len(t, body, size)
		require.Equal(t, []string{"late"}, resp.Header.Values("X-Outcome"))
		require.Len(t, resp.Header.Values("Set-Cookie"), 2)
		require.Len(t, resp.Header.Values("Date"), 1)
	}
	c.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, body, err := c.readResponse("HEAD")
	require.NoError(t, err)
	require.Empty(t, body)
	require.EqualValues(t, size, resp.ContentLength)
}

func TestMissingResponseClosesConnection(t *testing.T) {
	_, address := startServer(t, Settings{}, func(context.Context, *Exchange) {})
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := c.br.ReadByte()
	require.Error(t, err)
}

func TestRefusalStatus(t *testing.T) {
	for cause, want := range map[model.Cause]int{
		model.CauseOverload: 503, model.CauseShiftCap: 503, model.CauseQueueFull: 429, model.CauseNoRoute: 404,
		model.CauseInvalidRequest: 400, model.CauseDigestMismatch: 422, model.CauseInProgress: 409, model.CauseDeadline: 504,
	} {
		require.Equal(t, want, refusalStatus(model.NotRun, cause), cause)
	}
	require.Equal(t, 504, refusalStatus(model.Unknown, model.CauseTimeout))
	require.Equal(t, 502, refusalStatus(model.Unknown, model.CauseConnectionBroken))
	require.EqualValues(t, 2, ceilSeconds(1001*time.Millisecond))
}
