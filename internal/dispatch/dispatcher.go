// Package dispatch implements the load balancing of an entry instance that sends
// requests to backend servers itself: server selection, retries and load shedding.
// Dispatcher.Step takes one event and returns effects; it reads no clock and does no
// I/O.
package dispatch

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

// Settings configure a Dispatcher.
type Settings struct {
	Self    model.InstanceID
	Region  model.RegionName
	Regions map[model.ZoneName]model.RegionName
	Retry   pacing.RetrySettings
	Cold    ColdSettings
	Quota   quota.Settings
	// ShiftCap is the fraction of a region's requests that may start or stop running in
	// another region within shiftWindow.
	ShiftCap float64
	// RandomServers selects a random server of the region and disables queue limits. It
	// serves as a baseline for measurements.
	RandomServers bool
	// RouteUrgency tells requests to a service that is short of room apart by the priority of
	// their routes, also without organisations.
	RouteUrgency bool
	// SpreadObjects balances the requests about an object over several servers by their
	// load, also while none of them is busy.
	SpreadObjects bool
	// InstancesMaxAge is the age up to which a list of instances is taken to be the latest.
	InstancesMaxAge time.Duration
	// StartedAt is when this process started, 0 if long ago.
	StartedAt model.Instant
}

// Dispatcher holds the state of all dispatch decisions. It is not safe for concurrent
// use.
type Dispatcher struct {
	settings    Settings
	config      *catalog.Configuration
	servers     map[model.BackendName]*server
	byService   map[model.ServiceName][]*server // sorted by identifier
	byAddress   map[netip.AddrPort][]*server
	departures  departures
	evacuations evacuations
	services    map[model.ServiceName]*service
	splits      map[model.RouteName]*split
	requests    map[model.RequestID]*request
	instances   *pacing.Fleet
	demandShare float64 // share of the fleet's requests that this region receives
	// capacityStale is set when servers or demand have changed since capacities were counted.
	capacityStale bool
	store         storeHealth
	overflow      overflow
	suspects      *health.SuspectTracker
	saver         suspectSaver
	termed        map[*server]bool                  // servers that said what they take
	unlistedTerms map[string]membership.ServerTerms // by incarnation of servers that are not listed
	lapsedTerms   map[string]serverTerms            // by incarnation, of servers whose entries were removed
	paused        map[*server]bool                  // servers that have refused a request and not answered one since
	randomState   uint64
	// checksKeys reports whether requests on routes that are not public need the key of an
	// organisation.
	checksKeys       bool
	organisationUses map[model.OrganisationName]*organisationUse // of the organisations in config
	// meanRate is the mean limit of the organisations that have one, 1 if none has.
	meanRate float64
	quotas   quotas
	// ranked, candidates and limited are buffers that are reused across calls of choose.
	ranked     []rankedServer
	candidates []*server
	spread     int // the first candidates among which the object's requests are balanced
	// spreadRequests counts requests by the number of servers of their object.
	spreadRequests [MaxSpread + 1]uint64
	sentHalvedAt   model.Instant
	limited        []rankedServer // servers that the latest choice passed over for their limits
	effects        []Effect
}

// service holds the statistics and the retry budget of one service.
type service struct {
	budget    *pacing.RetryBudget
	runTimes  map[model.RouteName]*runTimes
	capacity  capacity
	placement *placement
	// popularity is nil while objects are not spread.
	popularity *popularity
	// mostUrgent is the priority of the most urgent requests to the service.
	mostUrgent int
	loads      map[model.RegionName]*average // of other instances' requests at a server, over reports
	contention contention
	losses     *pacing.Counter // recent failures, departures and evacuations of servers; a server may count more than once
}

