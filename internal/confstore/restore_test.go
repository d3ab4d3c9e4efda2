package confstore

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChangeAcceptedAfterTableRestoreIsLoaded guards against a change that was accepted but
// never takes effect, because the table was restored from a copy and gives the number of a
// lost revision out again.
func TestChangeAcceptedAfterTableRestoreIsLoaded(t *testing.T) {
	table := newFakeTable(noFaults)
	store := newTestStore(table)
	_, err := store.Apply(t.Context(), change(0, 1, "op-1"))
	require.NoError(t, err)
	restore := maps.Clone(table.rows)
	_, err = store.Apply(t.Context(), change(1, 2, "op-2"))
	require.NoError(t, err)
	active, err := store.Apply(t.Context(), change(2, 3, "op-3"))
	require.NoError(t, err)

	table.rows = restore
	accepted, err := store.Apply(t.Context(), change(1, 4, "op-4"))
	require.NoError(t, err)
	loaded, err := store.LoadIfNewer(t.Context(), active.Number)
	require.NoError(t, err)
	require.Equal(t, accepted, loaded)
}

// TestChangeBasedOnLostRevisionConflicts covers a change whose author has read a revision that
// a restore of the table has lost.
func TestChangeBasedOnLostRevisionConflicts(t *testing.T) {
	table := newFakeTable(noFaults)
	store := newTestStore(table)
	first, err := store.Apply(t.Context(), change(0, 1, "op-1"))
	require.NoError(t, err)
	restore := maps.Clone(table.rows)
	_, err = store.Apply(t.Context(), change(1, 2, "op-2"))
	require.NoError(t, err)
	table.rows = restore
	_, err = store.Apply(t.Context(), change(2, 3, "op-3"))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first, conflict.Current)
}
