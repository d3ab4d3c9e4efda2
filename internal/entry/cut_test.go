package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutAnswer is the answer of a server that stops in the middle of it.
const cutAnswer = "HTTP/1.1 200 OK\r\nX-Backend: b\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nthe whole it"

// maxCutAnswerTime is the time in which the caller of a request whose answer was cut has to be
// told, well below its deadline.
const maxCutAnswerTime = 2 * time.Second

var cutPath = regexp.MustCompile(`GET /shop/cut-(\d+) `)

// cuttingRelay relays connections to a server, but answers requests for /shop/cut-N itself with
// the first N bytes of cutAnswer, and closes.
func cuttingRelay(t testing.TB, address string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			go relayOrCut(caller, address)
		}
	}()
	return l.Addr().String()
}

func relayOrCut(caller net.Conn, address string) {
	defer func() { _ = caller.Close() }()
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(caller, server) // ends with either connection
		_ = caller.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := caller.Read(buffer)
		if err != nil {
			return
		}
		if match := cutPath.FindSubmatch(buffer[:n]); match != nil {
			bytes, _ := strconv.Atoi(string(match[1])) // digits only
			_, _ = io.WriteString(caller, cutAnswer[:bytes])
			return
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestAnswerCutAtEachByteIsNeverWhole has a server stop in the middle of its answer's head or
// body and close: no caller may get an answer that looks complete, or wait for one.
func TestAnswerCutAtEachByteIsNeverWhole(t *testing.T) {
	f := startFleetVia(t, func(address string) string { return cuttingRelay(t, address) })
	for cut := range len(cutAnswer) {
		began := time.Now()
		a := f.send(cut%len(f.callers), http.MethodGet, fmt.Sprint("/shop/cut-", cut), nil, "X-Request-Id", fmt.Sprint("cut-", cut))
		require.Less(t, time.Since(began), maxCutAnswerTime, "cut after %d bytes", cut)
		if a.err == nil {
			require.NotEqual(t, http.StatusOK, a.status, "cut after %d bytes: %q", cut, a.body)
			require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, a.status, "cut after %d bytes: it may have run", cut)
		}
		require.Equal(t, http.StatusOK, f.send(cut%len(f.callers), http.MethodGet, "/shop/shirts", nil, "X-Request-Id", fmt.Sprint("sound-", cut)).status)
	}
}