// New returns a Dispatcher without a configuration.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{
		settings:      s,
		servers:       map[model.BackendName]*server{},
		byService:     map[model.ServiceName][]*server{},
		departures:    newDepartures(),
		evacuations:   newEvacuations(),
		byAddress:     map[netip.AddrPort][]*server{},
		services:      map[model.ServiceName]*service{},
		splits:        map[model.RouteName]*split{},
		requests:      map[model.RequestID]*request{},
		randomState:   1,
		instances:     &pacing.Fleet{Self: s.Self, MaxAge: s.InstancesMaxAge, StartedAt: s.StartedAt},
		overflow:      newOverflow(),
		termed:        map[*server]bool{},
		paused:        map[*server]bool{},
		unlistedTerms: map[string]membership.ServerTerms{},
		lapsedTerms:   map[string]serverTerms{},
		suspects:      health.NewSuspectTracker(health.SuspectSettings{Spacing: strikeSpacing}),
	}
	d.quotas = d.newQuotas()
	return d
}

// Step applies an event and returns its effects, which are valid until the next call.
func (d *Dispatcher) Step(ev Event) []Effect {
	d.effects = d.effects[:0]
	switch ev := ev.(type) {
	case *Tick:
		d.instances.Confirm(ev.InstancesKnownAt)
		d.tick(ev.At)
	case *CatalogChanged:
		d.catalogChanged(ev)
	case *StoreRead:
		d.store.recordRead(ev)
	case *StoreReadConfirmed:
		d.store.confirmRead(ev.At)
	case *StoreReadSuspect:
		d.store.suspectRead(ev.At)
	case *StoreRestored:
		d.store.restored(ev.At)
		d.suspects.ForgetSaved()
	case *DeparturesLearned:
		d.departuresLearned(ev)
	case *BoundsChanged:
		d.boundsChanged(ev)
	case *InstancesCounted:
		d.instancesCounted(ev)
	case *RequestArrived:
		d.requestArrived(ev)
	case *AttemptEnded:
		d.attemptEnded(ev)
	case *AnswerStarted:
		if q := d.requests[ev.Request]; q != nil {
			q.answered = true
		}
	case *RequestEnded:
		d.requestEnded(ev.Request)
	case *ServerProbed:
		d.serverProbed(ev)
	case *SuspectsReceived:
		d.suspects.Merge(ev.At, ev.Suspects)
	case *SuspectsSaved:
		d.suspectsSaved(ev)
	case *TermsNamed:
		d.termsNamed(ev)
	case *TermsReceived:
		d.termsReceived(ev)
	case *QuotaReplied:
		d.quotaReplied(ev)
	case *Unlisted:
		d.handOverQuotas(ev.At, d.quotas.coordinator.Leave(ev.At, d.settings.Self))
	case *QuotaOffered:
		d.quotas.coordinator.Offer(ev.At, ev.Handover)
	case *QuotaReportFailed:
		d.quotas.holder.Failed(ev.At, ev.To, ev.Number)
	case *ClockJumped:
		d.clockJumped(ev.At)
	case *LimitSharesReceived:
		d.limitSharesReceived(ev)
	}
	return d.effects
}

func (d *Dispatcher) boundsChanged(ev *BoundsChanged) {
	d.settings.Retry, d.settings.Cold, d.settings.ShiftCap = ev.Retry, ev.Cold, ev.ShiftCap
	for _, s := range d.services {
		s.budget.Configure(ev.Retry)
	}
	d.configureQuotas(ev.At, ev.Quota)
	d.record(ev.At, "bounds", "adopted", "settings changed")
}

func (d *Dispatcher) instancesCounted(ev *InstancesCounted) {
	d.instances.SetRegistered(ev.RegisteredAt)
	if ev.Inherited {
		d.instances.Inherit()
	}
	if ev.Founding {
		d.instances.SetFounding()
	}
	if ev.Members != nil {
		d.instances.SetListed(ev.At, ev.Members)
	}
	d.instances.Count(ev.Instances)
	if n := quota.RoundInstances(ev.Instances); n != d.settings.Quota.Instances {
		d.configureQuotas(ev.At, d.settings.Quota)
	}
	d.demandShare = ev.RegionShare
	d.capacityStale = true
	d.reindexAll(ev.At)
}

func (d *Dispatcher) add(f Effect) { d.effects = append(d.effects, f) }

