package membership

import (
	"slices"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ownership is who owns which backend server by this instance's view.
type ownership struct {
	dirty    bool
	replaced bool // the text is new
	backends []config.Backend
	hashes   []uint64
	index    map[model.BackendName]int
	zones    []zoneBackends
	owners   []*member // of each backend server, nil for none
	owning   bool      // this instance used its share when it was last worked out
	owned    []model.BackendName
	groups   map[ownerKey]*ownerGroup
	regroup  bool   // groups is older than owners
	weights  uint64 // digest of the weight steps that owners were worked out with
}

// zoneBackends is the backend servers of one zone and the candidates that their
// owners were last picked from.
type zoneBackends struct {
	zone       model.ZoneName
	backends   []int
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
	o.replaced = true
	o.regroup = true
}

// updateOwnership works the owners out again where something they depend on
// changed.
func (g *Group) updateOwnership() {
	o := &g.ownership
	if g.settings.Ownership == ByUptime && o.weights != g.weightDigest() {
		o.dirty = true
	}
	owning := g.owning()
	if !o.dirty && owning == o.owning {
		return
	}
	changed := owning != o.owning || o.replaced
	if o.dirty {
		changed = g.assign() || changed
	}
	o.dirty = false
	o.replaced = false
	o.owning = owning
	if !changed {
		return
	}
	o.owned = g.ownShare()
	g.generation++
	g.out.OwnershipChanged = true
}

// assign works out the owners of every zone whose candidates changed and
// reports whether any did.
func (g *Group) assign() bool {
	o := &g.ownership
	weights := g.weightDigest()
	reweighed := weights != o.weights
	o.weights = weights
	changed := false
	for i := range o.zones {
		z := &o.zones[i]
		candidates := g.candidates(z.zone)
		if !reweighed && slices.Equal(candidates, z.candidates) {
			continue
		}
		z.candidates = candidates
		changed = g.assignZone(z) || changed
	}
	o.regroup = o.regroup || changed
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

// candidates lists the instances that may own backend servers of a zone: its
// own, or, where it has none, those of its region.
func (g *Group) candidates(zone model.ZoneName) []*member {
	own := g.inZone(zone, (*member).ready)
	if len(own) > 0 && !g.zoneCut(zone) {
		return own
	}
	region, ok := g.regions[zone]
	if !ok {
		return nil
	}
	var list []*member
	for _, m := range g.order {
		other := m.record.Zone
		if m.ready() && other != zone && g.regions[other] == region && !g.zoneCut(other) {
			list = append(list, m)
		}
	}
	return list
}

func (g *Group) ownShare() []model.BackendName {
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

// Owned lists the backend servers that this instance owns now, by name. The
// list must not be changed.
func (g *Group) Owned() []model.BackendName { return g.ownership.owned }

// Owner returns the owner of a backend server, false where it has none.
func (g *Group) Owner(backend model.BackendName) (model.InstanceID, bool) {
	i, ok := g.ownership.index[backend]
	if !ok || g.ownership.owners[i] == nil {
		return "", false
	}
	return g.ownership.owners[i].record.ID, true
}
