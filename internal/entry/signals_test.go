package entry

import (
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSignalsEndNoRequest guards against processes that end at once, stand still or never stop
// because of a signal that a supervisor or terminal sends or that they inherit as ignored.
func TestSignalsEndNoRequest(t *testing.T) {
	binary := buildEntry(t)
	inBackgroundGroup := func(c *exec.Cmd) { c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
	ignoring := func(c *exec.Cmd) {
		c.Args = append([]string{"sh", "-c", `trap "" HUP TERM INT QUIT; exec "$0" "$@"`, c.Path}, c.Args[1:]...)
		c.Path = "/bin/sh"
	}
	for _, test := range []struct {
		name    string
		start   func(*exec.Cmd)
		signals []syscall.Signal // while a request runs
		stop    syscall.Signal
	}{
		{"SIGQUIT", func(*exec.Cmd) {}, nil, syscall.SIGQUIT},
		{"terminal in the background", inBackgroundGroup, []syscall.Signal{syscall.SIGTTOU, syscall.SIGTTIN}, syscall.SIGTERM},
		{"signals without a meaning", func(*exec.Cmd) {}, []syscall.Signal{
			syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGWINCH, syscall.SIGPIPE, syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGCONT,
		}, syscall.SIGTERM},
		{"inherited as ignored", ignoring, []syscall.Signal{syscall.SIGHUP}, syscall.SIGTERM},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			process, i := f.startProcess(binary, "entry-3", "north-a", test.start)
			require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
			running := make(chan answer, 1)
			go func() { running <- f.send(i, http.MethodGet, slowPath, nil, "X-Deadline-Ms", "15000") }()
			time.Sleep(slowRunTime / 3)
			for _, sig := range append(test.signals, test.stop) {
				require.NoError(t, process.Process.Signal(sig))
				time.Sleep(20 * time.Millisecond)
			}
			a := <-running
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
			require.NoError(t, process.Wait())
		})
	}
}
