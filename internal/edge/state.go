package edge

import (
	"errors"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
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
	e.fleetMu.Lock()
	previous := e.replica.Version(table)
	changed := update()
	version := e.replica.Version(table)
	firstBatch := !e.loaded[table]
	e.loaded[table] = true
	if len(changed) > 0 {
		e.group.ScheduleMessages()
	}
	e.fleetMu.Unlock()
	if previous > 0 && follow.Epoch(version) > follow.Epoch(previous) {
		e.storeRestored(now, table, previous, version)
	}
	for _, row := range changed {
		e.applyRow(now, table, row)
	}
	if firstBatch && table != e.options.Tables.Instances {
		e.loadedTables.Add(1)
		e.fleetMu.Lock()
		e.publishLookups(false)
		e.fleetMu.Unlock()
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
}

// forwardedToPeers reports whether a row is sent to peers: every row except heartbeats of
// backend servers that change nothing else, and entries that are older than what is known of
// the server. A row that changes after minLapseTime counts, since a peer may know of a removal
// that this instance has not seen. It removes the known entry of a server whose row was
// deleted or cannot be decoded. The caller must hold fleetMu.
func (e *Edge) forwardedToPeers(table string, row follow.Row) bool {
	if table != e.options.Tables.Servers {
		return true
	}
	id := model.BackendName(row.Key)
	change, err := e.options.Decode(table, row)
	listed, ok := change.(*catalog.ServerChange)
	if err != nil || !ok {
		delete(e.serverEntries, id)
		return true
	}
	old, known := e.serverEntries[id]
	return !e.outdated(&listed.Server) && (!known || listed.Server.DiffersBeyondHeartbeat(&old.Server) || e.clock.now().Sub(old.changedAt) >= minLapseTime)
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

func (e *Edge) applyRow(now model.Instant, table string, row follow.Row) {
	change, err := e.options.Decode(table, row)
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
		e.fleetMu.Lock()
		e.instanceUnlisted(now, c.ID, row.Version)
		e.fleetMu.Unlock()
	case *catalog.ConfigurationChange:
		e.fleetMu.Lock()
		e.configuration.listed = c.Configuration.Version
		e.fleetMu.Unlock()
		e.applyConfiguration(now, row, c)
	default:
		if listed, ok := change.(*catalog.ServerChange); ok {
			e.fleetMu.Lock()
			if !e.outdated(&listed.Server) {
				e.serverEntries[listed.Server.ID] = serverEntry{Server: listed.Server, changedAt: now}
			}
			e.fleetMu.Unlock()
		}
		e.post(&dispatch.CatalogChanged{At: now, Change: change})
	}
}

func (e *Edge) applyConfiguration(now model.Instant, row follow.Row, c *catalog.ConfigurationChange) {
	e.fleetMu.Lock()
	e.configuration.observe(row, c.Configuration)
	e.fleetMu.Unlock()
	for _, unknown := range c.Configuration.Unknown {
		e.invalid.row(e.options.Tables.Operator, row.Key, unknown)
	}
	e.post(&dispatch.CatalogChanged{At: now, Change: c})
}

// stateTimeout is the timeout of one state request to a peer.
const stateTimeout = time.Second

// fetchState asks a peer for the changes in the store that this instance lacks. Only one
// request is in flight at a time.
func (e *Edge) fetchState(peer model.InstanceID) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	defer e.fetching.Store(false)
	asked, state, err := e.requestState(peer, stateTimeout)
	if err != nil {
		return
	}
	e.applyPeerState(asked, state)
}

// requestState returns the changes in the store that a peer knows and this instance lacks,
// and when they were requested.
func (e *Edge) requestState(peer model.InstanceID, timeout time.Duration) (model.Instant, *linkpb.State, error) {
	asked := e.clock.now()
	request := &linkpb.StateRequest{}
	e.fleetMu.Lock()
	for table, version := range e.replica.Versions() {
		request.Known = append(request.Known, &linkpb.TableVersion{Table: table, Version: version})
	}
	request.Known = append(request.Known, &linkpb.TableVersion{Table: configurationTable, Version: e.configuration.version})
	if !e.departuresKnown {
		request.Known = append(request.Known, &linkpb.TableVersion{Table: departuresTable})
	}
	e.fleetMu.Unlock()
	state, err := e.links.State(peer, request, timeout)
	if err != nil {
		e.log.WithField("peer", peer).WithError(err).Debug("failed to fetch state from peer")
	}
	return asked, state, err
}

// applyPeerState applies a peer's answer to a state request that was sent at the given time.
func (e *Edge) applyPeerState(asked model.Instant, state *linkpb.State) {
	e.notePeerReads(asked, state)
	for _, t := range state.GetTables() {
		switch t.GetTable() {
		case configurationTable:
			e.applyPeerConfiguration(e.clock.now(), t)
			continue
		case departuresTable:
			e.applyPeerDepartures(asked, t)
			continue
		}
		if t.GetVersion() == 0 {
			continue // the peer does not know the table
		}
		b := batchFromProto(t)
		freshAt := asked.Add(-time.Duration(t.GetAgeNs()))
		e.applyBatch(e.clock.now(), b.Table, func() []follow.Row { return e.replica.ApplyPeerBatch(freshAt, b) })
	}
}

