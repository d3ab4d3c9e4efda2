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
	return e.replica.ReadVersion(table)
}

// staleAfter is the age of a table beyond which the store is read by instances that
// otherwise leave that to peers: with a call, a retry and a busy instance it stays
// within 2.5 s.
const staleAfter = 900 * time.Millisecond

// Due implements follow.Sink: few instances of a region read the store, the others
// only where those do not keep them up to date.
func (e *Edge) Due(table string) bool {
	now := e.clock.now()
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	return e.readsStore() || e.replica.Age(now, table) > staleAfter
}

// readersPerRegion is how many instances of a region read the store.
const readersPerRegion = 1

// readsStore reports whether this instance is one of its region's readers: the first
// by identifier of those that are ready.
func (e *Edge) readsStore() bool {
	before := 0
	for _, record := range e.usableInstances() {
		near := e.options.Regions[record.Zone] == e.options.Region
		if near && record.ID < e.options.Self.ID {
			before++
		}
	}
	return before < readersPerRegion
}

// Tried implements follow.Sink.
func (e *Edge) Tried(table string, err error) {
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
		e.post(&dispatch.StoreTried{At: now, OK: err == nil})
	}
}

// Apply implements follow.Sink: it takes over what the store says.
func (e *Edge) Apply(b follow.Batch) {
	now := e.clock.now()
	e.absorb(now, b.Table, func() []follow.Row { return e.replica.Read(now, b) })
}

// absorb takes over the rows by which a batch changes the replica.
func (e *Edge) absorb(now model.Instant, table string, change func() []follow.Row) {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	e.fleetMu.Lock()
	changed := change()
	first := !e.known[table]
	e.known[table] = true
	e.group.SetRevision(e.replica.Revision())
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
	if known && !listed.Server.SaysMore(&old) {
		return false
	}
	e.entries[id] = listed.Server
	return true
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
	e.hearOfStore(state.GetSettled())
	fresh := asked.Add(-time.Duration(state.GetAgeNs()))
	for _, t := range state.GetTables() {
		b := batchFromProto(t)
		e.absorb(e.clock.now(), b.Table, func() []follow.Row { return e.replica.Learn(fresh, b) })
	}
}

// hearOfStore takes a peer's word on the store: whether what is missing from it has
// been removed, or may have expired in an outage.
func (e *Edge) hearOfStore(settled bool) {
	now := e.clock.now()
	if settled {
		e.post(&dispatch.StoreVouched{At: now})
	} else {
		e.post(&dispatch.StoreTried{At: now, OK: false})
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

func (e *Edge) storeSettled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.StoreSettled(e.clock.now())
}

// State implements link.Events.
func (e *Edge) State(request *linkpb.StateRequest) *linkpb.State {
	state := &linkpb.State{Settled: e.storeSettled()}
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	state.AgeNs = int64(e.replica.OldestAge(e.clock.now()))
	for _, known := range request.GetKnown() {
		b := e.replica.Since(known.GetTable(), known.GetVersion())
		if b.Version <= known.GetVersion() {
			continue
		}
		state.Tables = append(state.Tables, &linkpb.TableState{
			Table:   b.Table,
			Version: b.Version,
			Full:    b.Full,
			Rows: lo.Map(b.Rows, func(r follow.Row, _ int) *linkpb.TableRow {
				return &linkpb.TableRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
			}),
		})
	}
	return state
}
