package tablestore

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// table is the transactional table: rows with a sorted index of their keys. The version of a
// row is the number of the commit that wrote it, so no later commit reuses a version, even
// after a delete.
type table struct {
	mu      sync.RWMutex
	rows    map[string]wire.Row
	keys    []string // sorted
	commits int64
}

func newTable() *table {
	return &table{rows: make(map[string]wire.Row)}
}

// get returns one row for each key, with version 0 if the row is absent.
func (t *table) get(keys []string) []wire.Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := make([]wire.Row, len(keys))
	for i, key := range keys {
		rows[i] = wire.Row{Key: key}
		if row, ok := t.rows[key]; ok {
			rows[i] = row
		}
	}
	return rows
}

// scan returns at most limit rows with the prefix, in key order.
func (t *table) scan(prefix string, limit int) []wire.Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := []wire.Row{}
	first, _ := slices.BinarySearch(t.keys, prefix)
	for _, key := range t.keys[first:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, t.rows[key])
	}
	return rows
}

// commit applies all writes if all conditions hold and returns their version. Otherwise it
// returns the first condition that does not hold.
func (t *table) commit(txn *wire.CommitRequest) (int64, *wire.Conflict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if actual := t.rows[c.Key].Version; actual != c.Version {
			return 0, &wire.Conflict{Key: c.Key, Expected: c.Version, Actual: actual}
		}
	}
	t.commits++
	for _, w := range txn.Writes {
		t.apply(w)
	}
	return t.commits, nil
}

func (t *table) apply(w wire.Write) {
	at, present := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if present {
			t.keys = slices.Delete(t.keys, at, at+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !present {
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
	t.rows[w.Key] = wire.Row{Key: w.Key, Value: w.Value, Version: t.commits}
}

// tableCopy is the state of a table at some time.
type tableCopy struct {
	rows    map[string]wire.Row
	keys    []string
	commits int64
}

func (t *table) copy() *tableCopy {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return &tableCopy{rows: maps.Clone(t.rows), keys: slices.Clone(t.keys), commits: t.commits}
}

// restore returns to the state of a copy, so that numbers of commits are given out again.
func (t *table) restore(c *tableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.keys, t.commits = maps.Clone(c.rows), slices.Clone(c.keys), c.commits
}
