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

func TestBuilderKeepsOrderAndEmptyValues(t *testing.T) {
	for range 2 { // the second builder reuses the memory of the first
		b := NewBuilder()
		b.Add([]byte("A"), []byte("1"))
		b.Add([]byte("B"), nil)
		b.Add([]byte("A"), []byte("22"))
		require.Equal(t, List{{"A", "1"}, {"B", ""}, {"A", "22"}}, b.List(1))
	}
}
