package edge

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

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
	e.lockFleet(func() {
		for table, version := range e.replica.Versions() {
			request.Known = append(request.Known, &linkpb.TableVersion{Table: table, Version: version})
		}
		request.Known = append(request.Known, &linkpb.TableVersion{Table: configurationTable, Version: e.configuration.version})
		if !e.departuresKnown {
			request.Known = append(request.Known, &linkpb.TableVersion{Table: departuresTable})
		}
	})
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
		e.background(contain.Link, func() { e.fetchState(from) })
	}
}
