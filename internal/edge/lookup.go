package edge

import (
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Lookup is a caller's request for the addresses of the instances to use.
type Lookup struct {
	Host   string           // host that the caller wants to reach; every instance serves all hosts
	Region model.RegionName // region of the caller
	Zone   model.ZoneName   // availability zone of the caller
	Caller string           // address of the caller
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
	all        *lookupAnswers
	byRegion   map[model.RegionName]*lookupAnswers
	readerRank int // position of this instance in its region's order of readers
}

// lookupAnswers holds the variants of the answer to lookups. Callers get one of them each.
type lookupAnswers [lookupVariants][]string

// lookupAnswers returns the answers that name a list of instances, each by its share of their
// capacity. The caller must hold fleetMu.
func (e *Edge) lookupAnswers(list []membership.Entry) *lookupAnswers {
	shares := relativeCapacities(lo.Map(list, func(m membership.Entry, _ int) catalog.Instance { return e.listedInstance(m.Instance) }))
	answers := &lookupAnswers{}
	for variant := range answers {
		for i, m := range list {
			if namedIn(variant, m.Instance, shares[i]) {
				answers[variant] = append(answers[variant], m.CallerAddr)
			}
		}
	}
	return answers
}

// listedInstance returns what the store lists of an instance, which may be nothing. The
// caller must hold fleetMu.
func (e *Edge) listedInstance(id model.InstanceID) catalog.Instance {
	if id == e.options.Self.ID {
		return e.options.Self
	}
	return e.listed[id].entry
}

// publishLookups replaces the lookup answers if the membership group or the readiness of
// this instance has changed, or if force is set. Each tick sets force to publish changes
// that depend on time alone. The caller must hold fleetMu.
func (e *Edge) publishLookups(force bool) {
	generation, ready := e.group.Generation(), e.canServe()
	if old := e.published.Load(); !force && old != nil && old.generation == generation && old.ready == ready {
		return
	}
	next := &lookupResults{generation: generation, ready: ready, byRegion: map[model.RegionName]*lookupAnswers{}}
	usable := e.usableInstances()
	next.all = e.lookupAnswers(usable)
	byRegion := lo.GroupBy(usable, func(m membership.Entry) model.RegionName { return e.options.Regions[m.Zone] })
	for region, list := range byRegion {
		next.byRegion[region] = e.lookupAnswers(list)
	}
	near := byRegion[e.options.Region] // with this instance
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
	answers := results.byRegion[l.Region]
	if answers == nil {
		answers = results.all
	}
	addresses := answers[variantOf(&l)]
	return addresses[:min(len(addresses), maxLookupAddresses)], ttl
}
