package config

import (
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Index provides the lookups in a Text that every request needs. It is immutable
// and safe for concurrent use; callers must not modify the values that it returns.
type Index struct {
	text         *Text
	routes       routeTable
	blocks       bart.Table[uint32] // position in text.Callers
	backends     map[model.BackendName]*Backend
	services     map[model.ServiceName]*Service
	dependencies map[model.ServiceName][]model.ServiceName
	regions      map[model.ZoneName]model.RegionName
	regionZones  map[model.RegionName][]model.ZoneName
	zoneBackends map[serviceZone]zoneBackends
	links        map[Link]int64 // bytes per second by pair of regions, A before B; BytesPerSecond of the key is 0
}

// serviceZone is the key of the backend servers of a service in a zone.
type serviceZone struct {
	service model.ServiceName
	zone    model.ZoneName
}

// zoneBackends holds the backend servers of a service in a zone and the sum of
// their slots.
type zoneBackends struct {
	backends []*Backend
	slots    int
}

// NewIndex builds the index of a text that Parse returned.
func NewIndex(text *Text) *Index {
	x := &Index{
		text:         text,
		routes:       newRouteTable(text.Routes),
		backends:     make(map[model.BackendName]*Backend, len(text.Backends)),
		services:     make(map[model.ServiceName]*Service, len(text.Services)),
		dependencies: make(map[model.ServiceName][]model.ServiceName, len(text.Services)),
		regions:      make(map[model.ZoneName]model.RegionName, len(text.Zones)),
		regionZones:  map[model.RegionName][]model.ZoneName{},
		zoneBackends: map[serviceZone]zoneBackends{},
		links:        make(map[Link]int64, len(text.Limits.Links)),
	}
	x.indexZones()
	x.indexBackends()
	x.indexServices()
	x.indexCallers()
	return x
}

func (x *Index) indexZones() {
	for _, zone := range x.text.Zones {
		x.regions[zone.Name] = zone.Region
		x.regionZones[zone.Region] = append(x.regionZones[zone.Region], zone.Name)
	}
	for _, link := range x.text.Limits.Links {
		x.links[Link{A: link.A, B: link.B}] = link.BytesPerSecond
	}
}

func (x *Index) indexBackends() {
	for i := range x.text.Backends {
		backend := &x.text.Backends[i]
		x.backends[backend.Name] = backend
		key := serviceZone{backend.Service, backend.Zone}
		inZone := x.zoneBackends[key]
		inZone.backends = append(inZone.backends, backend)
		inZone.slots += backend.Slots
		x.zoneBackends[key] = inZone
	}
}

func (x *Index) indexServices() {
	for i := range x.text.Services {
		service := &x.text.Services[i]
		x.services[service.Name] = service
	}
	for i := range x.text.Services {
		x.dependenciesOf(x.text.Services[i].Name)
	}
}

// dependenciesOf returns the direct and transitive dependencies of a service and
// stores them in x.dependencies. The recursion ends because Parse rejects texts
// with dependency cycles.
func (x *Index) dependenciesOf(name model.ServiceName) []model.ServiceName {
	if transitive, found := x.dependencies[name]; found {
		return transitive
	}
	service := x.services[name]
	if service == nil {
		return nil
	}
	transitive := slices.Clone(service.DependsOn)
	for _, direct := range service.DependsOn {
		transitive = append(transitive, x.dependenciesOf(direct)...)
	}
	slices.Sort(transitive)
	transitive = slices.Compact(transitive)
	x.dependencies[name] = transitive
	return transitive
}

func (x *Index) indexCallers() {
	for i := range x.text.Callers {
		for _, block := range x.text.Callers[i].Blocks {
			x.blocks.Insert(block, uint32(i))
		}
	}
}

// Text returns the text that the index was built from.
func (x *Index) Text() *Text { return x.text }

// MatchRoute returns the most specific route for a method and a path without
// its query. It does not allocate.
func (x *Index) MatchRoute(method, path string) (*Route, bool) {
	return x.routes.match(method, path)
}

// CallerGroup returns the caller group with the address block that contains an
// address. It does not allocate.
func (x *Index) CallerGroup(address netip.Addr) (*CallerGroup, bool) {
	position, found := x.blocks.Lookup(address.Unmap())
	if !found {
		return nil, false
	}
	return &x.text.Callers[position], true
}

// Backend returns a backend server by name.
func (x *Index) Backend(name model.BackendName) (*Backend, bool) {
	backend, found := x.backends[name]
	return backend, found
}

// Backends returns the backend servers of a service in a zone, by name.
func (x *Index) Backends(service model.ServiceName, zone model.ZoneName) []*Backend {
	return x.zoneBackends[serviceZone{service, zone}].backends
}

// Slots returns the total slots of the backend servers of a service in a zone.
func (x *Index) Slots(service model.ServiceName, zone model.ZoneName) int {
	return x.zoneBackends[serviceZone{service, zone}].slots
}

// Service returns a service by name.
func (x *Index) Service(name model.ServiceName) (*Service, bool) {
	service, found := x.services[name]
	return service, found
}

// Dependencies returns the direct and transitive dependencies of a service, sorted
// by name.
func (x *Index) Dependencies(name model.ServiceName) []model.ServiceName {
	return x.dependencies[name]
}

// Region returns the region of a zone.
func (x *Index) Region(zone model.ZoneName) (model.RegionName, bool) {
	region, found := x.regions[zone]
	return region, found
}

// ZonesOf returns the zones of a region, by name.
func (x *Index) ZonesOf(region model.RegionName) []model.ZoneName {
	return x.regionZones[region]
}

// LinkBudget returns the budget of the link between two regions, in bytes per second
// in each direction. It returns false if both are the same region, since traffic within
// a region has no budget, or if a region is unknown.
func (x *Index) LinkBudget(a, b model.RegionName) (int64, bool) {
	budget, found := x.links[Link{A: min(a, b), B: max(a, b)}]
	return budget, found
}
