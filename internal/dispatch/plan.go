package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Question describes a request whose dispatch is asked for without sending it.
type Question struct {
	Host     string
	Path     string
	Affinity string // as in RequestArrived, like Key and HasKey
	Key      catalog.KeyDigest
	HasKey   bool
	// Organisation is taken as the sender if it is not empty, whatever the key.
	Organisation model.OrganisationName
}

// Plan tells where a request would go now, and why.
type Plan struct {
	Configuration int64           `json:"configuration"` // version, 0 if there is none
	Route         model.RouteName `json:"route,omitempty"`
	HostKnown     bool            `json:"host_known"`
	Public        bool            `json:"public,omitempty"`
	Sticky        bool            `json:"sticky,omitempty"`
	Priority      int             `json:"priority"` // of the organisation, or else of the route
	Objective     time.Duration   `json:"objective_ns,omitempty"`
	// ChecksKeys reports whether the configuration lists organisations.
	ChecksKeys   bool                   `json:"checks_keys"`
	Organisation model.OrganisationName `json:"organisation,omitempty"`
	Quota        *Quota                 `json:"quota,omitempty"` // nil if the organisation has no limit
	HomeRegions  []model.RegionName     `json:"home_regions,omitempty"`
	// Targets are the weights of the route's services. The next request goes to Service.
	Targets map[model.ServiceName]float64 `json:"targets,omitempty"`
	Service model.ServiceName             `json:"service,omitempty"`
	// Cause is why the request would be refused, empty if it would be sent to Server.
	Cause      model.Cause       `json:"cause,omitempty"`
	RetryAfter time.Duration     `json:"retry_after_ns,omitempty"`
	Server     model.BackendName `json:"server,omitempty"`
	Moved      bool              `json:"moved,omitempty"` // to a region other than that of the first candidate
	// Contended holds what the request may claim, nil unless the service is short of room.
	Contended   *PlanStanding   `json:"contended,omitempty"`
	Servers     int             `json:"servers"` // of the service
	Excluded    map[string]int  `json:"excluded,omitempty"`
	MoveAllowed bool            `json:"move_allowed"`
	Candidates  []PlanCandidate `json:"candidates"` // the first by hash and distance first
	Limits      []LimitUse      `json:"limits,omitempty"`
}

// Quota is an organisation's limit over all instances, its use of this one, and what is left of it
// here.
type Quota struct {
	Rate          float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
	ArrivedPerSec float64 `json:"arrived_per_s"`
	SentPerSec    float64 `json:"sent_per_s"`
	// Coordinator is empty if the organisation has had no requests here lately. Then it has no
	// lease, and a first request may wait for one.
	Coordinator model.InstanceID `json:"coordinator,omitempty"`
	LeaseRate   float64          `json:"lease_rate"` // 0 without a lease
	Tokens      float64          `json:"tokens"`     // of the lease, left now
	ReserveLeft int              `json:"reserve"`    // requests that may be admitted without a lease
}

// usedUp reports whether the instance has nothing left of the limit.
func (q *Quota) usedUp() bool { return q.Coordinator != "" && q.Tokens < 1 && q.ReserveLeft < 1 }

// PlanStanding is a Standing in a Plan.
type PlanStanding struct {
	Urgency   int           `json:"urgency"`
	Admitted  int           `json:"admitted"`
	Due       *float64      `json:"due,omitempty"` // nil if all that the organisation asks for
	OverShare bool          `json:"over_share"`
	MaxWait   time.Duration `json:"max_wait_ns"`
	Arrived   int           `json:"arrived"`
	Refused   int           `json:"refused"`
}

// PlanCandidate is a server that may take the request.
type PlanCandidate struct {
	Server   model.BackendName `json:"server"`
	Zone     model.ZoneName    `json:"zone"`
	Region   model.RegionName  `json:"region"`
	Load     float64           `json:"load"` // estimated number of requests at the server
	LoadAge  time.Duration     `json:"load_age_ns"`
	Slots    int               `json:"slots"`
	InFlight int               `json:"in_flight"` // of this instance
	Warm     bool              `json:"warm"`      // believed to have the object warm
	Cold     bool              `json:"cold"`      // started recently
	// Cost is the expected time beyond the best possible one, by which candidates with room are
	// compared.
	Cost time.Duration `json:"cost_ns"`
	// Wait is the time until the server has room, 0 if it has.
	Wait   time.Duration `json:"wait_ns,omitempty"`
	Reason FullReason    `json:"reason,omitempty"` // of Wait
}

