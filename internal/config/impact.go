package config

import (
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ZoneImpact is what a change does to one service's capacity in one zone.
type ZoneImpact struct {
	Zone   model.ZoneName `json:"zone"`
	Before int            `json:"before"` // slots
	After  int            `json:"after"`  // slots
}

// Taken returns the slots that the zone loses, 0 where it gains.
func (z ZoneImpact) Taken() int { return max(0, z.Before-z.After) }

// ServiceImpact is what a change does to one service's capacity.
type ServiceImpact struct {
	Service model.ServiceName `json:"service"`
	Zones   []ZoneImpact      `json:"zones"`  // zones with slots before or after, by name
	Before  int               `json:"before"` // slots
	After   int               `json:"after"`  // slots
	// ShareLeft is After over Before, 1 where there was nothing before.
	ShareLeft float64 `json:"share_left"`
	// UrgentFits reports whether the slots left cover the urgent floor of those
	// before.
	UrgentFits bool `json:"urgent_fits"`
	// MoveTime is how long the work of the lost slots takes to move into zones that
	// lose none, under the shift cap, if every lost slot was in use. It is 0 where
	// nothing moves.
	MoveTime time.Duration `json:"move_time_ns"`
	// NoReceiver reports that slots are lost and no zone can take their work.
	NoReceiver bool `json:"no_receiver"`
	// Dependents are the services that need this one, directly or through others:
	// their headroom falls with it.
	Dependents []model.ServiceName `json:"dependents"`
}

// Impact returns what planned stops take from each service that they touch.
func Impact(text *Text, stops []Stop) []ServiceImpact {
	return ImpactOfChange(text, text, nil, stops)
}

// ImpactOfChange compares the capacity of old under oldStops with that of new
// under newStops and returns the services for which it differs in any zone. The
// limits are those of new. A nil old text has no capacity.
func ImpactOfChange(old, new *Text, oldStops, newStops []Stop) []ServiceImpact {
	before, after := capacityOf(old, oldStops), capacityOf(new, newStops)
	var impacts []ServiceImpact
	for _, service := range unionOf(before, after) {
		impact := compareCapacity(service, before[service], after[service])
		if !impact.changes() {
			continue
		}
		impact.judge(new.Limits)
		impact.Dependents = dependentsOf(new, service)
		impacts = append(impacts, impact)
	}
	return impacts
}

// dependentsOf returns the services that depend on one, by name.
func dependentsOf(text *Text, service model.ServiceName) []model.ServiceName {
	dependents := []model.ServiceName{}
	wanted := []model.ServiceName{service}
	for len(wanted) > 0 {
		var next []model.ServiceName
		for _, s := range text.Services {
			if slices.Contains(s.DependsOn, wanted[0]) && !slices.Contains(dependents, s.Name) {
				next = append(next, s.Name)
			}
		}
		dependents = append(dependents, next...)
		wanted = append(wanted[1:], next...)
	}
	slices.Sort(dependents)
	return dependents
}

// zoneSlots is a service's slots by zone.
type zoneSlots map[model.ZoneName]int

func capacityOf(text *Text, stops []Stop) map[model.ServiceName]zoneSlots {
	capacity := map[model.ServiceName]zoneSlots{}
	if text == nil {
		return capacity
	}
	regions := make(map[model.ZoneName]model.RegionName, len(text.Zones))
	for _, zone := range text.Zones {
		regions[zone.Name] = zone.Region
	}
	covers := newStopSet(stops)
	for _, backend := range text.Backends {
		slots := capacity[backend.Service]
		if slots == nil {
			slots = zoneSlots{}
			capacity[backend.Service] = slots
		}
		slots[backend.Zone] += 0 // a zone that keeps no slot is still listed
		if !covers.covers(&backend, regions[backend.Zone]) {
			slots[backend.Zone] += backend.Slots
		}
	}
	return capacity
}

// stopTarget is what one stop names.
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

func (s stopSet) covers(backend *Backend, region model.RegionName) bool {
	return s[stopTarget{StopBackend, string(backend.Name)}] ||
		s[stopTarget{StopZone, string(backend.Zone)}] ||
		s[stopTarget{StopRegion, string(region)}]
}

// unionOf returns the keys of both maps in order.
func unionOf[K ~string, V any](a, b map[K]V) []K {
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
	for _, zone := range unionOf(before, after) {
		impact.Zones = append(impact.Zones, ZoneImpact{Zone: zone, Before: before[zone], After: after[zone]})
		impact.Before += before[zone]
		impact.After += after[zone]
	}
	if impact.Before > 0 {
		impact.ShareLeft = float64(impact.After) / float64(impact.Before)
	}
	return impact
}

func (s *ServiceImpact) changes() bool {
	return slices.ContainsFunc(s.Zones, func(z ZoneImpact) bool { return z.Before != z.After })
}

func (s *ServiceImpact) judge(limits Limits) {
	urgent := limits.Floors[model.Urgent] * float64(s.Before)
	s.UrgentFits = float64(s.After) >= urgent
	taken, receiving := 0, 0
	for _, zone := range s.Zones {
		taken += zone.Taken()
		if zone.Taken() == 0 {
			receiving += zone.After
		}
	}
	if taken == 0 {
		return
	}
	if receiving == 0 {
		s.NoReceiver = true
		return
	}
	perWindow := limits.ShiftCap.Fraction * float64(receiving)
	windows := math.Min(float64(taken), float64(receiving)) / perWindow
	s.MoveTime = time.Duration(windows * float64(limits.ShiftCap.Window)).Round(time.Second)
}
