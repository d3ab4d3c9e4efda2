package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/control"
)

// exhaustedListener fails to accept while left is positive, as in a process that has no
// file descriptor left.
type exhaustedListener struct {
	net.Listener
	left atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func exhausted(l net.Listener) *exhaustedListener {
	e := &exhaustedListener{Listener: l}
	e.left.Store(3)
	return e
}

// TestInstanceSurvivesLackOfFileDescriptors has the accepts of each of an instance's
// listeners fail: it keeps running, serves callers afterwards and stops in an orderly way.
func TestInstanceSurvivesLackOfFileDescriptors(t *testing.T) {
	f := startFleet(t)
	i := f.newInstance("entry-3", "north-a", f.store)
	f.run(i, func(ctx context.Context) error {
		l, err := listen(ctx, i.settings, i.log)
		if err != nil {
			return err
		}
		return i.serve(ctx, listeners{callers: exhausted(l.callers), links: exhausted(l.links), control: exhausted(l.control)})
	})
	client := control.NewClient(time.Second)
	defer client.Close()
	require.Eventually(t, func() bool {
		status, err := client.Status(t.Context(), f.controls[2])
		return err == nil && status.State == "ready"
	}, waitTimeout, 50*time.Millisecond)
	require.Equal(t, http.StatusOK, f.send(2, http.MethodGet, "/shop/shirts", nil).status)
	select {
	case err := <-f.ended[2]:
		require.Fail(t, "the instance ended by itself", "%v", err)
	default:
	}
	f.stop[2]()
	require.NoError(t, <-f.ended[2])
}
