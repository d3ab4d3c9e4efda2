package follow

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func row(key string, version int64) Row {
	return Row{Key: key, Value: fmt.Append(nil, version), Version: version}
}

func TestCacheKeepsNewerRows(t *testing.T) {
	c := NewCache()
	c.Apply(Batch{Table: "t", Version: 5, Full: true, Rows: []Row{row("a", 3), row("b", 5)}})
	require.Empty(t, c.Apply(Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 2)}}), "older full batch")
	require.Empty(t, c.Apply(Batch{Table: "t", Version: 4, Rows: []Row{row("b", 4)}}), "older row")
	require.EqualValues(t, 5, c.Version("t"))
	changed := c.Apply(Batch{Table: "t", Version: 9, Full: true, Rows: []Row{row("a", 3)}})
	require.Equal(t, []Row{{Key: "b", Version: 9, Deleted: true}}, changed)
}

// TestCacheAppliesNewestOfSeveralVersions guards against a row that ends at an older
// version: a feed may contain every version of a row.
func TestCacheAppliesNewestOfSeveralVersions(t *testing.T) {
	c := NewCache()
	var b Batch
	for i := range int64(40) { // enough rows for sorting by key alone to reorder versions
		b.Rows = append(b.Rows, row(fmt.Sprint("k", i%5), 10+i))
	}
	b.Rows = append(b.Rows, Row{Key: "k3", Version: 60, Deleted: true})
	b.Table, b.Version = "t", 60
	changed := c.Apply(b)
	require.Len(t, changed, 5)
	require.Equal(t, Row{Key: "k3", Version: 60, Deleted: true}, changed[3])
	require.Equal(t, []Row{row("k0", 45), row("k1", 46), row("k2", 47), row("k4", 49)}, live(c))
}

// TestCachesConverge applies random changes to one cache and copies them to another at
// random points. Both must hold the same rows after each copy.
func TestCachesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := NewCache(), NewCache()
		source.Apply(Batch{Table: "t", Version: 1, Full: true})
		version := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			version++
			r := row(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), version)
			if rapid.Bool().Draw(t, "deleted") {
				r = Row{Key: r.Key, Version: version, Deleted: true}
			}
			source.Apply(Batch{Table: "t", Version: version, Rows: []Row{r}})
			if rapid.Bool().Draw(t, "copy") {
				peer.Apply(source.Since("t", peer.Version("t")))
				require.Equal(t, live(source), live(peer))
			}
		}
	})
}

func live(c *Cache) []Row {
	var rows []Row
	for _, r := range c.Since("t", -1).Rows {
		if !r.Deleted {
			rows = append(rows, r)
		}
	}
	return rows
}

func TestForgottenDeletionsRequireFullBatch(t *testing.T) {
	source, peer := NewCache(), NewCache()
	source.Apply(Batch{Table: "t", Version: 1, Full: true, Rows: []Row{row("kept", 1), row("gone", 1)}})
	peer.Apply(source.Since("t", 0))
	version := int64(2)
	source.Apply(Batch{Table: "t", Version: version, Rows: []Row{{Key: "gone", Version: version, Deleted: true}}})
	for i := range 2 * maxTombstones {
		version++
		source.Apply(Batch{Table: "t", Version: version, Rows: []Row{{Key: fmt.Sprint("k", i), Version: version, Deleted: true}}})
	}
	b := source.Since("t", peer.Version("t"))
	require.True(t, b.Full)
	peer.Apply(b)
	require.Equal(t, []Row{row("kept", 1)}, live(peer))
}
