package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// The tests in this file show the behaviour of net/http's and fasthttp's clients that this
// package must avoid. See docs/design/http.md.

// closeOnSecondRequest responds to the first request of the first connection and closes
// that connection on the second request. On later connections it responds to every
// request.
func closeOnSecondRequest(s *scriptedServer, n int64, c net.Conn, br *bufio.Reader) {
	for i := 0; ; i++ {
		if _, err := s.readHead(br); err != nil || (n == 1 && i == 1) {
			return
		}
		_, _ = io.WriteString(c, okResponse)
	}
}

func TestNetHTTPTransportRetriesRequests(t *testing.T) {
	s := startServer(t, closeOnSecondRequest)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.addr.String(), bytes.NewReader(nil))
		require.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.Do(req)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	require.EqualValues(t, 3, s.requests.Load(), "two requests were sent three times")
}

func TestHostClientRetriesByDefault(t *testing.T) {
	s := startServer(t, closeOnSecondRequest)
	client := &fasthttp.HostClient{Addr: s.addr.String()}
	defer client.CloseIdleConnections()
	for range 2 {
		status, _, err := client.Get(nil, "http://"+s.addr.String())
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	require.EqualValues(t, 3, s.requests.Load(), "two requests were sent three times")

	noRetry := startServer(t, closeOnSecondRequest)
	client = &fasthttp.HostClient{
		Addr:                      noRetry.addr.String(),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer client.CloseIdleConnections()
	_, _, err := client.Get(nil, "http://"+noRetry.addr.String())
	require.NoError(t, err)
	_, _, err = client.Get(nil, "http://"+noRetry.addr.String())
	require.Error(t, err)
	require.EqualValues(t, 2, noRetry.requests.Load())
}

func TestHostClientClosesAfterTimeout(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(s *scriptedServer, n int64, c net.Conn, br *bufio.Reader) {
		if _, err := s.readHead(br); err != nil {
			return
		}
		if n == 1 {
			<-release
		}
		_, _ = io.WriteString(c, okResponse)
		_, _ = br.ReadByte()
	})
	client := &fasthttp.HostClient{Addr: s.addr.String()}
	defer client.CloseIdleConnections()
	_, _, err := client.GetTimeout(nil, "http://"+s.addr.String(), 50*time.Millisecond)
	close(release)
	require.ErrorIs(t, err, fasthttp.ErrTimeout)
	_, _, err = client.Get(nil, "http://"+s.addr.String())
	require.NoError(t, err)
	require.EqualValues(t, 2, s.accepted.Load(), "the second request must use a new connection")
}

// HostClient ends a streamed response without a length with io.EOF when its connection
// breaks, so that a truncated response looks complete. Its errors for a refused and for a
// broken connection differ only in their text.
func TestHostClientTreatsBreakAsEOF(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
		if _, err := s.readHead(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
		}
	})
	client := &fasthttp.HostClient{Addr: s.addr.String(), StreamResponseBody: true}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.addr.String())
	require.NoError(t, client.Do(req, resp))
	body, err := io.ReadAll(resp.BodyStream())
	require.NoError(t, err)
	require.Equal(t, "abc", string(body))
}

// fasthttp replaces errors of the connection before the first byte of a response: a
// timeout by an error of its own, any other error by io.EOF.
func TestResponseReadHidesErrors(t *testing.T) {
	var resp fasthttp.Response
	failing := iotest.ErrReader(errors.New("reset by peer"))
	require.Equal(t, io.EOF, resp.ReadLimitBody(bufio.NewReader(failing), 0))

	failing = iotest.ErrReader(os.ErrDeadlineExceeded)
	err := resp.ReadLimitBody(bufio.NewReader(failing), 0)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NotErrorIs(t, err, io.EOF)
}
