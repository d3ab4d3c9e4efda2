package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnfinishedKeepsTheTextsThatStillMove(t *testing.T) {
	source := []byte(smallText)
	move := mustParse(t, smallText).Limits.ShiftCap.MoveTime()
	require.Positive(t, move)
	start := time.Unix(1000, 0)
	changes := []TextChange{
		{Source: source, AcceptedAt: start},
		{Source: source, AcceptedAt: start.Add(move)},
		{Source: source, AcceptedAt: start.Add(2*move - 1)},
	}
	require.Equal(t, changes, Unfinished(changes, start.Add(2*move)))
	require.Equal(t, changes, Unfinished(changes, start.Add(3*move-2)), "the second was cut short by the third")
	require.Equal(t, changes[2:], Unfinished(changes, start.Add(3*move-1)))
	changes[2].AcceptedAt = start.Add(2 * move)
	require.Equal(t, changes[1:], Unfinished(changes, start.Add(2*move)))
	require.Empty(t, Unfinished(nil, start))
}

func TestMoveTimeOfACap(t *testing.T) {
	require.Zero(t, ShiftCap{}.MoveTime())
	require.Equal(t, 5*time.Minute, ShiftCap{Fraction: 0.1, Window: 30 * time.Second}.MoveTime())
}
