package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// peakMemory returns the most memory that a process has used, in bytes.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	line := regexp.MustCompile(`VmHWM:\s*(\d+) kB`).FindSubmatch(text)
	require.Len(t, line, 2)
	kB, err := strconv.Atoi(string(line[1]))
	require.NoError(t, err)
	return kB << 10
}

// TestSlowCallersCostBoundedMemory guards against an instance that runs out of memory, and with
// it the requests of other callers, because many callers send bodies slowly.
func TestSlowCallersCostBoundedMemory(t *testing.T) {
	const (
		uploads     = 4000
		uploadBytes = 64 << 10
	)
	f := startFleet(t)
	process, i := f.startProcess(buildEntry(t), "entry-3", "north-a", func(*exec.Cmd) {})
	require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
	body := strings.Repeat("x", uploadBytes-1) // a byte is missing
	for k := range uploads {
		c, err := net.Dial("tcp", f.callers[i])
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
		_, err = fmt.Fprintf(c, "PUT /files/%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", k, uploadBytes)
		require.NoError(t, err)
		_, _ = io.WriteString(c, body) // a refusal closes the connection
	}
	peak := peakMemory(t, process.Process.Pid)
	t.Logf("peak of %d MB", peak>>20)
	require.Less(t, peak, processMemory)
	require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/shop/shirts", nil).status)
}