// notePeerReads reports a peer's reads of the servers' table to the dispatcher: whether
// servers missing from the store have been removed, or may have expired during an outage.
func (e *Edge) notePeerReads(asked model.Instant, state *linkpb.State) {
	for _, t := range state.GetTables() {
		if t.GetTable() != e.options.Tables.Servers || t.GetVersion() == 0 {
			continue
		}
		// Both ages are measured by the peer's clock. If its last reliable read is at least
		// as recent as its copy of this table, the copy is reliable.
		reliableAge := state.GetSettledAgeNs()
		if reliableAge > 0 && reliableAge <= t.GetAgeNs() {
			e.post(&dispatch.StoreReadConfirmed{At: asked.Add(-time.Duration(reliableAge))})
		} else {
			e.post(&dispatch.StoreReadSuspect{At: asked.Add(-time.Duration(t.GetAgeNs()))})
		}
	}
}

func batchFromProto(t *linkpb.TableState) follow.Batch {
	return follow.Batch{
		Table:   t.GetTable(),
		Version: t.GetVersion(),
		Full:    t.GetFull(),
		Rows: lo.Map(t.GetRows(), func(r *linkpb.TableRow, _ int) follow.Row {
			return follow.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()}
		}),
	}
}

// reliableReadAge returns the time since the store was last read by an instance for which
// it had not failed recently, 0 if unknown.
func (e *Edge) reliableReadAge(now model.Instant) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.dispatcher.ReliableStoreReadAt()
	if at == 0 {
		return 0
	}
	return max(now.Sub(at), 1)
}

// State implements link.Events.
func (e *Edge) State(request *linkpb.StateRequest) *linkpb.State {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	now := e.clock.now()
	state := &linkpb.State{SettledAgeNs: int64(e.reliableReadAge(now))}
	for _, known := range request.GetKnown() {
		switch known.GetTable() {
		case configurationTable:
			state.Tables = append(state.Tables, e.configuration.since(known.GetVersion()))
			continue
		case departuresTable:
			state.Tables = append(state.Tables, e.departures(now))
			continue
		}
		b := e.replica.Since(known.GetTable(), known.GetVersion())
		state.Tables = append(state.Tables, &linkpb.TableState{
			Table:   b.Table,
			Version: b.Version,
			Full:    b.Full,
			AgeNs:   int64(e.replica.Age(now, b.Table)),
			Rows: lo.Map(b.Rows, func(r follow.Row, _ int) *linkpb.TableRow {
				return &linkpb.TableRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
			}),
		})
	}
	return state
}

// digestFor returns the digest of this instance's copy of the store for a peer.
func (e *Edge) digestFor(now model.Instant, peer model.InstanceID) *linkpb.StateDigest {
	echo, held := e.echoes.Echo(now, peer)
	digest := &linkpb.StateDigest{
		SentNs:       int64(now),
		EchoNs:       echo,
		HeldNs:       int64(held),
		SettledAgeNs: int64(e.reliableReadAge(now)),
		Tables: lo.Map(e.replica.Digests(), func(d follow.Digest, _ int) *linkpb.TableDigest {
			return &linkpb.TableDigest{Table: d.Table, Complete: d.Complete, Changed: d.Changed, AgeNs: int64(now.Sub(d.FreshAt))}
		}),
	}
	if newest := e.configuration.digest(); newest != nil {
		digest.Tables = append(digest.Tables, newest)
	}
	if len(e.departures(now).GetRows()) > 0 {
		digest.Tables = append(digest.Tables, &linkpb.TableDigest{Table: departuresTable, Complete: 1, Changed: 1})
	}
	return digest
}

// forwardThreshold is how much more recent a confirmed copy must have become for peers to
// be told at once instead of with the next heartbeat.
const forwardThreshold = 300 * time.Millisecond

// digestReceived compares a peer's digest with this instance's copy and asks the peer for
// changes that are missing here. The caller must hold fleetMu.
func (e *Edge) digestReceived(now model.Instant, from model.InstanceID, digest *linkpb.StateDigest) {
	if digest == nil {
		return
	}
	e.echoes.Received(now, from, digest.GetSentNs())
	sent, known := follow.EarliestSendTime(digest.GetEchoNs(), time.Duration(digest.GetHeldNs()))
	if !known || digest.GetEchoNs() < e.options.Self.StartedNanos || sent > now {
		return // no echo, or the echo of an earlier process with this identifier and another clock
	}
	if reliableAge := digest.GetSettledAgeNs(); reliableAge > 0 {
		e.post(&dispatch.StoreReadConfirmed{At: sent.Add(-time.Duration(reliableAge))})
	}
	incomplete := false
	for _, t := range digest.GetTables() {
		switch t.GetTable() {
		case configurationTable:
			incomplete = incomplete || t.GetChanged() > e.configuration.version
			continue
		case departuresTable:
			incomplete = incomplete || !e.departuresKnown
			continue
		}
		previous := e.replica.FreshAt(t.GetTable())
		confirmed := e.replica.Confirm(follow.Digest{
			Table:    t.GetTable(),
			Complete: t.GetComplete(),
			Changed:  t.GetChanged(),
			FreshAt:  sent.Add(-time.Duration(t.GetAgeNs())),
		})
		incomplete = incomplete || !confirmed
		if e.replica.FreshAt(t.GetTable()).Sub(previous) >= forwardThreshold {
			e.group.ScheduleMessages()
		}
	}
	if incomplete && !(e.inOtherRegion(from) && e.waitsForCopy(now)) {
		e.tasks.Go(func() { e.fetchState(from) })
	}
}
