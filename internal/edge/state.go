package edge

import (
	"time"

	"github.com/samber/lo"

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

// Due implements follow.Sink: few instances of a region read the store, the others
// only where those do not keep them up to date.
func (e *Edge) Due(table string) bool {
	if answers := e.answers.Load(); answers == nil || answers.reads {
		return true
	}
	now := e.clock.now()
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	return e.replica.Age(now, table) > e.staleAfter(table)
}

// Tried implements follow.Sink.
func (e *Edge) Tried(table string, started time.Time, err error) {
	now := e.clock.now()
	e.fleetMu.Lock()
	changed := e.failed[table] != (err != nil)
	e.failed[table] = err != nil
	e.fleetMu.Unlock()
	result := "read"
	if err != nil {
		result = "failed"
	}
	e.metrics.reads.WithLabelValues(table, result).Inc()
	if changed && err != nil {
		e.log.WithField("table", table).WithError(err).Warn("store lost")
	} else if changed {
		e.log.WithField("table", table).Info("store regained")
	}
	if table == e.options.Tables.Servers {
		e.post(&dispatch.StoreTried{At: now, Started: e.clock.at(started), OK: err == nil})
	}
}

// Apply implements follow.Sink: it takes over what the store says.
func (e *Edge) Apply(fresh time.Time, b follow.Batch) {
	at := e.clock.at(fresh)
	e.absorb(e.clock.now(), b.Table, func() []follow.Row {
		e.group.Hurry() // peers learn how recent this copy is
		return e.replica.Read(at, b)
	})
}

// absorb takes over the rows by which a batch changes the replica.
func (e *Edge) absorb(now model.Instant, table string, change func() []follow.Row) {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	e.fleetMu.Lock()
	changed := change()
	first := !e.known[table]
	e.known[table] = true
	if len(changed) > 0 {
		e.group.Hurry()
	}
	e.fleetMu.Unlock()
	for _, row := range changed {
		e.applyRow(now, table, row)
	}
	if first && table != e.options.Tables.Instances {
		e.followed.Add(1)
	}
	if table == e.options.Tables.Instances && len(changed) > 0 {
		e.instancesChanged(now)
	}
}

// matters reports whether peers are told of a row: every one but the heartbeats of
// backend servers.
func (e *Edge) matters(table string, row follow.Row) bool {
	if table != e.options.Tables.Servers {
		return true
	}
	id := model.BackendName(row.Key)
	change, err := e.options.Decode(table, row)
	listed, ok := change.(*catalog.ServerChange)
	if err != nil || !ok {
		delete(e.entries, id)
		return true
	}
	old, known := e.entries[id]
	return !known || listed.Server.SaysMore(&old)
}

func (e *Edge) applyRow(now model.Instant, table string, row follow.Row) {
	change, err := e.options.Decode(table, row)
	if err != nil {
		e.log.WithError(err).Debug("row not used")
		return
	}
	switch c := change.(type) {
	case nil:
	case *catalog.InstanceChange:
		e.fleetMu.Lock()
		e.listed[c.Instance.ID] = listedInstance{entry: c.Instance, version: row.Version}
		e.fleetMu.Unlock()
	case *catalog.InstanceGone:
		e.fleetMu.Lock()
		delete(e.listed, c.ID)
		e.fleetMu.Unlock()
	default:
		if listed, ok := change.(*catalog.ServerChange); ok {
			e.fleetMu.Lock()
			e.entries[listed.Server.ID] = listed.Server
			e.fleetMu.Unlock()
		}
		e.post(&dispatch.CatalogChanged{At: now, Change: change})
	}
}

// stateTimeout bounds one question to a peer.
const stateTimeout = time.Second

// fetchState asks a peer for what it knows more of the store.
func (e *Edge) fetchState(peer model.InstanceID) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	defer e.fetching.Store(false)
	asked := e.clock.now()
	request := &linkpb.StateRequest{}
	e.fleetMu.Lock()
	for table, version := range e.replica.Known() {
		request.Known = append(request.Known, &linkpb.TableVersion{Table: table, Version: version})
	}
	e.fleetMu.Unlock()
	state, err := e.links.State(peer, request, stateTimeout)
	if err != nil {
		e.log.WithField("peer", peer).WithError(err).Debug("no state from peer")
		return
	}
	e.hearOfStore(asked, state)
	for _, t := range state.GetTables() {
		b := batchFromProto(t)
		fresh := asked.Add(-time.Duration(t.GetAgeNs()))
		e.absorb(e.clock.now(), b.Table, func() []follow.Row { return e.replica.Learn(fresh, b) })
	}
}

