package httpheader

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestForwardableDropsConnectionFields(t *testing.T) {
	l := List{
		{"Host", "a"},
		{"Connection", "close, X-Private"},
		{"x-private", "1"},
		{"Transfer-Encoding", "chunked"},
		{"Accept", "*/*"},
	}
	require.Equal(t, List{{"Host", "a"}, {"Accept", "*/*"}}, l.Forwardable())
}

func TestWithReplacesEveryField(t *testing.T) {
	l := List{{"via", "1"}, {"A", "b"}, {"Via", "2"}}
	require.Equal(t, List{{"A", "b"}, {"Via", "3"}}, l.With("Via", "3"))
	require.Equal(t, "", List(nil).Get("Via"))
}
