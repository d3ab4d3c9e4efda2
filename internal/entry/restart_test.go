package entry

import (
	"context"
	"errors"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStartBeforeThePredecessorHasEnded guards against an instance that is not there after a restart:
// a process whose addresses were still in use ended at once.
func TestStartBeforeThePredecessorHasEnded(t *testing.T) {
	const callers = 6
	f := startFleet(t)
	binary := buildEntry(t)
	silent := func(*exec.Cmd) {}
	addresses := [...]string{freeAddress(t), freeAddress(t), freeAddress(t)}
	start := func() *exec.Cmd {
		return f.startProcessAt(binary, "entry-3", "north-a", addresses[0], addresses[1], addresses[2], silent)
	}
	f.callers, f.controls = append(f.callers, addresses[0]), append(f.controls, addresses[2])
	i := len(f.callers) - 1
	ready := func() bool { return f.isReady(i) }
	old := start()
	require.Eventually(t, ready, waitTimeout, 50*time.Millisecond)
	next := start()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var sending sync.WaitGroup
	results := make([][]stopOutcome, callers)
	for k := range callers {
		sending.Go(func() { results[k] = sendUntilGone(ctx, f.callers[i], "/orders", k) })
	}
	time.Sleep(time.Second)
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	require.Eventually(t, ready, waitTimeout, 50*time.Millisecond)
	cancel()
	sending.Wait()
	for _, outcomes := range results {
		for _, o := range outcomes {
			switch {
			case o.outcome == "served" || o.outcome == "late":
			case errors.Is(o.err, context.Canceled): // by the test
			case o.outcome == "not-run" || o.err != nil:
				require.Zero(t, f.runsOf(o.id), "%+v", o)
			default:
				require.Fail(t, "given up at a planned stop", "%+v, runs %d", o, f.runsOf(o.id))
			}
		}
	}
	require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/shop/after", nil).status)

	third := start()
	time.Sleep(500 * time.Millisecond)
	signalled := time.Now()
	require.NoError(t, third.Process.Signal(syscall.SIGTERM))
	require.NoError(t, third.Wait(), "a process that waits for its addresses")
	require.Less(t, time.Since(signalled), time.Second)
	require.Equal(t, http.StatusOK, f.send(i, http.MethodGet, "/shop/beside", nil).status)
	require.NoError(t, next.Process.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait())
}
