package listener

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// failing is a net.Listener whose first accepts fail.
type failing struct {
	net.Listener
	errno syscall.Errno
	left  atomic.Int32 // accepts that still fail
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: f.Addr(), Err: os.NewSyscallError("accept4", f.errno)}
	}
	return f.Listener.Accept()
}

func newFailing(t *testing.T, errno syscall.Errno, times int32) *failing {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &failing{Listener: l, errno: errno}
	f.left.Store(times)
	return f
}

func retry(l net.Listener) (*Retrying, *prometheus.CounterVec, *logtest.Hook) {
	failures := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "failures"}, []string{"listener"})
	log, hook := logtest.NewNullLogger()
	return Retry(l, "callers", logrus.NewEntry(log), failures), failures, hook
}

func counted(t *testing.T, failures *prometheus.CounterVec) float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(failures)
	families, err := registry.Gather()
	require.NoError(t, err)
	return families[0].GetMetric()[0].GetCounter().GetValue()
}

func TestTemporaryAcceptErrorsAreRetried(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS} {
		t.Run(errno.Error(), func(t *testing.T) {
			r, failures, hook := retry(newFailing(t, errno, 3))
			client, err := net.Dial("tcp", r.Addr().String())
			require.NoError(t, err)
			defer func() { _ = client.Close() }()
			c, err := r.Accept()
			require.NoError(t, err)
			require.NoError(t, c.Close())
			_, err = client.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.EqualValues(t, 3, counted(t, failures))
			require.Len(t, hook.AllEntries(), 1, "the state change is logged once")
		})
	}
}

func TestRecoveryIsLoggedOnce(t *testing.T) {
	r, _, hook := retry(newFailing(t, syscall.EMFILE, 2))
	for range 2 {
		client, err := net.Dial("tcp", r.Addr().String())
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		c, err := r.Accept()
		require.NoError(t, err)
		require.NoError(t, c.Close())
		r.lastFailure = r.lastFailure.Add(-recoveryTime)
	}
	require.Len(t, hook.AllEntries(), 2)
	require.Equal(t, logrus.InfoLevel, hook.LastEntry().Level)
}

func TestPermanentAcceptErrorIsReturned(t *testing.T) {
	r, _, _ := retry(newFailing(t, syscall.EBADF, 1))
	_, err := r.Accept()
	require.ErrorIs(t, err, syscall.EBADF)
}

func TestCloseEndsRetries(t *testing.T) {
	r, _, _ := retry(newFailing(t, syscall.EMFILE, 1<<30))
	ended := make(chan error, 1)
	go func() {
		_, err := r.Accept()
		ended <- err
	}()
	time.Sleep(2 * maxRetryDelay)
	require.NoError(t, r.Close())
	require.NoError(t, r.Close())
	select {
	case err := <-ended:
		require.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("Accept did not return after Close")
	}
}
