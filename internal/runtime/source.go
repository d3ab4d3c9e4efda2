package runtime

import (
	"context"
	"fmt"
	"strconv"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
)

// Status implements control.Source.
func (r *Runtime) Status(context.Context) control.Status {
	now := r.clock.now()
	zones := r.view.Load().zones()
	var self membership.Record
	var peers []membership.Peer
	var servers []reducer.ServerState
	var owned []membership.ServiceLoad
	var loads [][]membership.ServiceLoad
	r.locked(func() {
		self = r.reducer.Self()
		peers = r.reducer.Peers()
		servers = r.reducer.Servers(now)
		owned = r.reducer.Loads(now)
		loads = lo.Map(zones, func(z config.Zone, _ int) []membership.ServiceLoad { return r.reducer.ZoneLoads(z.Name) })
	})
	status := control.Status{
		Instance:      self.ID,
		Zone:          self.Zone,
		State:         self.State.String(),
		Incarnation:   self.Incarnation,
		At:            now.Time(),
		Configuration: r.configurationStatus(),
		Platform:      r.platformStatus(),
		Peers:         lo.Map(peers, func(p membership.Peer, _ int) control.Peer { return control.NewPeer(now, &p) }),
		Loads:         lo.Map(owned, func(l membership.ServiceLoad, _ int) control.ServiceLoad { return loadStatus(l) }),
		Backends:      lo.Map(servers, func(s reducer.ServerState, _ int) control.Backend { return serverStatus(s) }),
		Stops:         r.stops(),
	}
	for i, z := range zones {
		status.Zones = append(status.Zones, zoneStatus(z, loads[i]))
	}
	return status
}

func (r *Runtime) configurationStatus() control.Configuration {
	revision := r.activeRevision.Load()
	if revision == nil {
		return control.Configuration{}
	}
	return control.Configuration{
		Revision:   revision.Number,
		Hash:       strconv.FormatUint(revision.Hash, 16),
		AcceptedAt: revision.AcceptedAt,
		AdoptedAt:  model.Instant(r.adoptedAt.Load()).Time(),
		Lost:       r.configurationLost.Load(),
	}
}

func (r *Runtime) platformStatus() control.Platform {
	if r.options.PlatformState == nil {
		return control.Platform{}
	}
	return r.options.PlatformState()
}

func serverStatus(s reducer.ServerState) control.Backend {
	out := control.Backend{
		Backend: s.Backend.Name,
		Service: s.Backend.Service,
		Health:  s.State.Condition.String(),
		Limit:   s.Limit,
		Slots:   s.Backend.Slots,
		InUse:   s.InUse,
	}
	if s.Limit < s.Backend.Slots {
		out.LimitReason = string(s.State.Reason)
	}
	return out
}

func zoneStatus(z config.Zone, loads []membership.ServiceLoad) control.ZoneLoad {
	return control.ZoneLoad{
		Zone:     z.Name,
		Region:   z.Region,
		Services: lo.Map(loads, func(l membership.ServiceLoad, _ int) control.ServiceLoad { return loadStatus(l) }),
	}
}

func loadStatus(load membership.ServiceLoad) control.ServiceLoad {
	return control.ServiceLoad{
		Service:    load.Service,
		Slots:      load.Slots,
		InUse:      load.InUse,
		Queued:     control.ByRankOf(load.Queued),
		MeanRun:    load.MeanRun,
		SpillLevel: load.SpillLevel,
		SpillInUse: load.SpillInUse,
	}
}

// Explain implements control.Source.
func (r *Runtime) Explain(_ context.Context, q control.ExplainQuery) control.Explanation {
	found := r.journal.Find(journal.Query{TraceID: q.Request, Subject: q.Subject})
	if q.Request != "" {
		found = append(found, r.inFlight(q.Request)...)
	}
	return control.Explanation{
		Instance: r.self,
		Since:    r.journal.Since().Time(),
		Entries: lo.Map(found, func(e event.JournalEntry, _ int) control.JournalEntry {
			return control.JournalEntry{At: e.At.Time(), Request: e.TraceID, Subject: e.Subject, Event: e.Message, Reason: e.Reason}
		}),
	}
}

// Report implements control.Source.
func (r *Runtime) Report(_ context.Context, q control.ReportQuery) control.Report {
	now := r.clock.now().Time()
	return control.Report{
		Instance: r.self,
		Zone:     r.options.Reducer.Self.Zone,
		At:       now,
		Since:    r.stats.Since(),
		Series:   r.stats.Snapshot(now, q.Window),
	}
}

// String returns a description of the instance for logs.
func (r *Runtime) String() string {
	return fmt.Sprintf("instance %s in zone %s", r.self, r.options.Reducer.Self.Zone)
}
