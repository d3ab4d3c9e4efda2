// Package follow keeps copies of tables of the platform's store up to date, from the store
// itself and from peers.
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

// Batch holds the rows of a table, or its changed rows, up to a version.
type Batch struct {
	Table   string
	Version int64
	// Full reports that Rows is the whole table and all other rows have been deleted.
	Full  bool
	Rows  []Row
	Bytes int // size of the store's answer, 0 if it did not come from the store
}

// maxTombstones is the maximum number of deleted rows that are remembered per table for
// peers that are behind. A peer that is further behind receives the whole table.
const maxTombstones = 1024

// Cache holds copies of tables. It never replaces a row with an older version. It is not
// safe for concurrent use.
type Cache struct{ tables map[string]*table }

type table struct {
	version int64 // up to which the rows are complete
	changed int64 // version of the latest row
	rows    map[string]Row
	// deletionHorizon is the version up to which deletions may have been forgotten.
	deletionHorizon int64
	tombstones      int
}

// NewCache returns a cache without tables.
func NewCache() *Cache { return &Cache{tables: map[string]*table{}} }

// Version returns the version up to which a table is known, or 0 if it is unknown.
func (c *Cache) Version(name string) int64 {
	if t := c.tables[name]; t != nil {
		return t.version
	}
	return 0
}

// LastChange returns the version of the last change of a table that this copy knows or, for
// deletions, may have forgotten. A copy that is complete up to this version lacks no change
// known here. It returns 0 if the table is unknown.
func (c *Cache) LastChange(name string) int64 {
	if t := c.tables[name]; t != nil {
		return max(t.changed, t.deletionHorizon)
	}
	return 0
}

// RaiseDeletionHorizon records that a known table was read as a whole at a version, so that
// deletions before that version may be unknown.
func (c *Cache) RaiseDeletionHorizon(name string, version int64) {
	if t := c.tables[name]; t != nil {
		t.deletionHorizon = max(t.deletionHorizon, version)
	}
}

// Advance records that a known table has no further changes up to a version.
func (c *Cache) Advance(name string, version int64) {
	if t := c.tables[name]; t != nil {
		t.version = max(t.version, version)
	}
}

// Older returns the number of rows of a batch that are older than the stored ones. It counts
// one more if the batch is a whole table that is older than the stored table.
func (c *Cache) Older(b Batch) int {
	t := c.tables[b.Table]
	if t == nil {
		return 0
	}
	n := 0
	for _, row := range b.Rows {
		if old, ok := t.rows[row.Key]; ok && old.Version > row.Version {
			n++
		}
	}
	if b.Full && b.Version < t.version {
		n++
	}
	return n
}

// Apply applies a batch and returns the rows that it changed, in key order.
func (c *Cache) Apply(b Batch) []Row {
	t := c.tables[b.Table]
	if t == nil {
		t = &table{rows: map[string]Row{}, deletionHorizon: b.Version}
		c.tables[b.Table] = t
	}
	if b.Full && b.Version < t.version {
		return nil
	}
	changed := t.newestRows(b.Rows)
	if b.Full {
		changed = append(changed, t.impliedDeletions(b)...)
	}
	slices.SortFunc(changed, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	for _, row := range changed {
		t.put(row)
	}
	t.version = max(t.version, b.Version)
	if b.Full {
		t.deletionHorizon = max(t.deletionHorizon, b.Version)
	}
	t.trimTombstones()
	return changed
}

// newestRows returns the newest version of each row that is newer than the stored one. A
// batch of changes may contain several versions of a row.
func (t *table) newestRows(rows []Row) []Row {
	var list []Row
	index := map[string]int{}
	for _, row := range rows {
		if old, ok := t.rows[row.Key]; ok && old.Version >= row.Version {
			continue
		}
		i, seen := index[row.Key]
		switch {
		case !seen:
			index[row.Key] = len(list)
			list = append(list, row)
		case row.Version > list[i].Version:
			list[i] = row
		}
	}
	return list
}

// impliedDeletions returns the deletions of stored rows that a full batch does not contain.
func (t *table) impliedDeletions(b Batch) []Row {
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

// trimTombstones forgets the older half of the deletions if there are more than
// maxTombstones.
func (t *table) trimTombstones() {
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
		t.deletionHorizon = max(t.deletionHorizon, row.Version)
	}
}

// Since returns the rows for a peer that knows a table up to version after: the changes
// since then, or the whole table if later deletions may have been forgotten.
func (c *Cache) Since(name string, after int64) Batch {
	t := c.tables[name]
	if t == nil {
		return Batch{Table: name}
	}
	b := Batch{Table: name, Version: t.version, Full: after < t.deletionHorizon}
	for _, row := range t.rows {
		if (b.Full && !row.Deleted) || (!b.Full && row.Version > after) {
			b.Rows = append(b.Rows, row)
		}
	}
	slices.SortFunc(b.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return b
}
