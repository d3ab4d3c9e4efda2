package steering

import "github.com/primrosenotch/primrosenotch/internal/model"

// dependency is a service in a zone that another service there depends on.
type dependency struct {
	cell *cell
	// share is the fraction of the dependency's slots in the zone that is available
	// to the dependent service, in proportion to the slots of all its dependents.
	share float64
}

// dependenciesIn returns the dependencies of a service that have servers in a zone.
// Dependencies without servers there are served from other zones and do not limit
// this zone.
func (l *layout) dependenciesIn(service, zone int) []dependency {
	var list []dependency
	for _, d := range l.services[service].dependsOn {
		c := l.cell(d, zone)
		if c.slots > 0 {
			list = append(list, dependency{c, l.dependencyShare(d, service, zone)})
		}
	}
	return list
}

// dependencyShare returns the fraction of a dependency's slots in a zone that is
// available to one of its dependents.
func (l *layout) dependencyShare(needed, by, zone int) float64 {
	total := 0
	for s := range l.services {
		for _, d := range l.services[s].dependsOn {
			if d == needed {
				total += l.cell(s, zone).slots
			}
		}
	}
	if total == 0 {
		return 1
	}
	return float64(l.cell(by, zone).slots) / float64(total)
}

// dependenciesUsable reports whether all dependencies of a service in a zone can
// serve requests.
func dependenciesUsable(now model.Instant, v View, dependencies []dependency) bool {
	for i := range dependencies {
		c := dependencies[i].cell
		c.refresh(now, v)
		if !c.usable() {
			return false
		}
	}
	return true
}

// headroom returns the minimum of a service's own free slots in a zone and its
// shares of the free slots of its dependencies there. Dependencies without a fresh
// load are ignored.
func headroom(now model.Instant, v View, rank model.Rank, own *cell, dependencies []dependency) float64 {
	least := float64(own.freeSlots(rank))
	for i := range dependencies {
		c := dependencies[i].cell
		c.refresh(now, v)
		if !c.loadFresh {
			continue
		}
		least = min(least, float64(c.freeSlots(rank))*dependencies[i].share)
	}
	return least
}
