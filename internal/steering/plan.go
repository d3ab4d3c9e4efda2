package steering

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxPlansPerKey limits the number of cached plans per planKey.
const maxPlansPerKey = 64

// planKey is the cache key of plans: the service and the first home zone.
type planKey struct {
	service model.ServiceName
	first   model.ZoneName
}

// plan determines the zones to try for a service and a list of home zones, and
// their order.
type plan struct {
	home               []model.ZoneName
	baseline           move
	baselineCandidates []candidate   // indexed like baseline.zones
	tiers              [][]candidate // for spill, in the order in which they are tried
	service            int
	// explained are the zones of baseline and tiers, for explanations.
	explained *model.Candidates
}

// candidate is a zone that requests may be sent to, with its distance from this
// instance.
type candidate struct {
	cell         *cell
	dependencies []dependency
	distance     distance
}

// planFor returns the plan of a service for a list of home zones, from the cache if
// possible, or nil if the service is not configured.
func (p *Planner) planFor(service model.ServiceName, home []model.ZoneName) *plan {
	if len(home) == 0 {
		home = p.home[:]
	}
	key := planKey{service, home[0]}
	for _, cached := range p.plans[key] {
		if slices.Equal(cached.home, home) {
			return cached
		}
	}
	index, ok := p.layout.serviceIndex[service]
	if !ok {
		return nil
	}
	built := p.buildPlan(index, home)
	if len(p.plans[key]) < maxPlansPerKey {
		p.plans[key] = append(p.plans[key], built)
	}
	return built
}

// buildPlan computes the plan of a service. Baseline zones missing from the active
// configuration get an empty cell.
func (p *Planner) buildPlan(service int, home []model.ZoneName) *plan {
	l := p.layout
	built := &plan{
		home:     slices.Clone(home),
		service:  service,
		baseline: p.moveOf(len(p.history)-1, l.services[service].name, home),
	}
	own, known := l.zoneIndex[p.home[0]]
	for _, zone := range built.baseline.zones {
		z, ok := l.zoneIndex[zone]
		if !ok {
			removed := &cell{settings: &p.settings, service: l.services[service].name, zone: zone}
			built.baselineCandidates = append(built.baselineCandidates, candidate{cell: removed, distance: otherRegion})
			continue
		}
		built.baselineCandidates = append(built.baselineCandidates, candidate{l.cell(service, z), l.dependenciesIn(service, z), l.distanceFrom(own, known, z)})
	}
	built.tiers = p.spillTiers(service, l.indexes(home))
	built.explained = candidatesOf(built)
	return built
}

func (l *layout) distanceFrom(own int, known bool, zone int) distance {
	if !known {
		return otherRegion
	}
	return l.distance(own, zone)
}

func (l *layout) indexes(zones []model.ZoneName) []int {
	return lo.FilterMap(zones, func(zone model.ZoneName, _ int) (int, bool) {
		z, ok := l.zoneIndex[zone]
		return z, ok
	})
}

// spillTiers returns the zones with servers of the service in tiers, in the order in
// which spill tries them: each home zone in the caller's order, then the other zones
// by distance from the first home zone.
func (p *Planner) spillTiers(service int, homes []int) [][]candidate {
	l := p.layout
	own, known := l.zoneIndex[p.home[0]]
	byPosition := map[int][]candidate{}
	for _, z := range l.withServers(service, l.allZones()) {
		position := len(l.zones) + int(otherRegion)
		if i := slices.Index(homes, z); i >= 0 {
			position = i
		} else if len(homes) > 0 {
			position = len(l.zones) + int(l.distance(homes[0], z))
		}
		c := candidate{cell: l.cell(service, z), dependencies: l.dependenciesIn(service, z), distance: l.distanceFrom(own, known, z)}
		byPosition[position] = append(byPosition[position], c)
	}
	positions := lo.Keys(byPosition)
	slices.SortFunc(positions, cmp.Compare[int])
	return lo.Map(positions, func(position, _ int) []candidate { return byPosition[position] })
}

// Baseline returns the current weights of a service for a list of home zones. An
// empty list stands for callers without a group.
func (p *Planner) Baseline(now model.Instant, service model.ServiceName, home []model.ZoneName) []Weight {
	if p.layout == nil {
		return nil
	}
	found := p.planFor(service, home)
	if found == nil {
		return nil
	}
	return found.baseline.weights(now)
}
