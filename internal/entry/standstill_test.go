package entry

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStandstillOfStopCutsNothing guards against a stop that breaks off requests whose answers
// have arrived, because the process did not run at the time at which it aborts.
func TestStandstillOfStopCutsNothing(t *testing.T) {
	const orders = 4 // the slots of one backend server
	binary := buildEntry(t)
	for _, test := range []struct {
		name         string
		drain        time.Duration
		after, pause time.Duration // from SIGTERM on
	}{
		{"over the end", 2 * time.Second, 1300 * time.Millisecond, time.Second},
		{"long", 3 * time.Second, time.Second, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			process, i := f.startProcess(binary, "entry-3", "north-a", func(c *exec.Cmd) {
				file, err := os.OpenFile(c.Args[2], os.O_APPEND|os.O_WRONLY, 0)
				require.NoError(t, err)
				_, err = fmt.Fprintf(file, "drain = %s\n", test.drain)
				require.NoError(t, err)
				require.NoError(t, file.Close())
			})
			require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
			answers := make([]answer, orders)
			var sending sync.WaitGroup
			for k := range orders {
				sending.Go(func() {
					id := fmt.Sprint("standstill-", k)
					answers[k] = f.send(i, http.MethodPost, "/orders/slow", strings.NewReader("x"), "X-Request-Id", id, "Idempotency-Key", id)
				})
			}
			require.Eventually(t, func() bool {
				ran := 0
				for k := range orders {
					ran += f.runsOf(fmt.Sprint("standstill-", k))
				}
				return ran == orders
			}, waitTimeout, 5*time.Millisecond)
			require.NoError(t, process.Process.Signal(syscall.SIGTERM))
			time.Sleep(test.after)
			require.NoError(t, process.Process.Signal(syscall.SIGSTOP))
			time.Sleep(test.pause)
			require.NoError(t, process.Process.Signal(syscall.SIGCONT))
			sending.Wait()
			require.NoError(t, process.Wait())
			for k, a := range answers {
				require.NoError(t, a.err, "order %d", k)
				require.Equal(t, http.StatusOK, a.status, "order %d: %s", k, a.header.Get("X-Cause"))
			}
		})
	}
}
