package membership

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ownership is who owns which backend server by this instance's view.
type ownership struct {
	dirty    bool
	backends []config.Backend
	hashes   []uint64
	index    map[model.BackendName]int
	owners   []*member // of each backend server, nil for none
	owning   bool      // this instance used its share when it was last worked out
	owned    []model.BackendName
	groups   map[ownerKey]*ownerGroup
	weights  uint64 // digest of the weight steps that owners were worked out with
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
	o.dirty = true
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
	changed := owning != o.owning
	if o.dirty {
		changed = g.assign() || changed
	}
	o.dirty = false
	o.owning = owning
	if !changed {
		return
	}
	o.owned = g.ownShare()
	g.generation++
	g.out.OwnershipChanged = true
}

// assign works out the owner of every backend server and reports whether any
// changed.
func (g *Group) assign() bool {
	o := &g.ownership
	o.weights = g.weightDigest()
	candidates := map[model.ZoneName][]*member{}
	changed := false
	for i := range o.backends {
		zone := o.backends[i].Zone
		list, ok := candidates[zone]
		if !ok {
			list = g.candidates(zone)
			candidates[zone] = list
		}
		owner := ownerOf(o.hashes[i], list, g.settings.Ownership, g.now)
		changed = changed || owner != o.owners[i]
		o.owners[i] = owner
	}
	g.groupOwners()
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
