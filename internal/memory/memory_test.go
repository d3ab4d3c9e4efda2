package memory

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLimitIsConfiguredOrOfMachine(t *testing.T) {
	require.EqualValues(t, 5, Limit(5))
	machine := Limit(0)
	require.Positive(t, machine)
	require.Less(t, machine, int64(math.MaxInt64))
}

func TestRuntimeAndBodiesGetShares(t *testing.T) {
	const limit = 1 << 30
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	debug.SetMemoryLimit(math.MaxInt64)
	share := Apply(limit)
	runtime := debug.SetMemoryLimit(-1)
	require.Positive(t, share.Bodies)
	require.Positive(t, share.Connections)
	require.Less(t, share.Bodies+int64(share.Connections)*connectionBytes, runtime)
	require.Less(t, runtime, int64(limit))
	debug.SetMemoryLimit(limit / 2)
	require.Equal(t, share, Apply(limit))
	require.EqualValues(t, limit/2, debug.SetMemoryLimit(-1), "a limit that is set already holds")
}
