package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ownerRefreshInterval is the maximum age of a cached list of owners and bounds the
// error of Owner.LoadAge.
const ownerRefreshInterval = 50 * time.Millisecond

// Owner is an instance that owns backend servers of one service in one zone.
type Owner struct {
	Instance  model.InstanceID
	Reachable bool // live and not suspected, its zone not cut off, its link (if any) up
	Servers   int  // number of the servers that it owns
	Slots     int  // slots of these servers in the configuration text
	// Load is the load of these servers as last reported by the owner or, if only the
	// zone's summary is known, the owner's share of it.
	Load ServiceLoad
	// LoadAge is the time since Load was last confirmed, negative if no load is known.
	LoadAge time.Duration
	// ReportAge is the time since Load was received, at least LoadAge: a heartbeat confirms
	// a load that has changed little without a new report.
	ReportAge time.Duration
}

// unknownAge is the LoadAge of an Owner without a load, and the Silence of a Peer that
// has sent no message.
const unknownAge = -1

type ownerKey struct {
	service model.ServiceName
	zone    model.ZoneName
}

// ownerGroup holds the owners of one service in one zone. Their loads are refreshed
// on use.
type ownerGroup struct {
	owners     []Owner
	members    []*member
	shares     []float64 // fraction of each owner's slots for the service that is in this zone
	slots      int
	generation uint64
	at         model.Instant
}

// groupOwners groups the owners by service and zone.
func (g *Group) groupOwners() {
	o := &g.ownership
	o.groupsStale = false
	o.groups = map[ownerKey]*ownerGroup{}
	totals := map[totalKey]int{}
	for i, owner := range o.owners {
		if owner == nil {
			continue
		}
		b := &o.backends[i]
		group := o.group(ownerKey{b.Service, b.Zone})
		group.add(owner, b.Slots)
		totals[totalKey{owner, b.Service}] += b.Slots
	}
	for key, group := range o.groups {
		group.sort()
		for i, m := range group.members {
			total := totals[totalKey{m, key.service}]
			group.shares[i] = fraction(group.owners[i].Slots, total)
		}
	}
}

type totalKey struct {
	owner   *member
	service model.ServiceName
}

func (o *ownership) group(key ownerKey) *ownerGroup {
	group, ok := o.groups[key]
	if !ok {
		group = &ownerGroup{}
		o.groups[key] = group
	}
	return group
}

func (og *ownerGroup) add(owner *member, slots int) {
	og.slots += slots
	at := slices.Index(og.members, owner)
	if at < 0 {
		at = len(og.members)
		og.members = append(og.members, owner)
		og.owners = append(og.owners, Owner{Instance: owner.record.ID})
		og.shares = append(og.shares, 0)
	}
	og.owners[at].Servers++
	og.owners[at].Slots += slots
}

func (og *ownerGroup) sort() {
	slices.SortFunc(og.members, byID)
	slices.SortFunc(og.owners, func(a, b Owner) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
}

// Owners returns the owners of a service's servers in a zone, sorted by identifier.
// The slice is valid until the next call and must not be modified.
func (g *Group) Owners(service model.ServiceName, zone model.ZoneName) []Owner {
	if g.ownership.groupsStale {
		g.groupOwners()
	}
	group, ok := g.ownership.groups[ownerKey{service, zone}]
	if !ok {
		return nil
	}
	fresh := group.generation == g.generation && g.now.Sub(group.at) < ownerRefreshInterval && group.at != 0
	if !fresh {
		g.refresh(service, zone, group)
	}
	return group.owners
}

func (g *Group) refresh(service model.ServiceName, zone model.ZoneName, group *ownerGroup) {
	group.generation = g.generation
	group.at = g.now
	for i, m := range group.members {
		owner := &group.owners[i]
		owner.Reachable = g.reachable(m)
		load, age, ok := g.reportedLoad(m, service)
		if ok {
			load = scale(load, group.shares[i])
		} else {
			load, age, ok = g.summaries.load(g, zone, service)
			load = scale(load, fraction(owner.Slots, group.slots))
		}
		if !ok {
			age = unknownAge
		}
		owner.Load = load
		owner.LoadAge = age
		owner.ReportAge = max(age, g.reportAge(m))
	}
}

// reportedLoad returns the load of a service as last reported by m itself and the
// time since it was confirmed, or false if m has reported none.
func (g *Group) reportedLoad(m *member, service model.ServiceName) (ServiceLoad, time.Duration, bool) {
	loads, at := m.record.Loads, m.loadsConfirmedAt
	if m == g.self {
		loads, at = g.loads.current, g.now
	} else if !m.haveLoads {
		return ServiceLoad{}, 0, false
	}
	for i := range loads {
		if loads[i].Service == service {
			return loads[i], g.now.Sub(at), true
		}
	}
	return ServiceLoad{}, 0, false
}

// reportAge returns the time since m's loads were received.
func (g *Group) reportAge(m *member) time.Duration {
	if m == g.self {
		return g.now.Sub(g.loads.takenAt)
	}
	return g.now.Sub(m.loadsReceivedAt)
}

func (g *Group) reachable(m *member) bool {
	if m == g.self {
		return g.owning()
	}
	if !m.live() || g.suspectedLocally(m) || g.zoneCutOff(m.record.Zone) {
		return false
	}
	_, open := g.opened[m.record.ID]
	return !open || g.linkIsUp(m.record.ID)
}

func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func scale(load ServiceLoad, share float64) ServiceLoad {
	if share == 1 {
		return load
	}
	part := func(n int) int { return int(float64(n)*share + 0.5) }
	load.Slots = part(load.Slots)
	load.InUse = part(load.InUse)
	load.SpillInUse = part(load.SpillInUse)
	load.SpillLevel *= share
	for i := range load.Queued {
		load.Queued[i] = part(load.Queued[i])
	}
	return load
}

// ReadyInstances returns the number of live and ready instances of a region.
func (g *Group) ReadyInstances(region model.RegionName) int {
	count := 0
	for _, m := range g.order {
		if m.ready() && g.regions[m.record.Zone] == region {
			count++
		}
	}
	return count
}
