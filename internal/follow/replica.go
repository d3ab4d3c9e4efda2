package follow

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Replica is one instance's copy of the followed tables, kept up to date by its own
// reads of the store and by peers. Peers are told only rows that matter; heartbeats
// that change nothing else stay with whoever reads the store. It is not safe for
// concurrent use.
type Replica struct {
	tables []string
	// matters reports whether a row says anything new beside that its writer lives.
	matters func(table string, row Row) bool
	read    *Cache // as read from the store
	shared  *Cache // what matters, as peers get it
	freshAt map[string]model.Instant
}

// NewReplica returns an empty copy of tables.
func NewReplica(tables []string, matters func(table string, row Row) bool) *Replica {
	return &Replica{
		tables:  tables,
		matters: matters,
		read:    NewCache(),
		shared:  NewCache(),
		freshAt: map[string]model.Instant{},
	}
}

// ReadVersion is the version up to which this instance has read a table itself.
func (r *Replica) ReadVersion(table string) int64 { return r.read.Version(table) }

// Read takes a batch from the store over and returns the rows that changed.
func (r *Replica) Read(now model.Instant, b Batch) []Row {
	changed := r.read.Apply(b)
	r.freshAt[b.Table] = now
	share := Batch{Table: b.Table, Version: r.shared.Version(b.Table)}
	for _, row := range changed {
		if r.matters(b.Table, row) {
			share.Rows = append(share.Rows, row)
			share.Version = max(share.Version, row.Version)
		}
	}
	if share.Version == 0 {
		share.Version = b.Version // an empty table is known, too
	}
	r.shared.Apply(share)
	return changed
}

// Learn takes a peer's batch over and returns the rows that changed. The peer was
// up to date at the given time.
func (r *Replica) Learn(fresh model.Instant, b Batch) []Row {
	changed := r.shared.Apply(b)
	r.read.Apply(Batch{Table: b.Table, Version: r.read.Version(b.Table), Rows: changed})
	r.refresh(b.Table, fresh)
	return changed
}

// TransitAllowance is what a message from a peer is reckoned to have been on its way,
// beside the age that it tells: the way between regions, and a busy instance that reads
// its messages late. With less, peers
// that confirm one another would seem up to date for ever.
const TransitAllowance = 400 * time.Millisecond

// Confirm notes that a peer was up to date at a time. With the same revision, this
// instance was, too; it reports whether that is so.
func (r *Replica) Confirm(fresh model.Instant, revision int64) bool {
	if revision != r.Revision() {
		return false
	}
	for _, table := range r.tables {
		if r.shared.Version(table) > 0 {
			r.refresh(table, fresh)
		}
	}
	return true
}

func (r *Replica) refresh(table string, fresh model.Instant) {
	r.freshAt[table] = max(r.freshAt[table], fresh)
}

// Revision grows with every row that matters; equal ones mean equal copies.
func (r *Replica) Revision() int64 {
	var sum int64
	for _, table := range r.tables {
		sum += r.shared.Version(table)
	}
	return sum
}

// Age is how long ago a table was last known to be up to date; a table that never
// was is infinitely old.
func (r *Replica) Age(now model.Instant, table string) time.Duration {
	at, ok := r.freshAt[table]
	if !ok {
		return unknownAge
	}
	return now.Sub(at)
}

// unknownAge is older than any age that is asked for.
const unknownAge = 24 * time.Hour

// OldestAge is the age of the table that is least up to date.
func (r *Replica) OldestAge(now model.Instant) time.Duration {
	var oldest time.Duration
	for _, table := range r.tables {
		oldest = max(oldest, r.Age(now, table))
	}
	return oldest
}

// Known returns the versions of the tables as peers are asked for more.
func (r *Replica) Known() map[string]int64 {
	known := make(map[string]int64, len(r.tables))
	for _, table := range r.tables {
		known[table] = r.shared.Version(table)
	}
	return known
}

// Since returns what a peer lacks that knows a table up to a version.
func (r *Replica) Since(table string, after int64) Batch { return r.shared.Since(table, after) }
