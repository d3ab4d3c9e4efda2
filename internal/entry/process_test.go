package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
)

// buildEntry builds primrosenotch-entry and returns the name of its file.
func buildEntry(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "primrosenotch-entry")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/primrosenotch-entry").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// processMemory is the memory in bytes that an instance's process is told to use.
const processMemory = 284 << 20

// startProcess starts an instance of the fleet as a process of its own and returns the process
// and the instance's index.
func (f *fleet) startProcess(binary, id, zone string, setOutput func(*exec.Cmd)) (*exec.Cmd, int) {
	f.t.Helper()
	callers, links, controlAddr := freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	process := f.startProcessAt(binary, id, zone, callers, links, controlAddr, setOutput)
	f.callers = append(f.callers, callers)
	f.links = append(f.links, links)
	f.controls = append(f.controls, controlAddr)
	return process, len(f.callers) - 1
}

func (f *fleet) startProcessAt(binary, id, zone, callers, links, controlAddr string, setOutput func(*exec.Cmd)) *exec.Cmd {
	f.t.Helper()
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nmemory mb = %d\n[listen]\ncallers = %s\nlinks = %s\ncontrol = %s\n"+
		"[platform]\naddress = %s\npoll every = 100ms\n[serving]\nlookup ttl = 200ms\n", id, zone, processMemory>>20, callers, links, controlAddr, f.store)
	file := filepath.Join(f.t.TempDir(), id+".ini")
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	process := exec.Command(binary, "--settings", file)
	setOutput(process)
	require.NoError(f.t, process.Start())
	f.t.Cleanup(func() {
		_ = process.Process.Kill() // the process may have ended already
		_ = process.Wait()
	})
	return process
}

func (f *fleet) isReady(i int) bool {
	client := control.NewClient(time.Second)
	defer client.Close()
	status, err := client.Status(f.t.Context(), f.controls[i])
	return err == nil && status.State == "ready"
}

// pipe returns a pipe that is closed at the end of the test.
func pipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = reader.Close() // a test may have closed it
		_ = writer.Close()
	})
	return reader, writer
}

// fullPipe returns the writing end of a pipe that nobody reads and that has no room.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	const setPipeSize = 1031 // F_SETPIPE_SZ
	_, writer := pipe(t)
	size, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, uintptr(os.Getpagesize()))
	require.Zero(t, errno)
	_, err := writer.Write(bytes.Repeat([]byte("x"), int(size)))
	require.NoError(t, err)
	return writer
}

// TestLossOfLogOutputEndsNoRequest guards against processes that end, or stand still, because
// their log cannot be written or their terminal is closed, and cut the requests that they serve.
func TestLossOfLogOutputEndsNoRequest(t *testing.T) {
	binary := buildEntry(t)
	to := func(file *os.File) func(*exec.Cmd) {
		return func(c *exec.Cmd) { c.Stdout, c.Stderr = file, file }
	}
	throughShell := func(command string) func(*exec.Cmd) {
		return func(c *exec.Cmd) {
			c.Args = append([]string{"sh", "-c", command + `; exec "$0" "$@"`, c.Path}, c.Args[1:]...)
			c.Path = "/bin/sh"
		}
	}
	reader, readerEnds := pipe(t)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	noReader, withoutReader := pipe(t)
	require.NoError(t, noReader.Close())
	for _, test := range []struct {
		name      string
		setOutput func(*exec.Cmd)
		change    func(*exec.Cmd) // while a request runs
	}{
		{"reader ends", to(readerEnds), func(*exec.Cmd) { _ = reader.Close() }},
		{"no reader from the start", to(withoutReader), func(*exec.Cmd) {}},
		{"not read", to(fullPipe(t)), func(*exec.Cmd) {}},
		{"full device", throughShell("exec >/dev/full 2>&1"), func(*exec.Cmd) {}},
		{"closed", throughShell("exec >&- 2>&-"), func(*exec.Cmd) {}},
		{"hangup", func(*exec.Cmd) {}, func(c *exec.Cmd) { _ = c.Process.Signal(syscall.SIGHUP) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			process, i := f.startProcess(binary, "entry-3", "north-a", test.setOutput)
			require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
			running := make(chan answer, 1)
			go func() { running <- f.send(i, http.MethodGet, slowPath, nil, "X-Deadline-Ms", "15000") }()
			time.Sleep(slowRunTime / 3)
			test.change(process)
			_, err := f.configurationStore().Apply(t.Context(), confstore.Change{ // logged by each instance
				Base: 1, Source: []byte(f.text + "# changed\n"), Author: "test", Reason: "change", OperationID: "change",
			})
			require.NoError(t, err)
			a := <-running
			require.NoError(t, a.err, "request that was running")
			require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
			a = f.send(i, http.MethodGet, "/shop/shirts", nil)
			require.NoError(t, a.err, "request afterwards")
			require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
			require.NoError(t, process.Process.Signal(syscall.SIGTERM))
			require.NoError(t, process.Wait())
		})
	}
}

// TestFailedStartEndsThoughItsErrorIsNotRead guards against processes that neither serve nor end, so
// that nothing starts them again.
func TestFailedStartEndsThoughItsErrorIsNotRead(t *testing.T) {
	const exitSettings = 2
	for _, name := range []string{"primrosenotch-entry", "primrosenotch-edge"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary := filepath.Join(t.TempDir(), name)
			out, err := exec.Command("go", "build", "-o", binary, "../../cmd/"+name).CombinedOutput()
			require.NoError(t, err, string(out))
			process := exec.Command(binary, "--settings", filepath.Join(t.TempDir(), "missing.ini"))
			process.Stderr = fullPipe(t)
			require.NoError(t, process.Start())
			ended := make(chan error, 1)
			go func() { ended <- process.Wait() }()
			select {
			case <-ended:
				require.Equal(t, exitSettings, process.ProcessState.ExitCode())
			case <-time.After(5 * time.Second):
				_ = process.Process.Kill() // it has not ended
				require.Fail(t, "the process stands still")
			}
		})
	}
}
