package follow

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Replica is one instance's copy of the followed tables, kept up to date by its own reads
// of the store and by peers. Only significant rows are sent to peers; heartbeats that change
// nothing else stay with the instances that read the store. It is not safe for concurrent
// use.
type Replica struct {
	tables []string
	// significant reports whether a row says anything new except that its writer is alive.
	significant func(table string, row Row) bool
	all         *Cache // all rows, including heartbeats read from the store
	shared      *Cache // significant rows, as sent to peers
	freshAt     map[string]model.Instant
}

// NewReplica returns an empty copy of tables. The function significant reports whether a
// row says anything new except that its writer is alive.
func NewReplica(tables []string, significant func(table string, row Row) bool) *Replica {
	return &Replica{
		tables:      tables,
		significant: significant,
		all:         NewCache(),
		shared:      NewCache(),
		freshAt:     map[string]model.Instant{},
	}
}

// Version returns the version up to which every significant change of a table is known.
func (r *Replica) Version(table string) int64 { return r.shared.Version(table) }

// ApplyStoreBatch applies a batch that was read from the store and returns the rows that
// changed. The batch was up to date at freshAt or later. Changes from another epoch than that
// of the copy are ignored.
func (r *Replica) ApplyStoreBatch(freshAt model.Instant, b Batch) []Row {
	if !r.continues(b) {
		return nil
	}
	changed := r.all.Apply(b)
	r.refresh(b.Table, freshAt)
	update := Batch{Table: b.Table, Version: b.Version}
	for _, row := range changed {
		if r.significant(b.Table, row) {
			update.Rows = append(update.Rows, row)
		}
	}
	r.shared.Apply(update)
	if b.Full {
		r.shared.RaiseDeletionHorizon(b.Table, b.Version)
	}
	return changed
}

// Older returns the number of rows in a batch from the store that are older than this copy.
func (r *Replica) Older(b Batch) int { return r.all.Older(b) }

// ApplyPeerBatch applies a batch from a peer and returns the rows that changed. The peer's
// copy was up to date at freshAt.
func (r *Replica) ApplyPeerBatch(freshAt model.Instant, b Batch) []Row {
	if b.Version == 0 {
		return nil // the peer does not know the table
	}
	if !r.continues(b) {
		return nil
	}
	changed := r.shared.Apply(b)
	r.all.Apply(Batch{Table: b.Table, Version: b.Version, Rows: changed})
	if r.shared.Version(b.Table) >= b.Version {
		r.refresh(b.Table, freshAt)
	}
	return changed
}

// continues reports whether a batch can be applied to this copy: it is a whole table, or its
// changes are from the same epoch.
func (r *Replica) continues(b Batch) bool {
	known := r.shared.Version(b.Table)
	return b.Full || known == 0 || Epoch(b.Version) == Epoch(known)
}

// Digest summarizes an instance's copy of one table.
type Digest struct {
	Table    string
	Complete int64         // version up to which every significant change is known
	Changed  int64         // version of the last significant change
	FreshAt  model.Instant // when Complete was the newest version
}

// Digests returns the digests of all known tables.
func (r *Replica) Digests() []Digest {
	var list []Digest
	for _, table := range r.tables {
		if complete := r.shared.Version(table); complete > 0 {
			list = append(list, Digest{Table: table, Complete: complete, Changed: r.shared.LastChange(table), FreshAt: r.freshAt[table]})
		}
	}
	return list
}

// Confirm compares a peer's digest with this copy. If the peer knows no later change, this
// copy is as complete as the peer's, and Confirm marks it as equally recent and returns true.
// Otherwise it returns false, and the changes have to be requested from the peer.
func (r *Replica) Confirm(d Digest) bool {
	if d.Changed > r.shared.Version(d.Table) || r.shared.Version(d.Table) == 0 {
		return false
	}
	r.shared.Advance(d.Table, d.Complete)
	r.refresh(d.Table, d.FreshAt)
	return true
}

func (r *Replica) refresh(table string, at model.Instant) {
	r.freshAt[table] = max(r.freshAt[table], at)
}

// FreshAt returns when a table was last known to be up to date, or 0 if it never was.
func (r *Replica) FreshAt(table string) model.Instant { return r.freshAt[table] }

// Age returns the time since a table was last known to be up to date, or unknownAge if it
// never was.
func (r *Replica) Age(now model.Instant, table string) time.Duration {
	at, ok := r.freshAt[table]
	if !ok {
		return unknownAge
	}
	return now.Sub(at)
}

// unknownAge is the age of a table that was never up to date. It exceeds every age limit.
const unknownAge = 24 * time.Hour

// OldestAge returns the age of the table that is least up to date.
func (r *Replica) OldestAge(now model.Instant) time.Duration {
	var oldest time.Duration
	for _, table := range r.tables {
		oldest = max(oldest, r.Age(now, table))
	}
	return oldest
}

// Versions returns the versions of all followed tables, for a request to a peer for later
// changes.
func (r *Replica) Versions() map[string]int64 {
	known := make(map[string]int64, len(r.tables))
	for _, table := range r.tables {
		known[table] = r.shared.Version(table)
	}
	return known
}

// Epoch returns the latest epoch of the store that is known.
func (r *Replica) Epoch() int64 {
	var latest int64
	for _, table := range r.tables {
		latest = max(latest, Epoch(r.shared.Version(table)))
	}
	return latest
}

// Since returns the significant rows for a peer that knows a table up to version after.
func (r *Replica) Since(table string, after int64) Batch { return r.shared.Since(table, after) }
