package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/internal/signals"
)

// stopOutcome is how a request that was sent during a stop ended.
type stopOutcome struct {
	id      string
	status  int // 0 if there was no complete answer
	outcome string
	cause   string
	err     error
}

// sendUntilGone sends once-only requests for path to the instance at address until it no
// longer accepts connections.
func sendUntilGone(ctx context.Context, address, path string, caller int) []stopOutcome {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var all []stopOutcome
	for i := 0; ctx.Err() == nil; i++ {
		o := stopOutcome{id: fmt.Sprintf("stop-%d-%d", caller, i)}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader("x")))
		if err != nil {
			o.err = err
			return append(all, o)
		}
		req.ContentLength = 1
		req.Header.Set("X-Request-Id", o.id)
		req.Header.Set("Idempotency-Key", o.id)
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			return all
		}
		o.err = err
		if err == nil {
			o.status, o.outcome, o.cause = resp.StatusCode, resp.Header.Get("X-Outcome"), resp.Header.Get("X-Cause")
		}
		all = append(all, o)
	}
	return all
}

func (f *fleet) runsOf(id string) int {
	runs := 0
	for _, server := range f.servers {
		runs += server.Runs().RequestIDs[id]
	}
	return runs
}

// TestPlannedStopUnderLoadCutsNothing stops an instance while callers keep sending to it:
// whatever a backend server has run is answered, and nothing that was told not-run has run.
func TestPlannedStopUnderLoadCutsNothing(t *testing.T) {
	for name, path := range map[string]string{
		"short runs": "/orders",
		"long runs":  "/orders/slow", // something is in flight all the time
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testPlannedStopUnderLoad(t, path)
		})
	}
}

func testPlannedStopUnderLoad(t *testing.T, path string) {
	const callers = 12
	f := startFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	results := make([][]stopOutcome, callers)
	var sending sync.WaitGroup
	for i := range callers {
		sending.Go(func() { results[i] = sendUntilGone(ctx, f.callers[0], path, i) })
	}
	time.Sleep(300 * time.Millisecond)
	f.stop[0]()
	require.NoError(t, <-f.ended[0])
	sending.Wait()
	require.NoError(t, ctx.Err(), "callers found the instance gone")
	for _, outcomes := range results {
		for _, o := range outcomes {
			switch {
			case o.outcome == "served" || o.outcome == "late":
			case o.outcome == "not-run" || o.err != nil:
				require.Zero(t, f.runsOf(o.id), "%+v", o)
			default:
				require.Fail(t, "given up at a planned stop", "%+v, runs %d", o, f.runsOf(o.id))
			}
		}
	}
}

// TestPlannedStopFinishesUploads stops both instances while an upload through each of them
// is under way.
func TestPlannedStopFinishesUploads(t *testing.T) {
	const uploadBytes = 2 << 20
	f := startFleet(t)
	var uploading sync.WaitGroup
	answers := make([]answer, len(f.callers))
	writers := make([]*io.PipeWriter, len(f.callers))
	for i := range f.callers {
		body, writer := io.Pipe()
		writers[i] = writer
		uploading.Go(func() {
			answers[i] = f.send(i, http.MethodPut, "/files/x", body, "X-Request-Id", fmt.Sprint("upload-", i))
		})
		_, err := writer.Write(make([]byte, uploadBytes/2))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return f.runsOf(fmt.Sprint("upload-", i)) == 1 }, waitTimeout, 20*time.Millisecond)
	}
	for _, stop := range f.stop {
		stop()
	}
	time.Sleep(2 * time.Second) // lookups that named the instances have long expired
	for _, writer := range writers {
		_, err := writer.Write(make([]byte, uploadBytes/2))
		require.NoError(t, err)
		require.NoError(t, writer.Close())
	}
	uploading.Wait()
	for i, a := range answers {
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
		require.Equal(t, 1, f.runsOf(fmt.Sprint("upload-", i)))
		require.NoError(t, <-f.ended[i])
	}
}

