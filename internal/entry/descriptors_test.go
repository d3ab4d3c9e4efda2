package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleConnectionsToOtherPortsEndNoService guards against an instance whose file descriptors
// are used up by connections that send nothing, or half a head, to its ports for operators and
// links.
func TestIdleConnectionsToOtherPortsEndNoService(t *testing.T) {
	const connections = 600
	f := startFleet(t)
	_, i := f.startProcess(buildEntry(t), "entry-3", "north-a", func(c *exec.Cmd) {
		c.Args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, connections), c.Path}, c.Args[1:]...)
		c.Path = "/bin/sh"
	})
	require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
	for _, address := range []string{f.controls[i], f.links[i]} {
		for k := range connections {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				break // the accept queue is full
			}
			defer func() { _ = c.Close() }()
			if k%2 == 0 {
				_, _ = io.WriteString(c, "GET /") // the instance may have closed the connection
			}
		}
		a := f.send(i, http.MethodGet, "/shop/shirts", nil)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
		require.True(t, f.isReady(i))
	}
}
