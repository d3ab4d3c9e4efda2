package config

import (
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Index answers the questions that every request asks of a Text. It is
// immutable and safe for concurrent use; what it returns must not be changed.
type Index struct {
	text         *Text
	routes       routeTable
	blocks       bart.Table[uint32] // position in text.Callers
	backends     map[model.BackendName]*Backend
	services     map[model.ServiceName]*Service
	dependencies map[model.ServiceName][]model.ServiceName
	regions      map[model.ZoneName]model.RegionName
	regionZones  map[model.RegionName][]model.ZoneName
	local        map[serviceZone]localBackends
	links        map[Link]int64 // by pair of regions, A before B, without budget
}

// serviceZone names the backend servers of one service in one zone.
type serviceZone struct {
	service model.ServiceName
	zone    model.ZoneName
}

type localBackends struct {
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
		local:        map[serviceZone]localBackends{},
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
		local := x.local[key]
		local.backends = append(local.backends, backend)
		local.slots += backend.Slots
		x.local[key] = local
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

// dependenciesOf fills in the transitive dependencies of a service. The text
// has no cycles, which Parse has checked.
func (x *Index) dependenciesOf(name model.ServiceName) []model.ServiceName {
	if all, done := x.dependencies[name]; done {
		return all
	}
	service := x.services[name]
	if service == nil {
		return nil
	}
	all := slices.Clone(service.DependsOn)
	for _, direct := range service.DependsOn {
		all = append(all, x.dependenciesOf(direct)...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	x.dependencies[name] = all
	return all
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

// CallerGroup returns the group whose block holds an address. It does not
// allocate.
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
	return x.local[serviceZone{service, zone}].backends
}

// Slots returns the sum of slots of a service's backend servers in a zone.
func (x *Index) Slots(service model.ServiceName, zone model.ZoneName) int {
	return x.local[serviceZone{service, zone}].slots
}

// Service returns a service by name.
func (x *Index) Service(name model.ServiceName) (*Service, bool) {
	service, found := x.services[name]
	return service, found
}

// Dependencies returns every service that the named one needs, directly or
// through others, by name.
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

// LinkBudget returns the budget between two regions in bytes per second, each
// way. It reports false within one region, which has no budget.
func (x *Index) LinkBudget(a, b model.RegionName) (int64, bool) {
	budget, found := x.links[Link{A: min(a, b), B: max(a, b)}]
	return budget, found
}
