package edge

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Lookup is a caller's question which instances to use.
type Lookup struct {
	Host   string           // that the caller wants to reach; every instance serves all hosts
	Region model.RegionName // the caller's
	Zone   model.ZoneName   // the caller's
}

const (
	// lookupTTL is how long callers keep an answer: short, so that they leave a dead
	// instance soon.
	lookupTTL = 2 * time.Second
	// maxLookup bounds the addresses of one answer.
	maxLookup = 64
)

// lookups holds the answers of all look-ups. It does not change once it is published,
// so that look-ups take no lock and cost the same with any number of instances.
type lookups struct {
	generation uint64 // of the group
	ready      bool   // this instance takes callers
	all        []string
	near       map[model.RegionName][]string
	reads      bool // this instance reads the store for its region
}

// readersPerRegion is how many instances of a region read the store.
const readersPerRegion = 1

// publishLookups replaces the answers where the group or this instance has changed. What
// changes with time alone is published with each tick. The caller holds fleetMu.
func (e *Edge) publishLookups(tick bool) {
	generation, ready := e.group.Generation(), e.Ready()
	if old := e.answers.Load(); !tick && old != nil && old.generation == generation && old.ready == ready {
		return
	}
	before := 0
	next := &lookups{generation: generation, ready: ready, near: map[model.RegionName][]string{}}
	for _, record := range e.usableInstances() {
		region := e.options.Regions[record.Zone]
		next.near[region] = append(next.near[region], record.CallerAddr)
		next.all = append(next.all, record.CallerAddr)
		if region == e.options.Region && record.Instance < e.options.Self.ID {
			before++
		}
	}
	next.reads = before < readersPerRegion
	e.answers.Store(next)
}

// Lookup returns the addresses of the instances that a caller should use: those of
// its region, or any where that has none.
func (e *Edge) Lookup(l Lookup) ([]string, time.Duration) {
	e.metrics.lookups.Inc()
	ttl := min(lookupTTL, e.bounds.Load().LookupTTL)
	answers := e.answers.Load()
	if answers == nil {
		return nil, ttl
	}
	addresses := answers.near[l.Region]
	if len(addresses) == 0 {
		addresses = answers.all
	}
	return addresses[:min(len(addresses), maxLookup)], ttl
}
