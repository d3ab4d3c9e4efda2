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

// readState is how the reads of one table go.
type readState struct {
	known   bool
	freshAt model.Instant // last success, from the store or a peer
	failed  bool
}

// Version implements follow.Sink.
func (e *Edge) Version(table string) int64 {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	return e.cache.Version(table)
}

// Due implements follow.Sink.
func (e *Edge) Due(string) bool { return true }

// Tried implements follow.Sink.
func (e *Edge) Tried(table string, err error) {
	now := e.clock.now()
	e.fleetMu.Lock()
	state := e.reads[table]
	changed := state.failed != (err != nil)
	state.failed = err != nil
	if err == nil {
		state.freshAt = now
	}
	e.reads[table] = state
	e.fleetMu.Unlock()
	if changed && err != nil {
		e.log.WithField("table", table).WithError(err).Warn("store lost")
	} else if changed {
		e.log.WithField("table", table).Info("store regained")
	}
	if table == e.options.Tables.Servers {
		e.post(&dispatch.StoreTried{At: now, OK: err == nil})
	}
}

// Apply implements follow.Sink: it takes over what the store or a peer says.
func (e *Edge) Apply(b follow.Batch) {
	now := e.clock.now()
	e.fleetMu.Lock()
	changed := e.cache.Apply(b)
	state := e.reads[b.Table]
	first := !state.known
	state.known = true
	e.reads[b.Table] = state
	e.group.SetRevision(e.stateVersion())
	e.fleetMu.Unlock()
	for _, row := range changed {
		e.applyRow(now, b.Table, row)
	}
	if first && b.Table != e.options.Tables.Instances {
		e.followed.Add(1)
	}
	if b.Table == e.options.Tables.Instances && len(changed) > 0 {
		e.instancesChanged(now)
	}
}

// stateVersion is a number that grows with what is known of the store.
func (e *Edge) stateVersion() int64 {
	return e.cache.Version(e.options.Tables.Operator) + e.cache.Version(e.options.Tables.Servers)
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

// staleAfter is the age of a table beyond which peers are asked for it.
const staleAfter = 1500 * time.Millisecond

// stateTimeout bounds one question to a peer.
const stateTimeout = time.Second

// fetchState asks a peer that knows more of the store, where this instance has not
// been able to read it lately.
func (e *Edge) fetchState(peer model.InstanceID) {
	now := e.clock.now()
	stale := false
	known := &linkpb.StateRequest{}
	e.fleetMu.Lock()
	for _, table := range []string{e.options.Tables.Operator, e.options.Tables.Servers} {
		stale = stale || now.Sub(e.reads[table].freshAt) > staleAfter
		known.Known = append(known.Known, &linkpb.TableVersion{Table: table, Version: e.cache.Version(table)})
	}
	e.fleetMu.Unlock()
	if !stale || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.tasks.Go(func() {
		defer e.fetching.Store(false)
		state, err := e.links.State(peer, known, stateTimeout)
		if err != nil {
			e.log.WithField("peer", peer).WithError(err).Debug("no state from peer")
			return
		}
		if state.GetSettled() {
			e.post(&dispatch.StoreVouched{At: e.clock.now()})
		}
		for _, t := range state.GetTables() {
			e.Apply(batchFromProto(t))
		}
	})
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
	for _, known := range request.GetKnown() {
		b := e.cache.Since(known.GetTable(), known.GetVersion())
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
