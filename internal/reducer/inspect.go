package reducer

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/steering"
)

// Entry describes an entry instance in the answer to a lookup.
type Entry struct {
	Instance   model.InstanceID
	Zone       model.ZoneName
	Address    string // host:port for callers
	InBestZone bool   // in the zone of the answer's best entry instance
}

// Entries returns the entry instances that callers with the given home zones
// should use, best first.
func (r *Reducer) Entries(home []model.ZoneName) []Entry {
	list := r.group.Entries(home)
	out := make([]Entry, 0, len(list))
	for _, e := range list {
		out = append(out, Entry{
			Instance:   e.Instance,
			Zone:       e.Zone,
			Address:    e.CallerAddr,
			InBestZone: e.Zone == list[0].Zone,
		})
	}
	return out
}

// LinkAddress returns the address at which an instance accepts links, or "" if it
// is unknown.
func (r *Reducer) LinkAddress(id model.InstanceID) string { return r.group.LinkAddress(id) }

// Loads returns the load of the owned servers, summed by service.
func (r *Reducer) Loads(now model.Instant) []membership.ServiceLoad { return r.admission.Loads(now) }

// LinkUses returns the usage of the links to other regions by requests.
func (r *Reducer) LinkUses() []steering.LinkUse { return r.planner.LinkUses() }

// ServerState is the state of an owned backend server.
type ServerState struct {
	Backend config.Backend
	State   health.State
	Limit   int
	InUse   int
}

// Servers returns the states of the owned servers, sorted by name.
func (r *Reducer) Servers(now model.Instant) []ServerState {
	inUse := make(map[model.BackendName]int)
	for _, o := range r.offers {
		if o.hasSlot {
			inUse[o.backend]++
		}
	}
	out := make([]ServerState, 0, len(r.ownedNames))
	for _, name := range r.ownedNames {
		b, ok := r.index.Backend(name)
		if !ok {
			continue
		}
		state, _ := r.health.State(now, name)
		out = append(out, ServerState{Backend: *b, State: state, Limit: r.health.Limit(now, name), InUse: inUse[name]})
	}
	return out
}

// Peers returns the other instances, sorted by identifier.
func (r *Reducer) Peers() []membership.Peer { return r.group.Peers() }

// Self returns this instance's own record.
func (r *Reducer) Self() membership.Record { return r.group.Self() }

// ZoneLoads returns the known loads of the configured services in a zone, in the
// order of the configuration.
func (r *Reducer) ZoneLoads(zone model.ZoneName) []membership.ServiceLoad {
	if r.text == nil {
		return nil
	}
	var out []membership.ServiceLoad
	for _, s := range r.text.Services {
		if load, _, ok := r.group.ZoneLoad(zone, s.Name); ok {
			load.Service = s.Name
			out = append(out, load)
		}
	}
	return out
}

// InFlight returns the numbers of callers' requests and of offers in progress.
func (r *Reducer) InFlight() (calls, offers int) { return len(r.calls), len(r.offers) }

// LeavingFor returns the time since this instance began to leave, or 0 if it is not
// leaving.
func (r *Reducer) LeavingFor(now model.Instant) time.Duration {
	if r.leavingAt == 0 {
		return 0
	}
	return now.Sub(r.leavingAt)
}
