package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRankTextRoundTrip(t *testing.T) {
	for r := Urgent; r <= Background; r++ {
		text, err := r.MarshalText()
		require.NoError(t, err)
		var got Rank
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, r, got)
	}
	var r Rank
	require.ErrorContains(t, r.UnmarshalText([]byte("soon")), `rank "soon"`)
}

func TestKindTextRoundTrip(t *testing.T) {
	for k := Read; k <= Once; k++ {
		text, err := k.MarshalText()
		require.NoError(t, err)
		var got Kind
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, k, got)
	}
	var k Kind
	require.ErrorContains(t, k.UnmarshalText([]byte("twice")), `kind "twice"`)
	require.True(t, Read.Repeatable())
	require.False(t, Once.Repeatable())
}
