package descriptors

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSharesLeaveReserve(t *testing.T) {
	for _, limit := range []uint64{512, 1024, 20_000, 1 << 20} {
		s := divide(limit)
		require.LessOrEqual(t, uint64(s.Callers+s.BackendServers+s.Lookups+Reserve), limit)
		require.Positive(t, s.Callers)
	}
	require.Positive(t, divide(1<<63).Callers)
	require.Equal(t, minConnections, divide(8).Callers)
	require.Equal(t, minConnections, divide(8).Lookups)
	require.Less(t, 2*MaxControl, Reserve/2)
}
