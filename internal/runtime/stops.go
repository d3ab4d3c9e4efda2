package runtime

import (
	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
)

// stops describes the planned stops in force and what they still have in flight
// here.
func (r *Runtime) stops() []control.Stop {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopsInForce()
}

// stopsInForce is stops under the lock.
func (r *Runtime) stopsInForce() []control.Stop {
	revision := r.source.Load()
	if revision == nil || len(revision.Stops) == 0 {
		return nil
	}
	servers := r.reducer.Servers(r.clock.now())
	zones := r.view.Load().zones()
	regions := lo.SliceToMap(zones, func(z config.Zone) (model.ZoneName, model.RegionName) { return z.Name, z.Region })
	return lo.Map(revision.Stops, func(s config.Stop, _ int) control.Stop {
		out := control.StopOf(s)
		out.InFlight = r.inFlightOf(s, servers, regions)
		if at, drained := r.drained[s.ID]; drained {
			out.DrainedAt = at.Time()
		}
		return out
	})
}

// inFlightOf counts what is in flight here on what a planned stop covers: on
// owned servers, or in the instance itself.
func (r *Runtime) inFlightOf(s config.Stop, servers []reducer.ServerState, regions map[model.ZoneName]model.RegionName) int {
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

// watchStops notes when each planned stop has nothing in flight here any more,
// and forgets the cancelled ones. It runs under the lock.
func (r *Runtime) watchStops(now model.Instant) {
	stops := r.stopsInForce()
	inForce := make(map[string]bool, len(stops))
	for _, s := range stops {
		inForce[s.ID] = true
		if _, drained := r.drained[s.ID]; drained || s.InFlight > 0 {
			continue
		}
		r.drained[s.ID] = now
		if r.concerns(s) {
			took := now.Time().Sub(s.At).String()
			r.record(event.JournalEntry{At: now, Subject: s.Target, What: "drained", Why: "planned stop " + s.ID + ", nothing is in flight here after " + took})
		}
	}
	for id := range r.drained {
		if !inForce[id] {
			delete(r.drained, id)
		}
	}
}

// concerns reports whether this instance has a part in a planned stop.
func (r *Runtime) concerns(s control.Stop) bool {
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
