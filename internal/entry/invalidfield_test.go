package entry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var invalidFieldPath = regexp.MustCompile(`^(?:GET /shop|HEAD /shop|POST /orders)/invalid-(\d+)-(\d+) `)

// invalidFields are header lines whose names are not valid.
var invalidFields = []string{
	"Bad Name: v", "Bad : v", " Bad: v", "\tBad: v", "Bad\t: v", "Bad\x00Name: v", "Bad\rName: v", "Bad\x7fName: v", ": v", "Bad",
	"Content-Length : 1", "Transfer-Encoding : chunked", "Connection : close", "X-Request-Id : x", "X-Not-Run : true",
}

// framings are ways to frame the body "odd", beginning with a header line.
var framings = []string{
	"Content-Length: 3\r\n\r\nodd", "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n", "Connection: close\r\n\r\nodd",
}

// sendInvalidField answers a request for invalid-LINE-FRAMING in two pieces and waits until the
// instance closes the connection. It returns false for any other request. It counts the requests that
// arrive on the connection afterwards in reused.
func sendInvalidField(caller net.Conn, request []byte, reused *atomic.Int64) bool {
	match := invalidFieldPath.FindSubmatch(request)
	if match == nil {
		return false
	}
	line, _ := strconv.Atoi(string(match[1]))
	framing, _ := strconv.Atoi(string(match[2]))
	first := "HTTP/1.1 200 OK\r\nX-Backend: b\r\nX-Outcome: served\r\n" + invalidFields[line][:1]
	_, _ = io.WriteString(caller, first)
	time.Sleep(time.Millisecond) // so that the pieces are read one by one
	_, _ = io.WriteString(caller, invalidFields[line][1:]+"\r\n"+framings[framing])
	_ = caller.SetReadDeadline(time.Now().Add(time.Second))
	rest, _ := io.ReadAll(caller) // what is left of the request's body, until the connection is closed
	reused.Add(int64(bytes.Count(rest, []byte("HTTP/1.1"))))
	return true
}

// TestAnswersWithAnInvalidFieldNameAreNotPassedOn guards against an answer with an invalid field name
// that its caller gets, with that line or with another body, or that passes for a refusal.
func TestAnswersWithAnInvalidFieldNameAreNotPassedOn(t *testing.T) {
	var reused atomic.Int64
	f := startFleetVia(t, func(address string) string {
		return relay(t, address, func(caller net.Conn, request []byte) bool { return sendInvalidField(caller, request, &reused) })
	})
	for i, line := range invalidFields {
		for framing := range framings {
			entry := (i + framing) % len(f.callers)
			path := fmt.Sprintf("/invalid-%d-%d", i, framing)
			for _, a := range []answer{
				f.send(entry, http.MethodGet, "/shop"+path, nil),
				f.send(entry, http.MethodHead, "/shop"+path, nil),
				f.send(entry, http.MethodPost, "/orders"+path, strings.NewReader("a"), "Idempotency-Key", path),
				f.send(entry, http.MethodPost, "/orders"+path, bytes.NewReader(make([]byte, 32<<10)), "Idempotency-Key", "large"+path),
			} {
				name := fmt.Sprintf("%q, %q", line, framings[framing])
				require.NoError(t, a.err, name)
				require.Equal(t, http.StatusBadGateway, a.status, "%s: %s", name, a.header.Get("X-Cause"))
				require.Equal(t, "unknown", a.header.Get("X-Outcome"), name)
				require.Empty(t, a.header.Get("X-Backend"), name)
				require.Empty(t, a.header.Get("Bad"), name)
				require.NotContains(t, string(a.body), "odd", name)
			}
			for range 3 { // so that no server is ejected
				require.Equal(t, http.StatusOK, f.send(entry, http.MethodGet, "/shop/shirts", nil).status)
			}
		}
	}
	require.Zero(t, reused.Load(), "the connection of an invalid answer is closed")
}
