package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOutcomeTextRoundTrip(t *testing.T) {
	for o := Served; o < OutcomeCount; o++ {
		text, err := o.MarshalText()
		require.NoError(t, err)
		var got Outcome
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, o, got)
	}
	var o Outcome
	require.ErrorContains(t, o.UnmarshalText([]byte("lost")), `outcome "lost"`)
}