// TestPlannedStopWithHalfReadRequests stops an instance while requests are in every stage of
// being read: each is answered, or ends without having run.
func TestPlannedStopWithHalfReadRequests(t *testing.T) {
	const (
		head = "POST /orders HTTP/1.1\r\nHost: shop\r\nX-Request-Id: %s\r\nIdempotency-Key: %s\r\n"
		rest = "Content-Length: 10\r\n\r\n"
	)
	f := startFleet(t)
	var finishing sync.WaitGroup
	var mu sync.Mutex
	var outcomes []stopOutcome
	for name, halves := range map[string][2]string{
		"nothing": {"", head + rest + "0123456789"},
		"header":  {head, rest + "0123456789"},
		"body":    {head + rest + "01234", "56789"},
	} {
		for _, after := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond} {
			id := fmt.Sprint(name, "-", after)
			fill := func(text string) string { return strings.ReplaceAll(text, "%s", id) }
			c, err := net.Dial("tcp", f.callers[0])
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, fill(halves[0]))
			require.NoError(t, err)
			finishing.Go(func() {
				o := finishRequest(c, fill(halves[1]), 100*time.Millisecond+after)
				o.id = id
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	f.stop[0]()
	finishing.Wait()
	require.NoError(t, <-f.ended[0])
	for _, o := range outcomes {
		if strings.HasSuffix(o.id, "-0s") || strings.HasSuffix(o.id, "-100ms") {
			require.Equal(t, http.StatusOK, o.status, "%+v", o)
		}
		if o.status != http.StatusOK {
			require.Zero(t, f.runsOf(o.id), "%+v", o)
		}
	}
}

// finishRequest sends the rest of a request after a delay and reads the answer.
func finishRequest(c net.Conn, rest string, after time.Duration) stopOutcome {
	time.Sleep(after)
	if _, err := io.WriteString(c, rest); err != nil {
		return stopOutcome{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return stopOutcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return stopOutcome{err: err}
	}
	return stopOutcome{status: resp.StatusCode, outcome: resp.Header.Get("X-Outcome"), cause: resp.Header.Get("X-Cause")}
}

// settingsVariable names the settings file of an instance that the test's own binary runs.
const settingsVariable = "PRIMROSENOTCH_TEST_SETTINGS"

// TestMain runs an instance instead of the tests if settingsVariable is set.
func TestMain(m *testing.M) {
	name := os.Getenv(settingsVariable)
	if name == "" {
		os.Exit(m.Run())
	}
	s, err := settings.Load(name)
	if err == nil {
		err = Run(s, signals.Receive())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// TestSecondSIGTERMWhilePlatformIsDown signals a process several times while a read runs and
// the platform is down: the read is answered and the process ends by itself.
func TestSecondSIGTERMWhilePlatformIsDown(t *testing.T) {
	f := startFleet(t)
	i := len(f.callers)
	callers, links, controls := freeAddress(t), freeAddress(t), freeAddress(t)
	name := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[instance]\nid = entry-3\nzone = north-a\n[listen]\ncallers = %s\nlinks = %s\ncontrol = %s\n"+
		"[advertise]\ncallers = %s\nlinks = %s\ncontrol = %s\n[platform]\naddress = %s\npoll every = 100ms\n[serving]\nlookup ttl = 200ms\n[log]\nlevel = error\n",
		callers, links, controls, callers, links, controls, f.store)
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), settingsVariable+"="+name)
	process.Stdout, process.Stderr = os.Stderr, os.Stderr
	require.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	client := control.NewClient(time.Second)
	defer client.Close()
	require.Eventually(t, func() bool {
		status, err := client.Status(t.Context(), controls)
		return err == nil && status.State == "ready"
	}, waitTimeout, 50*time.Millisecond)
	f.callers = append(f.callers, callers)
	got := make(chan answer, 1)
	go func() { got <- f.send(i, http.MethodGet, "/shop/slow", nil, "X-Request-Id", "twice") }()
	require.Eventually(t, func() bool { return f.runsOf("twice") == 1 }, waitTimeout, 20*time.Millisecond)
	require.NoError(t, f.platform.Close())
	for _, sig := range []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT} {
		require.NoError(t, process.Process.Signal(sig))
		time.Sleep(100 * time.Millisecond)
	}
	a := <-got
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
	require.NoError(t, process.Wait())
	require.Equal(t, 1, f.runsOf("twice"))
}
