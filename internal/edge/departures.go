package edge

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// departuresTable is the table name under which instances exchange which servers had left
// before the store was restored from a copy. A key is an incarnation, a version its latest
// known sequence number; the age is the time since the restore.
const departuresTable = "departures"

// departures returns the servers that had left, for a peer that has started since.
func (e *Edge) departures(now model.Instant) *linkpb.TableState {
	e.mu.Lock()
	defer e.mu.Unlock()
	list, age := e.dispatcher.Departures(now)
	return &linkpb.TableState{
		Table: departuresTable,
		AgeNs: int64(age),
		Rows: lo.Map(list, func(d dispatch.Departure, _ int) *linkpb.TableRow {
			return &linkpb.TableRow{Key: d.Incarnation, Version: d.Sequence}
		}),
	}
}

// applyPeerDepartures applies a peer's answer to a request that was sent at the given time.
func (e *Edge) applyPeerDepartures(asked model.Instant, state *linkpb.TableState) {
	if len(state.GetRows()) == 0 {
		return
	}
	e.fleetMu.Lock()
	e.departuresKnown = true
	e.fleetMu.Unlock()
	e.post(&dispatch.DeparturesLearned{
		At:         e.clock.now(),
		RestoredAt: asked.Add(-time.Duration(state.GetAgeNs())),
		Departed: lo.Map(state.GetRows(), func(r *linkpb.TableRow, _ int) dispatch.Departure {
			return dispatch.Departure{Incarnation: r.GetKey(), Sequence: r.GetVersion()}
		}),
	})
}
