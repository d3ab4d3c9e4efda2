package control

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestClientRejectsInvalidFieldNames guards against a status that passes for an instance's although
// the answer's header is invalid.
func TestClientRejectsInvalidFieldNames(t *testing.T) {
	for _, line := range []string{"Bad Name: v", "Bad : v", "Content-Length : 1", " Bad: v", "Bad\t: v", "Bad\x00Name: v", "Bad\x7f: v", ": v", "Bad"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Read(make([]byte, 4096))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n{}", line)
		}()
		_, err = newTestClient(t).Status(t.Context(), listener.Addr().String())
		var failed *CallError
		require.ErrorAs(t, err, &failed, "%q", line)
		var status *StatusError
		require.NotErrorAs(t, err, &status, "%q", line)
	}
}
