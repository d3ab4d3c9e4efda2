package edge

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// TestProbeTimeoutCountsAsReached guards against treating a busy server as unreachable. A
// health check that waits for a slot behind a long queue gets no response in time, although
// the server is alive.
func TestProbeTimeoutCountsAsReached(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	require.NoError(t, err)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	client := upstream.New(upstream.Settings{Dialect: httpheader.DefaultDialect(), ProgressTimeout: 50 * time.Millisecond})
	t.Cleanup(func() {
		require.NoError(t, client.Shutdown())
		require.NoError(t, busy.Close())
	})
	for listener, want := range map[net.Listener]bool{busy: true, gone: false} {
		_, err := client.Check(t.Context(), &upstream.Attempt{
			Backend: "b", Address: netip.MustParseAddrPort(listener.Addr().String()), Method: "GET", URI: []byte("/health"), FreshConnection: true,
		})
		require.Error(t, err)
		require.Equal(t, want, reached(err), err)
	}
}
