package runtime

import (
	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
)

// stops returns the active planned stops with the number of requests that each
// still has in flight on this instance.
func (r *Runtime) stops() []control.Stop {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopsLocked()
}

// stopsLocked is like stops. The caller holds r.mu.
func (r *Runtime) stopsLocked() []control.Stop {
	revision := r.activeRevision.Load()
	if revision == nil || len(revision.Stops) == 0 {
		return nil
	}
	servers := r.reducer.Servers(r.clock.now())
	zones := r.view.Load().zones()
	regions := lo.SliceToMap(zones, func(z config.Zone) (model.ZoneName, model.RegionName) { return z.Name, z.Region })
	return lo.Map(revision.Stops, func(s config.Stop, _ int) control.Stop {
		out := control.NewStop(s)
		out.InFlight = r.countInFlight(s, servers, regions)
		if at, drained := r.drainedAt[s.ID]; drained {
			out.DrainedAt = at.Time()
		}
		return out
	})
}

// countInFlight counts the requests in flight that a planned stop covers: those on
// owned servers, or all of this instance.
func (r *Runtime) countInFlight(s config.Stop, servers []reducer.ServerState, regions map[model.ZoneName]model.RegionName) int {
	if s.Scope == config.StopInstance {
		if s.Target != string(r.self) {
			return 0
		}
		calls, offers := r.reducer.InFlight()
		return calls + offers
	}
	covered := lo.Filter(servers, func(server reducer.ServerState, _ int) bool { return covers(s, server.Backend, regions) })
	return lo.SumBy(covered, func(server reducer.ServerState) int { return server.InUse })
}

func covers(s config.Stop, b config.Backend, regions map[model.ZoneName]model.RegionName) bool {
	switch s.Scope {
	case config.StopBackend:
		return s.Target == string(b.Name)
	case config.StopZone:
		return s.Target == string(b.Zone)
	case config.StopRegion:
		return s.Target == string(regions[b.Zone])
	default:
		return false
	}
}

// recordDrainedStops records when each planned stop has no request in flight on
// this instance any more, and removes cancelled stops. The caller holds r.mu.
func (r *Runtime) recordDrainedStops(now model.Instant) {
	stops := r.stopsLocked()
	active := make(map[string]bool, len(stops))
	for _, s := range stops {
		active[s.ID] = true
		if _, drained := r.drainedAt[s.ID]; drained || s.InFlight > 0 {
			continue
		}
		r.drainedAt[s.ID] = now
		if r.affectsSelf(s) {
			took := now.Time().Sub(s.At).String()
			r.record(event.JournalEntry{At: now, Subject: s.Target, Message: "drained", Reason: "planned stop " + s.ID + ", nothing is in flight here after " + took})
		}
	}
	for id := range r.drainedAt {
		if !active[id] {
			delete(r.drainedAt, id)
		}
	}
}

// affectsSelf reports whether a planned stop affects this instance, its owned
// servers or its zone. A stop of any region is taken to
// affect this instance.
func (r *Runtime) affectsSelf(s control.Stop) bool {
	switch s.Scope {
	case config.StopInstance:
		return s.Target == string(r.self)
	case config.StopBackend:
		for _, server := range r.reducer.Servers(r.clock.now()) {
			if s.Target == string(server.Backend.Name) {
				return true
			}
		}
		return false
	default:
		return s.Target == string(r.options.Reducer.Self.Zone) || s.Scope == config.StopRegion
	}
}
