package steering

import "github.com/primrosenotch/primrosenotch/internal/model"

// dependency is a service that another one needs in a zone.
type dependency struct {
	cell *cell
	// share is the part of the dependency's slots there that falls to the service
	// that needs it, by the slots of all that need it.
	share float64
}

// needs lists the dependencies of a service that have servers in a zone. Those
// without any there are reached elsewhere and do not bound the zone.
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

// shareOf is the part of a dependency's slots in a zone that falls to one of the
// services that need it.
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

// dependenciesServe reports whether everything a service needs in a zone can
// serve at all.
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

// headroom is the least of a service's own free slots in a zone and of its
// share of those of what it needs there.
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
