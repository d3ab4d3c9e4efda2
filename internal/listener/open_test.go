package listener

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func listenLocally(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// openTest is a set of two addresses to open.
type openTest struct {
	first, last net.Listener
	addresses   []Address
	log         *logrus.Entry
	lines       *strings.Builder
}

func newOpenTest(first, last string) *openTest {
	o := &openTest{lines: &strings.Builder{}}
	o.addresses = []Address{{Name: "first", Addr: first, To: &o.first}, {Name: "last", Addr: last, To: &o.last}}
	log := logrus.New()
	log.SetOutput(o.lines)
	o.log = logrus.NewEntry(log)
	return o
}

func freeAddress(t *testing.T) string {
	l := listenLocally(t, "127.0.0.1:0")
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// TestOpenWaitsUntilNoAddressIsInUse also requires that nobody can connect until all are open.
func TestOpenWaitsUntilNoAddressIsInUse(t *testing.T) {
	held, last := listenLocally(t, "127.0.0.1:0"), freeAddress(t)
	o := newOpenTest(held.Addr().String(), last)
	opened := make(chan error, 1)
	go func() { opened <- Open(t.Context(), o.addresses, 10*time.Second, o.log) }()
	time.Sleep(300 * time.Millisecond)
	_, err := net.Dial("tcp", last)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, held.Close())
	require.NoError(t, <-opened)
	t.Cleanup(func() {
		_ = o.first.Close()
		_ = o.last.Close()
	})
	require.Equal(t, last, o.last.Addr().String())
	require.Equal(t, 1, strings.Count(o.lines.String(), "address in use"))
}

func TestOpenNamesAllAddressesInUse(t *testing.T) {
	first, last := listenLocally(t, "127.0.0.1:0"), listenLocally(t, "127.0.0.1:0")
	o := newOpenTest(first.Addr().String(), last.Addr().String())
	started := time.Now()
	err := Open(t.Context(), o.addresses, 300*time.Millisecond, o.log)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.ErrorContains(t, err, "listen for first on "+first.Addr().String())
	require.ErrorContains(t, err, "listen for last on "+last.Addr().String())
	require.GreaterOrEqual(t, time.Since(started), 300*time.Millisecond)
}

func TestOpenEndsWithItsContext(t *testing.T) {
	held := listenLocally(t, "127.0.0.1:0")
	o := newOpenTest(held.Addr().String(), freeAddress(t))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	started := time.Now()
	require.ErrorIs(t, Open(ctx, o.addresses, time.Minute, o.log), context.DeadlineExceeded)
	require.Less(t, time.Since(started), 5*time.Second)
}

func TestOpenDoesNotWaitForOtherErrors(t *testing.T) {
	o := newOpenTest("127.0.0.1:99999", "no host")
	o.log.Logger.SetOutput(io.Discard)
	started := time.Now()
	err := Open(t.Context(), o.addresses, time.Minute, o.log)
	require.ErrorContains(t, err, "listen for first on 127.0.0.1:99999")
	require.ErrorContains(t, err, "listen for last on no host")
	require.Less(t, time.Since(started), 5*time.Second)
}