// Plan tells where a request would go now, and why. It changes no decision about other requests.
// Whether the request is suspected of crashing servers or was told to come back later is not
// considered, since that depends on its whole body.
func (d *Dispatcher) Plan(now model.Instant, ask *Question) *Plan {
	p := &Plan{Cause: model.CauseNoConfiguration, Candidates: []PlanCandidate{}}
	if d.config == nil {
		return p
	}
	p.Configuration, p.Cause, p.HostKnown, p.ChecksKeys = d.config.Version, model.CauseNoRoute, d.config.KnowsHost(ask.Host), d.checksKeys
	route := d.config.Match(ask.Host, ask.Path)
	if route == nil {
		return p
	}
	p.Route, p.Public, p.Sticky, p.Targets = route.Name, route.Public, route.Sticky, map[model.ServiceName]float64{}
	for _, t := range route.Targets {
		p.Targets[t.Service] += t.Weight
	}
	organisation, admitted := d.identify(route, ask.Key, ask.HasKey)
	if ask.Organisation != "" && d.checksKeys {
		organisation = d.config.Organisation(ask.Organisation)
		admitted = organisation != nil
	}
	if !admitted {
		p.Cause = model.CauseUnauthorized
		return p
	}
	q := d.hypotheticalRequest(now, route, organisation, ask)
	p.Priority, p.Objective, p.Service = q.priority(), q.objective, q.service
	p.describeSender(d, now, q)
	if organisation != nil && organisation.AllowsNothing() {
		p.Cause, p.RetryAfter = model.CauseOverQuota, nothingAllowedRetryAfter
		return p
	}
	d.planChoice(now, q, p)
	if p.Quota != nil && p.Quota.usedUp() {
		p.Cause, p.RetryAfter, p.Server, p.Moved = model.CauseOverQuota, 0, "", false
	}
	return p
}

// hypotheticalRequest returns a request as it would arrive, without counting it.
func (d *Dispatcher) hypotheticalRequest(now model.Instant, route *catalog.Route, o *catalog.Organisation, ask *Question) *request {
	q := &request{
		route:        route,
		organisation: o,
		service:      d.splits[route.Name].peek(),
		object:       objectHash(route, ask.Affinity, ask.Path),
		sticky:       route.Sticky && ask.Affinity != "",
		objective:    objective(route),
		deadline:     now.Add(effectiveTimeout(0, route.Timeout)),
		hypothetical: true,
	}
	s := d.service(q.service)
	q.lessUrgent = q.priority() > s.mostUrgent
	q.runTimes = s.runTimes[route.Name]
	if q.runTimes == nil {
		q.runTimes = &runTimes{objective: q.objective}
	}
	q.standing = d.claimOf(now, q, &s.contention)
	return q
}

// describeSender sets what the plan tells about the organisation.
func (p *Plan) describeSender(d *Dispatcher, now model.Instant, q *request) {
	p.HomeRegions = q.route.HomeRegions
	o := q.organisation
	if o == nil {
		return
	}
	p.Organisation = o.Name
	if len(o.HomeRegions) > 0 {
		p.HomeRegions = o.HomeRegions
	}
	if len(o.HomeRegions) > 0 && len(q.route.HomeRegions) > 0 {
		p.HomeRegions = slices.DeleteFunc(slices.Clone(o.HomeRegions), func(r model.RegionName) bool { return !q.mayRunIn(r) })
	}
	if !o.HasLimit {
		return
	}
	p.Quota = &Quota{Rate: o.Rate, Burst: o.Burst}
	if use, ok := d.QuotaUse(now, o.Name); ok {
		p.Quota.Coordinator, p.Quota.LeaseRate, p.Quota.Tokens = use.Coordinator, use.Rate, use.Tokens
		if use.Rate == 0 || !use.Saturated {
			p.Quota.ReserveLeft = max(0, use.Reserve-use.Reserved)
		}
	}
	if use := d.organisationUses[o.Name]; use != nil {
		p.Quota.ArrivedPerSec = float64(use.arrived.Count(now)) / useWindow.Seconds()
		p.Quota.SentPerSec = float64(use.sent.Count(now)) / useWindow.Seconds()
	}
}

// planChoice sets the server that the request would go to, and what the choice is based on.
func (d *Dispatcher) planChoice(now model.Instant, q *request, p *Plan) {
	random := d.randomState
	c := d.choose(now, q)
	d.randomState = random
	p.Cause, p.RetryAfter, p.Moved = c.cause, c.wait, c.moved
	if c.server != nil {
		p.Cause, p.RetryAfter, p.Server = "", 0, c.server.entry.ID
	}
	for _, s := range d.candidates {
		wait, reason := d.takes(now, s, q)
		candidate := PlanCandidate{
			Server: s.entry.ID, Zone: s.entry.Zone, Region: s.region, Load: s.load(now), LoadAge: s.loadAge(now), Slots: s.entry.Slots,
			InFlight: s.inFlight, Warm: s.warm.contains(now, q.object), Cold: s.cold(now), Cost: d.cost(now, s, q), Wait: wait,
		}
		if wait > 0 {
			candidate.Reason = reason
		}
		p.Candidates = append(p.Candidates, candidate)
	}
	failed := d.describeFailedChoice(now, q)
	p.Servers, p.Excluded, p.MoveAllowed, p.Limits = failed.Servers, failed.Excluded, failed.MoveAllowed, failed.Limits
	if st := q.standing; st != nil {
		p.Contended = &PlanStanding{
			Urgency: st.Urgency, Admitted: st.Use.Admitted, OverShare: st.OverShare, MaxWait: st.MaxWait, Arrived: st.Arrived, Refused: st.Refused,
		}
		if due := st.Use.Due; !math.IsInf(due, 1) {
			p.Contended.Due = &due
		}
	}
}