func (d *Dispatcher) record(at model.Instant, subject, message, reason string) {
	d.add(&Record{At: at, Subject: subject, Message: message, Reason: reason})
}

// ReliableStoreReadAt returns the time of the last store read by an instance for which
// the store had not failed recently, 0 if there was none. An entry missing in such a
// read was removed and did not expire during an outage.
func (d *Dispatcher) ReliableStoreReadAt() model.Instant { return d.store.reliableReadAt }

// Configuration returns the configuration in force, or nil.
func (d *Dispatcher) Configuration() *catalog.Configuration { return d.config }

// Servers returns the number of known servers, including those kept after their entry
// disappeared.
func (d *Dispatcher) Servers() int { return len(d.servers) }

func (d *Dispatcher) catalogChanged(ev *CatalogChanged) {
	switch c := ev.Change.(type) {
	case *catalog.ConfigurationChange:
		d.configure(ev.At, c.Configuration)
	case *catalog.ServerChange:
		d.serverListed(ev.At, &c.Server)
	case *catalog.ServerRemoved:
		d.serverUnlisted(ev.At, c.ID)
	case *catalog.EvacuationChange:
		d.evacuate(ev.At, c)
	}
}

// configure adopts a configuration unless its version is not newer than the active one.
func (d *Dispatcher) configure(at model.Instant, c *catalog.Configuration) {
	if d.config != nil && c.Version <= d.config.Version {
		return
	}
	old := d.config
	d.config = c
	d.adoptOrganisations(c)
	d.adoptLimits(at, c)
	known := map[model.RouteName]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		known[r.Name] = true
		if s := d.splits[r.Name]; s == nil || !slices.Equal(s.targets, r.Targets) {
			d.splits[r.Name] = newSplit(r.Targets)
		}
	}
	for name := range d.splits {
		if !known[name] {
			delete(d.splits, name)
		}
	}
	for _, s := range d.services {
		s.dropRunTimes(known)
		s.mostUrgent = math.MaxInt
	}
	mostUrgentOf := d.mostUrgentOf(c)
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			s := d.service(target.Service)
			s.mostUrgent = min(s.mostUrgent, mostUrgentOf(&c.Routes[i]))
		}
	}
	d.configureShares()
	if old == nil || old.Limits != c.Limits {
		d.add(&LimitsChanged{Limits: c.Limits})
	}
	if len(c.Organisations) > 0 || old != nil && len(old.Organisations) > 0 {
		d.add(&OrganisationsChanged{Organisations: c.Organisations})
	}
	d.reindexAll(at)
	d.record(at, "configuration", "adopted", adoptionReason(old, c)+d.describeOrganisations(c))
}

func (d *Dispatcher) serverListed(at model.Instant, entry *catalog.Server) {
	old := d.servers[entry.ID]
	if old != nil && old.entry.SameIncarnation(entry) {
		d.serverUpdated(at, old, entry)
		return
	}
	if reason := d.reasonToIgnore(at, old, entry); reason != "" {
		d.record(at, string(entry.ID), "not used", reason)
		return
	}
	s := &server{
		entry:     *entry,
		region:    d.settings.Regions[entry.Zone],
		hash:      xxh3.HashString(string(entry.ID)),
		coldSends: pacing.Window{Span: time.Second},
		listedAt:  at,
		warm:      warmSet{},
	}
	s.coldUntil = at.Add(entry.ColdLeft)
	s.regionLoad = d.service(entry.Service).loadOf(s.region)
	d.restoreTerms(at, s)
	if old != nil {
		d.serverEnded(at, old)
		d.dropServer(at, old)
		d.record(at, string(entry.ID), "restarted", "newer incarnation")
	}
	d.addressTaken(at, entry)
	d.servers[entry.ID] = s
	d.byAddress[entry.Address] = append(d.byAddress[entry.Address], s)
	list := d.byService[entry.Service]
	pos, _ := slices.BinarySearchFunc(list, s, compareByID)
	d.byService[entry.Service] = slices.Insert(list, pos, s)
	d.index(at, s)
	d.capacityStale = true
	d.applyUnlistedTerms(at, s)
}

