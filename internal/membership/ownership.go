package membership

import (
	"slices"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ownership is this instance's view of which instance owns which backend server.
type ownership struct {
	dirty       bool
	textChanged bool // the configuration text changed
	backends    []config.Backend
	hashes      []uint64
	index       map[model.BackendName]int
	zones       []zoneBackends
	owners      []*member // owner of each backend server, nil for none
	owning      bool      // result of Group.owning at the last update
	owned       []model.BackendName
	groups      map[ownerKey]*ownerGroup
	groupsStale bool   // groups does not reflect owners
	weights     uint64 // digest of the weight steps used to assign owners
}

// zoneBackends holds the backend servers of one zone and the candidates from which
// their owners were last selected.
type zoneBackends struct {
	zone       model.ZoneName
	backends   []int // indices in ownership.backends
	candidates []*member
}

func (o *ownership) init() {
	o.index = map[model.BackendName]int{}
	o.groups = map[ownerKey]*ownerGroup{}
}

func (o *ownership) configure(text *config.Text) {
	o.backends = text.Backends
	o.hashes = make([]uint64, len(o.backends))
	o.owners = make([]*member, len(o.backends))
	o.index = make(map[model.BackendName]int, len(o.backends))
	for i := range o.backends {
		name := o.backends[i].Name
		o.hashes[i] = xxh3.HashString(string(name))
		o.index[name] = i
	}
	byZone := lo.GroupBy(lo.Range(len(o.backends)), func(i int) model.ZoneName { return o.backends[i].Zone })
	o.zones = nil
	for _, zone := range sortedNames(lo.Keys(byZone)) {
		o.zones = append(o.zones, zoneBackends{zone: zone, backends: byZone[zone]})
	}
	o.dirty = true
	o.textChanged = true
	o.groupsStale = true
}

// updateOwnership reassigns the owners if their inputs have changed.
func (g *Group) updateOwnership() {
	o := &g.ownership
	if g.settings.Ownership == ByUptime && o.weights != g.weightDigest() {
		o.dirty = true
	}
	owning := g.owning()
	if !o.dirty && owning == o.owning {
		return
	}
	changed := owning != o.owning || o.textChanged
	if o.dirty {
		changed = g.assign() || changed
	}
	o.dirty = false
	o.textChanged = false
	o.owning = owning
	if !changed {
		return
	}
	o.owned = g.ownedBackends()
	g.generation++
	g.out.OwnershipChanged = true
}

// assign reassigns the owners in every zone whose candidates or weights changed and
// reports whether any owner changed.
func (g *Group) assign() bool {
	o := &g.ownership
	weights := g.weightDigest()
	weightsChanged := weights != o.weights
	o.weights = weights
	changed := false
	for i := range o.zones {
		z := &o.zones[i]
		candidates := g.candidates(z.zone)
		if !weightsChanged && slices.Equal(candidates, z.candidates) {
			continue
		}
		z.candidates = candidates
		changed = g.assignZone(z) || changed
	}
	o.groupsStale = o.groupsStale || changed
	return changed
}

func (g *Group) assignZone(z *zoneBackends) bool {
	o := &g.ownership
	changed := false
	for _, i := range z.backends {
		owner := ownerOf(o.hashes[i], z.candidates, g.settings.Ownership, g.now)
		changed = changed || owner != o.owners[i]
		o.owners[i] = owner
	}
	return changed
}

func (g *Group) weightDigest() uint64 {
	if g.settings.Ownership != ByUptime {
		return 0
	}
	var digest uint64
	for _, m := range g.order {
		if m.ready() {
			digest = digest*31 + uint64(weightStep(m.record.StartedAt, g.now))
		}
	}
	return digest
}

// candidates returns the instances that may own backend servers of a zone: its ready
// instances or, if it has none or is cut off, those of the other zones of its
// region.
func (g *Group) candidates(zone model.ZoneName) []*member {
	zoneMembers := g.inZone(zone, (*member).ready)
	if len(zoneMembers) > 0 && !g.zoneCutOff(zone) {
		return zoneMembers
	}
	region, ok := g.regions[zone]
	if !ok {
		return nil
	}
	var list []*member
	for _, m := range g.order {
		other := m.record.Zone
		if m.ready() && other != zone && g.regions[other] == region && !g.zoneCutOff(other) {
			list = append(list, m)
		}
	}
	return list
}

func (g *Group) ownedBackends() []model.BackendName {
	if !g.ownership.owning {
		return nil
	}
	var owned []model.BackendName
	for i, owner := range g.ownership.owners {
		if owner == g.self {
			owned = append(owned, g.ownership.backends[i].Name)
		}
	}
	slices.Sort(owned)
	return owned
}

// Owned returns the names of the backend servers that this instance owns, sorted.
// The slice must not be modified.
func (g *Group) Owned() []model.BackendName { return g.ownership.owned }

// Owner returns the owner of a backend server, or false if it has none.
func (g *Group) Owner(backend model.BackendName) (model.InstanceID, bool) {
	i, ok := g.ownership.index[backend]
	if !ok || g.ownership.owners[i] == nil {
		return "", false
	}
	return g.ownership.owners[i].record.ID, true
}
