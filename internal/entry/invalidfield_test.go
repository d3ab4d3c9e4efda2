package entry

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var invalidFieldPath = regexp.MustCompile(`^(?:GET /shop|POST /orders)/invalid-(\d+) `)

// invalidFields are header lines whose names are not valid.
var invalidFields = []string{
	"Bad Name: v", "Bad : v", " Bad: v", "\tBad: v", "Bad\t: v", "Bad\x00Name: v", "Bad\rName: v", "Bad\x7fName: v", ": v", "Bad",
	"Content-Length : 1", "Transfer-Encoding : chunked", "Connection : close", "X-Request-Id : x", "X-Not-Run : true",
}

// TestAnswersWithAnInvalidFieldNameAreNotPassedOn guards against an answer with an invalid field name
// that its caller gets, with that line or with another body, or that passes for a refusal.
func TestAnswersWithAnInvalidFieldNameAreNotPassedOn(t *testing.T) {
	f := startFleetVia(t, func(address string) string {
		return relay(t, address, func(caller net.Conn, request []byte) bool {
			match := invalidFieldPath.FindSubmatch(request)
			if match == nil {
				return false
			}
			i, err := strconv.Atoi(string(match[1]))
			if err != nil {
				return false
			}
			_, _ = fmt.Fprintf(caller, "HTTP/1.1 200 OK\r\nX-Backend: b\r\nX-Outcome: served\r\n%s\r\nContent-Length: 3\r\n\r\nodd", invalidFields[i])
			return true
		})
	})
	for i, line := range invalidFields {
		for entry := range f.callers {
			for _, a := range []answer{
				f.send(entry, http.MethodGet, fmt.Sprint("/shop/invalid-", i), nil),
				f.send(entry, http.MethodPost, fmt.Sprint("/orders/invalid-", i), strings.NewReader("a"), "Idempotency-Key", fmt.Sprint(i, "-", entry)),
			} {
				require.NoError(t, a.err, line)
				require.Equal(t, http.StatusBadGateway, a.status, "%q: %s", line, a.header.Get("X-Cause"))
				require.Equal(t, "unknown", a.header.Get("X-Outcome"), line)
				require.Empty(t, a.header.Get("X-Backend"), line)
				require.Empty(t, a.header.Get("Bad"), line)
				require.NotContains(t, string(a.body), "odd", line)
			}
			for range 3 { // so that no server is ejected
				require.Equal(t, http.StatusOK, f.send(entry, http.MethodGet, "/shop/shirts", nil).status)
			}
		}
	}
}
