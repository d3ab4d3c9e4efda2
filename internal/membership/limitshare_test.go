package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestLimitShareIsSentOnOnce guards against statements that pass between instances without end.
func TestLimitShareIsSentOnOnce(t *testing.T) {
	const now = model.Instant(time.Hour)
	share := LimitShare{Server: "b-1", Incarnation: "b-1 1 x", Instance: "i-1", Number: 5, All: 3, At: now}
	var s limitShareSet
	require.Len(t, s.merge([]LimitShare{share}, now), 1)
	generation := s.generation
	later := share
	later.At = now.Add(time.Second) // the same statement by another way
	require.Empty(t, s.merge([]LimitShare{share, later}, now))
	require.Empty(t, s.since(generation))
	older := share
	older.Number, older.At = 4, now.Add(time.Second)
	require.Empty(t, s.merge([]LimitShare{older}, now))
	later.Number = 6
	require.Len(t, s.merge([]LimitShare{later}, now), 1)
	require.Equal(t, []LimitShare{later}, s.since(generation))
	s.expire(later.At.Add(LoanTime))
	require.Empty(t, s.list)
	require.Empty(t, s.merge([]LimitShare{share}, now.Add(LoanTime)), "too old")
}

// TestLimitSharesAreBounded guards against statements that fill an instance's memory.
func TestLimitSharesAreBounded(t *testing.T) {
	var s limitShareSet
	for i := range maxLimitShares + 10 {
		s.merge([]LimitShare{{Incarnation: "b-1", Instance: model.InstanceID(rune(0x100 + i)), Number: 1}}, 1)
	}
	require.Len(t, s.list, maxLimitShares)
}

// TestLimitShareOfOddAgeIsExpired guards against a statement from outside that never ends.
func TestLimitShareOfOddAgeIsExpired(t *testing.T) {
	const now = model.Instant(time.Hour)
	for _, age := range []int64{-1, -1 << 63, 1<<63 - 1, int64(LoanTime)} {
		require.Equal(t, LoanTime, now.Sub(limitShareFromProto(now, &linkpb.LimitShare{AgeNs: age}).At))
	}
}
