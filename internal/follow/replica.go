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

// Version is the version up to which every change of a table that matters is known.
func (r *Replica) Version(table string) int64 { return r.shared.Version(table) }

// Read takes a batch from the store over and returns the rows that changed. The batch
// was up to date at the given time or later.
func (r *Replica) Read(fresh model.Instant, b Batch) []Row {
	changed := r.read.Apply(b)
	r.refresh(b.Table, fresh)
	share := Batch{Table: b.Table, Version: b.Version}
	for _, row := range changed {
		if r.matters(b.Table, row) {
			share.Rows = append(share.Rows, row)
		}
	}
	r.shared.Apply(share)
	if b.Full {
		r.shared.Skipped(b.Table, b.Version)
	}
	return changed
}

// Learn takes a peer's batch over and returns the rows that changed. The peer was
// up to date at the given time.
func (r *Replica) Learn(fresh model.Instant, b Batch) []Row {
	if b.Version == 0 {
		return nil // the peer does not know the table
	}
	changed := r.shared.Apply(b)
	r.read.Apply(Batch{Table: b.Table, Version: b.Version, Rows: changed})
	if r.shared.Version(b.Table) >= b.Version {
		r.refresh(b.Table, fresh)
	}
	return changed
}

// Digest says how much an instance knows of one table.
type Digest struct {
	Table    string
	Complete int64         // version up to which every change that matters is known
	Changed  int64         // version of the last change that matters
	Fresh    model.Instant // when Complete was the newest version
}

// Digests describes all tables that are known.
func (r *Replica) Digests() []Digest {
	var list []Digest
	for _, table := range r.tables {
		if complete := r.shared.Version(table); complete > 0 {
			list = append(list, Digest{Table: table, Complete: complete, Changed: r.shared.Changed(table), Fresh: r.freshAt[table]})
		}
	}
	return list
}

// Confirm compares a peer's digest with what is known here. Where the peer knows no
// later change, this copy is as complete as the peer's, and Confirm returns true;
// otherwise the peer has to be asked for what changed.
func (r *Replica) Confirm(d Digest) bool {
	if d.Changed > r.shared.Version(d.Table) || r.shared.Version(d.Table) == 0 {
		return false
	}
	r.shared.Advance(d.Table, d.Complete)
	r.refresh(d.Table, d.Fresh)
	return true
}

func (r *Replica) refresh(table string, fresh model.Instant) {
	r.freshAt[table] = max(r.freshAt[table], fresh)
}

// FreshAt is when a table was last known to be up to date, 0 for never.
func (r *Replica) FreshAt(table string) model.Instant { return r.freshAt[table] }

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
