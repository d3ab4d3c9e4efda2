package steering

import (
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// layout is a configuration text with services and zones addressed by index,
// together with the state of each service and of each service in each zone.
type layout struct {
	text         *config.Text
	zones        []zoneLayout
	zoneIndex    map[model.ZoneName]int
	services     []serviceLayout
	serviceIndex map[model.ServiceName]int
	cells        []*cell // indexed by service, then zone; see cell
}

type zoneLayout struct {
	name   model.ZoneName
	region model.RegionName
}

type serviceLayout struct {
	name model.ServiceName
	// dependsOn holds the direct and transitive dependencies.
	dependsOn []int
	// shiftCapRefusedAt is the last time the shift cap refused spill, by rank.
	shiftCapRefusedAt [model.RankCount]model.Instant
}

func newLayout(text *config.Text, s Settings) *layout {
	l := &layout{
		text:         text,
		zoneIndex:    make(map[model.ZoneName]int, len(text.Zones)),
		serviceIndex: make(map[model.ServiceName]int, len(text.Services)),
	}
	for i, zone := range text.Zones {
		l.zones = append(l.zones, zoneLayout{zone.Name, zone.Region})
		l.zoneIndex[zone.Name] = i
	}
	for i, service := range text.Services {
		l.services = append(l.services, serviceLayout{name: service.Name})
		l.serviceIndex[service.Name] = i
	}
	for i := range l.services {
		l.services[i].dependsOn = l.transitiveDependencies(i)
	}
	l.addCells(s)
	return l
}

func (l *layout) addCells(s Settings) {
	l.cells = make([]*cell, len(l.services)*len(l.zones))
	for i := range l.cells {
		service, zone := i/len(l.zones), i%len(l.zones)
		l.cells[i] = &cell{
			settings: &s,
			service:  l.services[service].name,
			zone:     l.zones[zone].name,
			region:   l.zones[zone].region,
		}
	}
	for _, b := range l.text.Backends {
		service, okService := l.serviceIndex[b.Service]
		zone, okZone := l.zoneIndex[b.Zone]
		if okService && okZone {
			l.cell(service, zone).slots += b.Slots
		}
	}
}

func (l *layout) cell(service, zone int) *cell { return l.cells[service*len(l.zones)+zone] }

// transitiveDependencies returns the direct and indirect dependencies of a service
// in ascending order, without the service itself.
func (l *layout) transitiveDependencies(service int) []int {
	seen := make([]bool, len(l.services))
	seen[service] = true
	queue := []int{service}
	var list []int
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		for _, name := range l.text.Services[current].DependsOn {
			next, ok := l.serviceIndex[name]
			if !ok || seen[next] {
				continue
			}
			seen[next] = true
			list = append(list, next)
			queue = append(queue, next)
		}
	}
	slices.Sort(list)
	return list
}

// inheritOwnerStates takes over the owner states of an earlier layout.
func (l *layout) inheritOwnerStates(old *layout) {
	if old == nil {
		return
	}
	for _, c := range l.cells {
		service, okService := old.serviceIndex[c.service]
		zone, okZone := old.zoneIndex[c.zone]
		if okService && okZone {
			c.states = old.cell(service, zone).states
		}
	}
}

// distance classifies how far apart two zones are; smaller values are nearer.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func (l *layout) distance(a, b int) distance {
	switch {
	case a == b:
		return sameZone
	case l.zones[a].region == l.zones[b].region:
		return sameRegion
	}
	return otherRegion
}

func compareZones(a, b model.ZoneName) int { return strings.Compare(string(a), string(b)) }
