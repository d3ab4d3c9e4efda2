package config

import (
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ZoneImpact is the effect of a change on the capacity of a service in one zone.
type ZoneImpact struct {
	Zone   model.ZoneName `json:"zone"`
	Before int            `json:"before"` // slots
	After  int            `json:"after"`  // slots
}

// Lost returns the number of slots that the zone loses, 0 if it gains slots.
func (z ZoneImpact) Lost() int { return max(0, z.Before-z.After) }

// ServiceImpact is the effect of a change on the capacity of a service.
type ServiceImpact struct {
	Service model.ServiceName `json:"service"`
	Zones   []ZoneImpact      `json:"zones"`  // zones with backend servers before or after, by name
	Before  int               `json:"before"` // slots
	After   int               `json:"after"`  // slots
	// ShareLeft is After divided by Before, 1 if Before is 0.
	ShareLeft float64 `json:"share_left"`
	// UrgentFits reports whether After covers the urgent floor's share of Before.
	UrgentFits bool `json:"urgent_fits"`
	// MoveTime is the time that the shift cap requires to move the work of the lost
	// slots into zones that lose none, if every lost slot was in use. Work beyond the
	// slots of those zones is not counted. It is 0 if no work moves or NoReceiver is
	// set.
	MoveTime time.Duration `json:"move_time_ns"`
	// NoReceiver reports whether slots are lost and no zone can take over their work.
	NoReceiver bool `json:"no_receiver"`
	// Dependents are the direct and transitive dependents of the service, by name.
	// Their headroom falls with that of the service.
	Dependents []model.ServiceName `json:"dependents"`
}

// Impact returns the effect of planned stops on the services that lose capacity.
func Impact(text *Text, stops []Stop) []ServiceImpact {
	return ImpactOfChange(text, text, nil, stops)
}

// ImpactOfChange compares the capacity of old under oldStops with that of new
// under newStops and returns the services for which it differs in any zone, by
// name. The limits are those of new. A nil old text has no capacity.
func ImpactOfChange(old, new *Text, oldStops, newStops []Stop) []ServiceImpact {
	before, after := capacityOf(old, oldStops), capacityOf(new, newStops)
	var impacts []ServiceImpact
	for _, service := range sortedUnion(before, after) {
		impact := compareCapacity(service, before[service], after[service])
		if !impact.changed() {
			continue
		}
		impact.applyLimits(new.Limits)
		impact.Dependents = dependentsOf(new, service)
		impacts = append(impacts, impact)
	}
	return impacts
}

// dependentsOf returns the services that depend on a service, directly or
// transitively, by name.
func dependentsOf(text *Text, service model.ServiceName) []model.ServiceName {
	dependents := []model.ServiceName{}
	pending := []model.ServiceName{service}
	for len(pending) > 0 {
		var next []model.ServiceName
		for _, s := range text.Services {
			if slices.Contains(s.DependsOn, pending[0]) && !slices.Contains(dependents, s.Name) {
				next = append(next, s.Name)
			}
		}
		dependents = append(dependents, next...)
		pending = append(pending[1:], next...)
	}
	slices.Sort(dependents)
	return dependents
}

// zoneSlots maps a zone to the number of slots of a service.
type zoneSlots map[model.ZoneName]int

// capacityOf returns the slots of each service that the planned stops leave. A zone
// of a service is listed even if it has no slots left.
func capacityOf(text *Text, stops []Stop) map[model.ServiceName]zoneSlots {
	capacity := map[model.ServiceName]zoneSlots{}
	if text == nil {
		return capacity
	}
	regions := make(map[model.ZoneName]model.RegionName, len(text.Zones))
	for _, zone := range text.Zones {
		regions[zone.Name] = zone.Region
	}
	stopped := newStopSet(stops)
	for _, backend := range text.Backends {
		slots := capacity[backend.Service]
		if slots == nil {
			slots = zoneSlots{}
			capacity[backend.Service] = slots
		}
		slots[backend.Zone] += 0 // list the zone even if no slot is left
		if !stopped.covers(&backend, regions[backend.Zone]) {
			slots[backend.Zone] += backend.Slots
		}
	}
	return capacity
}

// stopTarget identifies what a planned stop covers.
type stopTarget struct {
	scope  StopScope
	target string
}

type stopSet map[stopTarget]bool

func newStopSet(stops []Stop) stopSet {
	set := make(stopSet, len(stops))
	for _, stop := range stops {
		set[stopTarget{stop.Scope, stop.Target}] = true
	}
	return set
}

// covers reports whether a stop of the backend server, its zone or its region is in
// the set.
func (s stopSet) covers(backend *Backend, region model.RegionName) bool {
	return s[stopTarget{StopBackend, string(backend.Name)}] ||
		s[stopTarget{StopZone, string(backend.Zone)}] ||
		s[stopTarget{StopRegion, string(region)}]
}

// sortedUnion returns the keys of both maps, sorted and without duplicates.
func sortedUnion[K ~string, V any](a, b map[K]V) []K {
	keys := make([]K, 0, len(a)+len(b))
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

func compareCapacity(service model.ServiceName, before, after zoneSlots) ServiceImpact {
	impact := ServiceImpact{Service: service, ShareLeft: 1}
	for _, zone := range sortedUnion(before, after) {
		impact.Zones = append(impact.Zones, ZoneImpact{Zone: zone, Before: before[zone], After: after[zone]})
		impact.Before += before[zone]
		impact.After += after[zone]
	}
	if impact.Before > 0 {
		impact.ShareLeft = float64(impact.After) / float64(impact.Before)
	}
	return impact
}

// changed reports whether the capacity of any zone changes.
func (s *ServiceImpact) changed() bool {
	return slices.ContainsFunc(s.Zones, func(z ZoneImpact) bool { return z.Before != z.After })
}

// applyLimits sets UrgentFits, NoReceiver and MoveTime from the capacities and limits.
func (s *ServiceImpact) applyLimits(limits Limits) {
	urgent := limits.Floors[model.Urgent] * float64(s.Before)
	s.UrgentFits = float64(s.After) >= urgent
	lost, receiving := 0, 0
	for _, zone := range s.Zones {
		lost += zone.Lost()
		if zone.Lost() == 0 {
			receiving += zone.After
		}
	}
	if lost == 0 {
		return
	}
	if receiving == 0 {
		s.NoReceiver = true
		return
	}
	perWindow := limits.ShiftCap.Fraction * float64(receiving)
	windows := math.Min(float64(lost), float64(receiving)) / perWindow
	s.MoveTime = time.Duration(windows * float64(limits.ShiftCap.Window)).Round(time.Second)
}
