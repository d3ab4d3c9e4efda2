package edge

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Version implements follow.Sink.
func (e *Edge) Version(table string) int64 {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	return e.replica.Version(table)
}

// ShouldRead implements follow.Sink. Few instances of a region read the store; the others
// read it only when those do not keep them up to date. A starting instance reads the first
// page of the servers' table at once, and the rest if no peer has a copy.
func (e *Edge) ShouldRead(table string, begun bool) bool {
	now := e.clock.now()
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	if begun && table == e.options.Tables.Servers && e.waitsForCopy(now) {
		return false
	}
	results := e.published.Load()
	if results == nil || results.readerRank < readersPerRegion {
		return true
	}
	return e.replica.Age(now, table) > ageLimit(e.maxAge(table), results.readerRank)
}

// CallEnded implements follow.Sink.
func (e *Edge) CallEnded(c follow.Call) {
	reason := string(c.Reason)
	if c.Reason == follow.ReasonChanges {
		reason = "reader"
		if results := e.published.Load(); results != nil && results.readerRank >= readersPerRegion {
			reason = "old copy"
		}
	}
	e.metrics.storeCalls.WithLabelValues(c.Table, reason).Inc()
	e.metrics.storeRows.WithLabelValues(c.Table, reason).Add(float64(c.Rows))
	e.metrics.storeBytes.WithLabelValues(c.Table, reason).Add(float64(c.Bytes))
}

// ReadEnded implements follow.Sink. It logs when the store becomes unreadable or readable
// for this instance, and reports reads of the servers' table to the dispatcher.
func (e *Edge) ReadEnded(table string, started time.Time, err error) {
	now := e.clock.now()
	e.fleetMu.Lock()
	changed := e.readFailed[table] != (err != nil)
	e.readFailed[table] = err != nil
	e.fleetMu.Unlock()
	result := "read"
	switch {
	case errors.Is(err, follow.ErrOutdated):
		result = "outdated"
	case err != nil:
		result = "failed"
	}
	e.metrics.reads.WithLabelValues(table, result).Inc()
	if changed && err != nil {
		e.log.WithField("table", table).WithError(err).Warn("store lost")
	} else if changed {
		e.log.WithField("table", table).Info("store regained")
	}
	if table == e.options.Tables.Servers {
		e.post(&dispatch.StoreRead{At: now, Started: e.clock.at(started), OK: err == nil})
	}
}

// Apply implements follow.Sink. It applies a batch that was read from the store.
func (e *Edge) Apply(freshAt time.Time, b follow.Batch) {
	at := e.clock.at(freshAt)
	e.noteOlderRows(b)
	e.applyBatch(e.clock.now(), b.Table, func() []follow.Row {
		e.group.ScheduleMessages() // tells peers how recent this copy is
		return e.replica.ApplyStoreBatch(at, b)
	})
}

// noteOlderRows counts the rows of a batch from the store that this copy ignores.
func (e *Edge) noteOlderRows(b follow.Batch) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	if n := e.replica.Older(b); n > 0 {
		e.metrics.olderRows.WithLabelValues(b.Table).Add(float64(n))
	}
}

// storeRestored logs that a table has changed from a version of one epoch to one of another,
// and reports it to the dispatcher.
func (e *Edge) storeRestored(now model.Instant, table string, from, to int64) {
	previous, known := follow.SplitVersion(from)
	epoch, number := follow.SplitVersion(to)
	e.log.WithFields(logrus.Fields{
		"table": table, "epoch": epoch, "previous_epoch": previous, "version": number, "known_version": known,
	}).Warn("store restored from a copy")
	if table != e.options.Tables.Instances {
		e.post(&dispatch.StoreRestored{At: now})
	}
}

// applyBatch calls update to change the replica and applies the rows that it returns.
func (e *Edge) applyBatch(now model.Instant, table string, update func() []follow.Row) {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	var previous, version int64
	var changed []follow.Row
	var firstBatch bool
	e.lockFleet(func() {
		previous = e.replica.Version(table)
		changed = update()
		version = e.replica.Version(table)
		firstBatch = !e.loaded[table]
		e.loaded[table] = true
		if len(changed) > 0 {
			e.group.ScheduleMessages()
		}
	})
	if previous > 0 && follow.Epoch(version) > follow.Epoch(previous) {
		e.storeRestored(now, table, previous, version)
	}
	for _, row := range changed {
		e.panics.Do(contain.Row, func() { e.applyRow(now, table, row) })
	}
	if firstBatch && table != e.options.Tables.Instances {
		e.loadedTables.Add(1)
		e.announceReady()
	}
	if table == e.options.Tables.Instances {
		if len(changed) > 0 {
			e.instancesChanged(now)
		}
		e.fleetMu.Lock()
		e.startup.listed = true
		e.fleetMu.Unlock()
	}
}

// minLapseTime is the time without a change of a server's row from which on the row may have
// been removed and written again between two reads. It is shorter than the time after which
// the platform removes the entry of a silent server.
const minLapseTime = 3 * time.Second

