package edge

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Lookup is a caller's request for the addresses of the instances to use.
type Lookup struct {
	Host   string           // host that the caller wants to reach; every instance serves all hosts
	Region model.RegionName // region of the caller
	Zone   model.ZoneName   // availability zone of the caller
}

const (
	// lookupTTL is how long callers may cache an answer. It is short so that they soon
	// stop using a dead instance.
	lookupTTL = 2 * time.Second
	// maxLookupAddresses is the maximum number of addresses in one answer.
	maxLookupAddresses = 64
)

// lookupResults holds the answers to all lookups. It is immutable once published, so that
// lookups take no lock and cost the same with any number of instances.
type lookupResults struct {
	generation uint64 // of the membership group
	ready      bool   // this instance accepts callers' requests
	all        []string
	byRegion   map[model.RegionName][]string
	readerRank int // position of this instance in its region's order of readers
}

// publishLookups replaces the lookup answers if the membership group or the readiness of
// this instance has changed, or if force is set. Each tick sets force to publish changes
// that depend on time alone. The caller must hold fleetMu.
func (e *Edge) publishLookups(force bool) {
	generation, ready := e.group.Generation(), e.canServe()
	if old := e.published.Load(); !force && old != nil && old.generation == generation && old.ready == ready {
		return
	}
	var near []membership.Entry // instances of this region
	next := &lookupResults{generation: generation, ready: ready, byRegion: map[model.RegionName][]string{}}
	for _, record := range e.usableInstances() {
		region := e.options.Regions[record.Zone]
		next.byRegion[region] = append(next.byRegion[region], record.CallerAddr)
		next.all = append(next.all, record.CallerAddr)
		if region == e.options.Region {
			near = append(near, record)
		}
	}
	next.readerRank = readerRank(e.options.Self.ID, e.options.Self.Zone, near)
	e.published.Store(next)
}

// Lookup returns the addresses of the instances that a caller should use, and how long it
// may cache them. These are the instances of its region, or all if the region has none.
func (e *Edge) Lookup(l Lookup) ([]string, time.Duration) {
	e.metrics.lookups.Inc()
	ttl := min(lookupTTL, e.bounds.Load().LookupTTL)
	results := e.published.Load()
	if results == nil {
		return nil, ttl
	}
	addresses := results.byRegion[l.Region]
	if len(addresses) == 0 {
		addresses = results.all
	}
	return addresses[:min(len(addresses), maxLookupAddresses)], ttl
}
