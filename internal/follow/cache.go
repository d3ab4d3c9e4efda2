// Package follow keeps copies of tables of the platform's store up to date: from
// the store itself, and from peers where the store refuses this instance.
package follow

import (
	"cmp"
	"slices"
	"strings"
)

// Row is one row of a followed table. A deleted row has no value.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Batch is what a table holds, or what changed in it, up to a version.
type Batch struct {
	Table   string
	Version int64
	// Full reports that the rows are all that the table holds; others are gone.
	Full bool
	Rows []Row
}

// maxTombstones is how many deleted rows of a table are remembered for peers that
// are behind; one that is further behind gets the whole table.
const maxTombstones = 1024

// Cache is a copy of some tables. It never goes back to an older version of a
// row. It is not safe for concurrent use.
type Cache struct{ tables map[string]*table }

type table struct {
	version int64 // up to which the rows are complete
	changed int64 // of the latest row
	rows    map[string]Row
	// floor is the version up to which deletions may have been forgotten.
	floor      int64
	tombstones int
}

// NewCache returns a cache without tables.
func NewCache() *Cache { return &Cache{tables: map[string]*table{}} }

// Version returns the version up to which a table is known, 0 for not at all.
func (c *Cache) Version(name string) int64 {
	if t := c.tables[name]; t != nil {
		return t.version
	}
	return 0
}

// Changed returns the version from which on a copy lacks no change of a table that is
// known here, deletions that were forgotten among them.
func (c *Cache) Changed(name string) int64 {
	if t := c.tables[name]; t != nil {
		return max(t.changed, t.floor)
	}
	return 0
}

// Skipped notes that a table was read whole at a version, so that deletions before it
// may be unknown.
func (c *Cache) Skipped(name string, version int64) {
	if t := c.tables[name]; t != nil {
		t.floor = max(t.floor, version)
	}
}

// Advance notes that nothing changed in a known table up to a version.
func (c *Cache) Advance(name string, version int64) {
	if t := c.tables[name]; t != nil {
		t.version = max(t.version, version)
	}
}

// Apply takes a batch over and returns the rows that it changed, in key order.
func (c *Cache) Apply(b Batch) []Row {
	t := c.tables[b.Table]
	if t == nil {
		t = &table{rows: map[string]Row{}, floor: b.Version}
		c.tables[b.Table] = t
	}
	if b.Full && b.Version < t.version {
		return nil
	}
	changed := t.newer(b.Rows)
	if b.Full {
		changed = append(changed, t.missing(b)...)
	}
	slices.SortFunc(changed, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	for _, row := range changed {
		t.put(row)
	}
	t.version = max(t.version, b.Version)
	if b.Full {
		t.floor = max(t.floor, b.Version)
	}
	t.trim()
	return changed
}

// newer returns the last version of each row that is newer than what is known. A batch
// of changes may hold several versions of a row.
func (t *table) newer(rows []Row) []Row {
	var list []Row
	at := map[string]int{}
	for _, row := range rows {
		if old, ok := t.rows[row.Key]; ok && old.Version >= row.Version {
			continue
		}
		i, seen := at[row.Key]
		switch {
		case !seen:
			at[row.Key] = len(list)
			list = append(list, row)
		case row.Version > list[i].Version:
			list[i] = row
		}
	}
	return list
}

// missing returns the deletions that a whole table implies.
func (t *table) missing(b Batch) []Row {
	present := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		present[row.Key] = true
	}
	var gone []Row
	for key, row := range t.rows {
		if !row.Deleted && !present[key] && row.Version <= b.Version {
			gone = append(gone, Row{Key: key, Version: b.Version, Deleted: true})
		}
	}
	return gone
}

func (t *table) put(row Row) {
	if old, ok := t.rows[row.Key]; ok && old.Deleted {
		t.tombstones--
	}
	if row.Deleted {
		t.tombstones++
	}
	t.rows[row.Key] = row
	t.changed = max(t.changed, row.Version)
}

// trim forgets the older half of the deletions once there are too many.
func (t *table) trim() {
	if t.tombstones <= maxTombstones {
		return
	}
	var deleted []Row
	for _, row := range t.rows {
		if row.Deleted {
			deleted = append(deleted, row)
		}
	}
	slices.SortFunc(deleted, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range deleted[:len(deleted)/2] {
		delete(t.rows, row.Key)
		t.tombstones--
		t.floor = max(t.floor, row.Version)
	}
}

// Since returns what a peer lacks that knows a table up to a version.
func (c *Cache) Since(name string, after int64) Batch {
	t := c.tables[name]
	if t == nil {
		return Batch{Table: name}
	}
	b := Batch{Table: name, Version: t.version, Full: after < t.floor}
	for _, row := range t.rows {
		if (b.Full && !row.Deleted) || (!b.Full && row.Version > after) {
			b.Rows = append(b.Rows, row)
		}
	}
	slices.SortFunc(b.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return b
}