// serverEntry is the latest entry of a server.
type serverEntry struct {
	catalog.Server
	changedAt model.Instant // when this instance learned of the latest change of its row
	coldUntil model.Instant // latest end of its cold time in entries since it turned cold, 0 if it is not cold
}

// newServerEntry returns what is kept of an entry of which this instance learns. old is the
// previous one of the server, if any.
func newServerEntry(now model.Instant, s *catalog.Server, old serverEntry) serverEntry {
	entry := serverEntry{Server: *s, changedAt: now}
	if s.ColdLeft > 0 {
		entry.coldUntil = now.Add(s.ColdLeft)
		if old.SameIncarnation(s) {
			entry.coldUntil = max(entry.coldUntil, old.coldUntil)
		}
	}
	return entry
}

// coldForLonger reports whether a server is cold for longer than its earlier entries said. The load
// pattern is a server that turns cold again while it is cold: peers that are not told would send it
// their usual requests.
//
// Instances count the remaining time from when they learn of an entry, so that peers take a server
// to be cold until coldUntil at least.
func (e *serverEntry) coldForLonger(now model.Instant, s *catalog.Server) bool {
	return s.ColdLeft > 0 && now.Add(s.ColdLeft) > e.coldUntil
}

// forwardedToPeers reports whether a row is sent to peers: every row except heartbeats of
// backend servers that change nothing else, and entries that are older than what is known of
// the server. An entry that makes a server cold, or cold for longer, is no heartbeat. A row that
// changes after minLapseTime counts, since a peer may know of a removal that this instance has
// not seen. It removes the known entry of a server whose row was deleted or cannot be decoded.
// The caller must hold fleetMu.
func (e *Edge) forwardedToPeers(table string, row follow.Row) bool {
	if table != e.options.Tables.Servers {
		return true
	}
	id := model.BackendName(row.Key)
	change, err := e.decode(table, row)
	listed, ok := change.(*catalog.ServerChange)
	if err != nil || !ok {
		delete(e.serverEntries, id)
		return true
	}
	old, known := e.serverEntries[id]
	now := e.clock.now()
	return !e.outdated(&listed.Server) &&
		(!known || listed.Server.DiffersBeyondHeartbeat(&old.Server) || old.coldForLonger(now, &listed.Server) || now.Sub(old.changedAt) >= minLapseTime)
}

// outdated reports whether a restored store lists a server with an entry that is older than
// the known one or than the server's removal. The caller must hold fleetMu.
func (e *Edge) outdated(entry *catalog.Server) bool {
	if old, known := e.serverEntries[entry.ID]; known && old.SameIncarnation(entry) {
		return entry.Sequence < old.Sequence
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.HasLeft(e.clock.now(), entry)
}

// configurationAge returns the time since this instance's copy of the operator's table was
// last known to be the latest.
func (e *Edge) configurationAge() time.Duration {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	return e.replica.Age(e.clock.now(), e.options.Tables.Operator)
}

var errDecodePanic = errors.New("decoding the row failed in this instance")

// decode decodes a row. A panic in it counts as a row that cannot be decoded.
func (e *Edge) decode(table string, row follow.Row) (change catalog.Change, err error) {
	if !e.panics.Do(contain.Row, func() { change, err = e.options.Decode(table, row) }) {
		return nil, errDecodePanic
	}
	return change, err
}

func (e *Edge) applyRow(now model.Instant, table string, row follow.Row) {
	change, err := e.decode(table, row)
	if err != nil {
		e.invalid.row(table, row.Key, err)
		return
	}
	switch c := change.(type) {
	case nil:
	case *catalog.InstanceChange:
		e.fleetMu.Lock()
		e.listed[c.Instance.ID] = listedInstance{entry: c.Instance, version: row.Version}
		e.fleetMu.Unlock()
	case *catalog.InstanceRemoved:
		e.lockFleet(func() { e.instanceUnlisted(now, c.ID, row.Version) })
	case *catalog.ConfigurationChange:
		e.fleetMu.Lock()
		e.configuration.listed = c.Configuration.Version
		e.fleetMu.Unlock()
		e.applyConfiguration(now, row, c)
	default:
		if listed, ok := change.(*catalog.ServerChange); ok {
			e.lockFleet(func() {
				if !e.outdated(&listed.Server) {
					e.serverEntries[listed.Server.ID] = newServerEntry(now, &listed.Server, e.serverEntries[listed.Server.ID])
				}
			})
		}
		e.post(&dispatch.CatalogChanged{At: now, Change: change})
	}
}

func (e *Edge) applyConfiguration(now model.Instant, row follow.Row, c *catalog.ConfigurationChange) {
	e.lockFleet(func() { e.configuration.observe(row, c.Configuration) })
	for _, unknown := range c.Configuration.Unknown {
		e.invalid.part(e.options.Tables.Operator, row.Key, unknown)
	}
	for _, err := range e.unknownHomeRegions(c.Configuration) {
		e.invalid.part(e.options.Tables.Operator, row.Key, err)
	}
	e.post(&dispatch.CatalogChanged{At: now, Change: c})
	if !e.configured.Swap(true) {
		e.announceReady()
	}
}