// hearOfStore takes a peer's word on the store: whether what is missing from it has
// been removed, or may have expired in an outage.
func (e *Edge) hearOfStore(asked model.Instant, state *linkpb.State) {
	for _, t := range state.GetTables() {
		if t.GetTable() != e.options.Tables.Servers || t.GetVersion() == 0 {
			continue
		}
		// Of two ages by the same clock, the reading of this table was settled if a
		// settled one is as recent.
		settled := state.GetSettledAgeNs()
		if settled > 0 && settled <= t.GetAgeNs() {
			e.post(&dispatch.StoreVouched{At: asked.Add(-time.Duration(settled))})
		} else {
			e.post(&dispatch.StoreDoubted{At: asked.Add(-time.Duration(t.GetAgeNs()))})
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

// settledAge is how long ago the store was read by an instance for which it had not
// failed lately, 0 for unknown.
func (e *Edge) settledAge(now model.Instant) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.dispatcher.StoreSettledAt()
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
	state := &linkpb.State{SettledAgeNs: int64(e.settledAge(now))}
	for _, known := range request.GetKnown() {
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

// digestFor describes what is known of the store for a peer.
func (e *Edge) digestFor(now model.Instant, peer model.InstanceID) *linkpb.StateDigest {
	echo, held := e.echoes.Return(now, peer)
	return &linkpb.StateDigest{
		SentNs:       int64(now),
		EchoNs:       echo,
		HeldNs:       int64(held),
		SettledAgeNs: int64(e.settledAge(now)),
		Tables: lo.Map(e.replica.Digests(), func(d follow.Digest, _ int) *linkpb.TableDigest {
			return &linkpb.TableDigest{Table: d.Table, Complete: d.Complete, Changed: d.Changed, AgeNs: int64(now.Sub(d.Fresh))}
		}),
	}
}

// forwardFrom is how much fresher a confirmed copy must have become for peers to be
// told at once rather than with the next heartbeat.
const forwardFrom = 300 * time.Millisecond

// digestReceived compares a peer's digest with the own copy, and asks the peer for what
// changed where it knows more. The caller holds fleetMu.
func (e *Edge) digestReceived(now model.Instant, from model.InstanceID, digest *linkpb.StateDigest) {
	if digest == nil {
		return
	}
	e.echoes.Heard(now, from, digest.GetSentNs())
	sent, known := follow.SentNoEarlierThan(digest.GetEchoNs(), time.Duration(digest.GetHeldNs()))
	if !known || digest.GetEchoNs() < e.options.Self.Started || sent > now {
		return // no echo, or one of an earlier process with this identifier and its clock
	}
	if settled := digest.GetSettledAgeNs(); settled > 0 {
		e.post(&dispatch.StoreVouched{At: sent.Add(-time.Duration(settled))})
	}
	lacks := false
	for _, t := range digest.GetTables() {
		before := e.replica.FreshAt(t.GetTable())
		confirmed := e.replica.Confirm(follow.Digest{
			Table:    t.GetTable(),
			Complete: t.GetComplete(),
			Changed:  t.GetChanged(),
			Fresh:    sent.Add(-time.Duration(t.GetAgeNs())),
		})
		lacks = lacks || !confirmed
		if e.replica.FreshAt(t.GetTable()).Sub(before) >= forwardFrom {
			e.group.Hurry()
		}
	}
	if lacks {
		e.tasks.Go(func() { e.fetchState(from) })
	}
}