func compareByID(a, b *server) int { return strings.Compare(string(a.entry.ID), string(b.entry.ID)) }

// serverUpdated applies an entry of the same incarnation, unless its sequence number is
// lower than that of the known entry.
func (d *Dispatcher) serverUpdated(at model.Instant, s *server, entry *catalog.Server) {
	if entry.Sequence < s.entry.Sequence {
		return
	}
	s.unlistedAt = 0
	if entry.Draining && !s.leaves() {
		d.noteServerLoss(at, s)
		d.record(at, string(entry.ID), "leaves", "its entry is marked as draining")
	}
	d.capacityStale = d.capacityStale || entry.Draining != s.entry.Draining
	repeated := entry.Sequence == s.entry.Sequence
	s.entry = *entry
	if entry.ColdLeft > 0 && !repeated {
		s.coldUntil, s.coldAsOf = max(s.coldUntil, at.Add(entry.ColdLeft)), at
	}
	d.reindex(at, s)
}

func (d *Dispatcher) serverUnlisted(at model.Instant, id model.BackendName) {
	delete(d.departures.held, id)
	s := d.servers[id]
	if s == nil {
		return
	}
	s.unlistedAt = at
	if !d.store.mayHaveExpired(at) || s.leaves() {
		d.removeServer(at, s, "its entry was removed")
		return
	}
	d.record(at, string(id), "kept", d.store.reasonToKeep(at))
}

func (d *Dispatcher) removeServer(at model.Instant, s *server, reason string) {
	d.noteServerLoss(at, s)
	d.serverRemoved(at, s)
	d.dropServer(at, s)
	delete(d.servers, s.entry.ID)
	d.record(at, string(s.entry.ID), "removed", reason)
}

func (d *Dispatcher) dropServer(at model.Instant, s *server) {
	d.departures.sequences.add(at, s.entry.Incarnation(), s.entry.Sequence)
	list := d.byService[s.entry.Service]
	d.byService[s.entry.Service] = slices.DeleteFunc(list, func(other *server) bool { return other == s })
	d.unindex(s)
	d.dropAddress(s)
	d.keepTerms(at, s)
	delete(d.termed, s)
	delete(d.paused, s)
	d.capacityStale = true
	d.add(&CloseConnections{Server: &s.entry})
}

func (d *Dispatcher) tick(now model.Instant) {
	d.removeExpired(now)
	d.releaseHeld(now)
	d.dropUnlistedTerms(now)
	d.dropLapsedTerms(now)
	d.lendLimits(now)
	d.applyDoubtfulEvacuations(now)
	d.balanceRegions()
	d.halvePopularity(now)
	d.halveSent(now)
	d.ejectSilent(now)
	d.hedgeAttempts(now)
	d.probeEjected(now)
	d.saveSuspects(now)
	d.tickQuotas(now)
}

// removeExpired removes servers whose entries did not reappear after a store outage.
func (d *Dispatcher) removeExpired(now model.Instant) {
	if !d.store.reliable(now) {
		return
	}
	var expired []*server
	for _, s := range d.servers {
		if s.unlistedAt != 0 {
			expired = append(expired, s)
		}
	}
	slices.SortFunc(expired, compareByID)
	for _, s := range expired {
		d.removeServer(now, s, "its entry did not reappear after the store outage")
	}
}

func (d *Dispatcher) service(name model.ServiceName) *service {
	s := d.services[name]
	if s == nil {
		s = &service{
			budget:     pacing.NewRetryBudget(xxh3.HashString(string(name)), d.settings.Retry),
			runTimes:   map[model.RouteName]*runTimes{},
			losses:     pacing.NewCounter(lossWindow),
			loads:      map[model.RegionName]*average{},
			placement:  newPlacement(),
			contention: newContention(),
		}
		d.services[name] = s
	}
	return s
}

// loadOf returns the mean load at the service's servers in a region.
func (s *service) loadOf(region model.RegionName) *average {
	a := s.loads[region]
	if a == nil {
		a = &average{}
		s.loads[region] = a
	}
	return a
}
