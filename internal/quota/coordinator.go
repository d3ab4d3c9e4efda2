package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// reportInterval is the time between two reports of an instance to a coordinator while
	// requests exceed a limit or leases are being moved, and calmInterval otherwise: an instance
	// reports at once if its demand changes. They apply to up to usualReporters instances. With
	// more of them the interval grows in proportion, up to maxReportInterval, at which one of
	// two reports may be lost before a lease expires.
	reportInterval    = 500 * time.Millisecond
	calmInterval      = time.Second
	usualReporters    = 64
	maxReportInterval = 1200 * time.Millisecond
	// soonInterval is the time until the next report of an instance that lacks much of what it
	// should have, or that another one waits for.
	soonInterval = 120 * time.Millisecond
	// headroom is the leased rate as a multiple of the demand. The rest stays with the
	// coordinator, which can grant it at once.
	headroom = 1.25
	// minLeasedPart and maxLeasedPart bound the fraction of the rate that is leased while the
	// demand is below the limit. It grows with the depth per instance by leasedPartPerToken: a
	// bucket for few tokens is often empty or full, so that less is refused if instances ask
	// for single tokens instead. While the demand is above the limit, leasedPartSaturated of the
	// rate is leased.
	minLeasedPart       = 0.55
	maxLeasedPart       = 0.95
	leasedPartPerToken  = 0.04
	leasedPartSaturated = 0.98
	// leasedDepth is the fraction of the depth that is leased at most.
	leasedDepth = 0.75
	// extraWeight is added to an instance's demand, in requests per second, when the depth is
	// divided: a bucket for few requests needs more depth in proportion.
	extraWeight = 0.5
	// firstTokens is the time for which a new lease brings the tokens for its holder's demand,
	// if the coordinator has them.
	firstTokens = 0.25 // seconds
	// sweepInterval is the time between two searches for expired leases.
	sweepInterval = 250 * time.Millisecond
	// handOverTime is the time for which the last coordinator may hand an organisation over. It is
	// shorter than a pause after which another one may have become the coordinator by itself.
	handOverTime = 500 * time.Millisecond
	// offerTime is the time for which a hand-over waits until the list of instances says that
	// this one leads. It is shorter than the time from a change to the fleet until another
	// instance coordinates by itself.
	offerTime = 4 * time.Second
	// leavingTime is the time for which an instance that was handed an organisation by one that
	// is leaving need not have learned that. Together with the age of the list it is shorter than
	// the time after which that one, started again, may coordinate by itself.
	leavingTime = 3 * time.Second
	// movedTime is the time for which instances are told of the next coordinator.
	movedTime = 20 * time.Second
	// silentAfter is the time without a report after which an instance's demand is ignored.
	silentAfter = 2 * time.Second
	// expiryMargin covers the difference between the clock rates of two instances.
	expiryMargin = 20 * time.Millisecond
	// saturationMargin is the number of standard deviations by which the demand must exceed the
	// limit for the organisation to count as saturated. The demand of an organisation of few
	// requests a second varies by more than its mean.
	saturationMargin = 2.0
)

// Coordinator leases the limits of organisations to instances. It grants nothing until it has
// been running for LeaseTime, since leases of an earlier process of the same instance may be in
// use, but renews those that are presented to it. It is not safe for concurrent use.
type Coordinator struct {
	settings    Settings
	incarnation uint64
	startedAt   model.Instant
	sequence    uint64
	reporters   map[model.InstanceID]*reporter
	pools       map[model.OrganisationName]*pool
	sweptAt     model.Instant
	ranks       Ranks
	// adopted holds the organisations that another coordinator has handed over, until the ranks
	// say otherwise, and offered those that are taken over once the instance leads.
	adopted map[model.OrganisationName]adoption
	offered map[model.OrganisationName]offer
	moved   map[model.OrganisationName]move
	// offers holds the highest number of a hand-over by the incarnation of its sender.
	offers map[uint64]uint64
	handed uint64 // number of the latest hand-over to another instance
	left   bool   // the instance coordinates nothing any more, as it stops
}

// adoption is an organisation that another coordinator has handed over.
type adoption struct {
	leaving model.InstanceID // that coordinator, if it was no longer listed
	at      model.Instant
}

// offer is a hand-over from another coordinator.
type offer struct {
	*Handover
	at model.Instant
}

// move is a hand-over to another coordinator.
type move struct {
	to model.InstanceID
	at model.Instant
}

// reporter is an instance that reports to the coordinator.
type reporter struct {
	incarnation uint64
	number      uint64 // of the latest report
	at          model.Instant
	// accounted reports that the leases in a report have all been noted.
	accounted bool
}

// pool is the limit of an organisation and what is leased of it.
type pool struct {
	limit Limit
	// startsAt is until when only leases that are presented are renewed.
	startsAt model.Instant
	// coordinatedAt is when this instance was last known to be the coordinator.
	coordinatedAt model.Instant
	free          bucket // of what is not leased
	grantees      []*grantee
	byKey         map[granteeKey]*grantee
	demand        float64 // of all grantees
	rate          float64 // leased
	depth         float64
	// saturated reports that the demand exceeds the limit and nothing is left.
	saturated bool
	shortAt   model.Instant // when an instance last lacked much of what it should have
}

// granteeKey identifies a process that may hold a lease. An earlier process of an instance may
// be frozen and still hold one.
type granteeKey struct {
	id          model.InstanceID
	incarnation uint64
}

// grantee is a process that may hold leases of an organisation.
type grantee struct {
	key         granteeKey
	demand      float64
	at          model.Instant // of the latest report
	leases      []granted     // that may be in use
	rate, depth float64       // the largest of them
}

type granted struct {
	Lease
	until model.Instant
}

// Ranks tells a Coordinator of which organisations its instance is the coordinator.
type Ranks interface {
	// Holds reports whether the instance is the coordinator, and no other instance is, whatever
	// it knows of the fleet.
	Holds(now model.Instant, name model.OrganisationName) bool
	// Leads reports whether the instance is to be the coordinator by a recent list of instances,
	// without regard to the one that is leaving, if any.
	Leads(now model.Instant, name model.OrganisationName, leaving model.InstanceID) bool
	// Next returns the instance that is to be the coordinator if this one is not, empty if no
	// recent list is known.
	Next(now model.Instant, name model.OrganisationName) model.InstanceID
	// Others returns the other listed instances, and false if no recent list is known.
	Others(now model.Instant) ([]model.InstanceID, bool)
}

// NewCoordinator returns a Coordinator of a process that has just started.
func NewCoordinator(s Settings, incarnation uint64, startedAt model.Instant, ranks Ranks) *Coordinator {
	return &Coordinator{
		settings: s, incarnation: incarnation, startedAt: startedAt, ranks: ranks,
		adopted: map[model.OrganisationName]adoption{}, offered: map[model.OrganisationName]offer{},
		offers:    map[uint64]uint64{},
		reporters: map[model.InstanceID]*reporter{}, pools: map[model.OrganisationName]*pool{},
		moved: map[model.OrganisationName]move{},
	}
}

// Configure replaces the settings.
func (c *Coordinator) Configure(s Settings) {
	c.settings = s
	for _, p := range c.pools {
		c.recount(p)
	}
}

// Resumed forgets what is leased after a pause that the clock does not show, as if the process
// had just started.
func (c *Coordinator) Resumed(now model.Instant) {
	c.startedAt = now
	clear(c.reporters)
	clear(c.pools)
	clear(c.moved)
	clear(c.adopted)
	clear(c.offered)
}

// Pools returns the number of organisations that this instance coordinates, or has leased parts
// of that may be in use.
func (c *Coordinator) Pools() int { return len(c.pools) }

// Coordinate records that this instance is the coordinator of an organisation, and its limit.
// Tokens for its first requests are there only if it is called before they arrive.
func (c *Coordinator) Coordinate(now model.Instant, name model.OrganisationName, l Limit) {
	p := c.pools[name]
	switch {
	case p == nil:
		p = newPool(l, c.startedAt.Add(LeaseTime))
		p.free.at = max(now, p.startsAt)
		c.pools[name] = p
	case l.Version > p.limit.Version:
		p.limit = l
		c.recount(p)
	default:
		p.coordinatedAt = now
		return
	}
	p.coordinatedAt = now
	delete(c.moved, name)
	c.resizeFree(now, p)
}

func newPool(l Limit, startsAt model.Instant) *pool {
	return &pool{limit: l, startsAt: startsAt, byKey: map[granteeKey]*grantee{}}
}

// Coordinates reports whether this instance is the coordinator of an organisation.
func (c *Coordinator) Coordinates(now model.Instant, name model.OrganisationName) bool {
	if c.left {
		return false
	}
	if c.ranks.Holds(now, name) {
		return true
	}
	a, ok := c.adopted[name]
	return ok && c.leads(now, name, a)
}

// leads reports whether this instance leads for an organisation. For leavingTime it may not have
// learned that the earlier coordinator is no longer listed.
func (c *Coordinator) leads(now model.Instant, name model.OrganisationName, a adoption) bool {
	return c.ranks.Leads(now, name, "") || (a.leaving != "" && now.Sub(a.at) < leavingTime && c.ranks.Leads(now, name, a.leaving))
}

// Report answers a report. The reply is nil if a later report has arrived already.
func (c *Coordinator) Report(now model.Instant, r *Report) *Reply {
	known := c.reporters[r.From]
	switch {
	case known == nil:
		known = &reporter{}
		c.reporters[r.From] = known
	case known.incarnation > r.Incarnation, known.incarnation == r.Incarnation && known.number >= r.Number:
		return nil
	}
	known.incarnation, known.number, known.at = r.Incarnation, r.Number, now
	reply := &Reply{Number: r.Number, Next: c.interval(calmInterval)}
	if now.Sub(c.startedAt) < LeaseTime {
		reply.Next = c.interval(soonInterval) // the list of instances may not be known yet
	}
	accounted := true
	for i := range r.Demands {
		d := &r.Demands[i]
		if !c.Coordinates(now, d.Organisation) {
			accounted = false
			if m, ok := c.moved[d.Organisation]; ok {
				reply.Grants = append(reply.Grants, Grant{Organisation: d.Organisation, MovedTo: m.to})
			}
			continue
		}
		grant, soon := c.grant(now, granteeKey{r.From, r.Incarnation}, d)
		switch p := c.pools[d.Organisation]; {
		case soon:
			reply.Next = min(reply.Next, soonInterval)
		case p.saturated || recent(now, p.shortAt, time.Second):
			reply.Next = min(reply.Next, c.interval(reportInterval))
		}
		if grant != nil {
			reply.Grants = append(reply.Grants, *grant)
		}
	}
	known.accounted = known.accounted || accounted
	c.noteReported(now)
	return reply
}

// noteReported ends the time in which only presented leases are renewed, once all other instances
// have reported to this process: no other lease of an earlier process can be in use. The load
// pattern is that all instances are killed at the same moment.
func (c *Coordinator) noteReported(now model.Instant) {
	if now.Sub(c.startedAt) >= LeaseTime {
		return
	}
	others, known := c.ranks.Others(now)
	if !known || len(c.reporters) < len(others) {
		return
	}
	for _, id := range others {
		if known := c.reporters[id]; known == nil || !known.accounted {
			return
		}
	}
	c.startedAt = now.Add(-LeaseTime)
	for _, p := range c.pools {
		p.startsAt = min(p.startsAt, now)
		p.free.at = min(p.free.at, now)
	}
}

// interval returns the time between two reports of an instance that is usual if there are few
// instances.
func (c *Coordinator) interval(few time.Duration) time.Duration {
	return min(max(few*time.Duration(len(c.reporters))/usualReporters, few), maxReportInterval)
}

// LimitKnown adopts the limit of an organisation from a newer configuration.
func (c *Coordinator) LimitKnown(now model.Instant, name model.OrganisationName, l Limit) {
	if p := c.pools[name]; p != nil && l.Version > p.limit.Version {
		p.limit = l
		c.recount(p)
		c.resizeFree(now, p)
	}
}

// grant answers the demand for one organisation, nil if nothing can be granted. soon is set if
// the instance should report again soon.
func (c *Coordinator) grant(now model.Instant, key granteeKey, d *Demand) (grant *Grant, soon bool) {
	c.Coordinate(now, d.Organisation, d.Limit)
	p := c.pools[d.Organisation]
	g := p.byKey[key]
	if g == nil {
		g = &grantee{key: key}
		p.byKey[key] = g
		p.grantees = append(p.grantees, g)
	}
	g.at = now
	starting := now < p.startsAt
	c.keepPresented(now, p, g, &d.Lease, starting && !d.GrantedByOther)
	demand := max(d.PerSecond, float64(d.Waiting))
	p.demand += demand - g.demand
	g.demand = demand
	held := len(g.leases) > 0
	if held && !starting {
		c.resizeFree(now, p)
		p.free.add(max(0, d.Returned))
	}
	lease := Lease{Grantor: c.incarnation, Limit: p.limit}
	limit := c.settings.rate(p.limit)
	p.saturated = p.demand > limit+saturationMargin*math.Sqrt(limit) && p.free.tokens < p.left()
	switch {
	case starting && !held:
		return nil, true
	case starting:
		lease.Rate, lease.Depth = g.rate, g.depth
	case demand > 0:
		target := c.targetRate(p, g)
		lease.Rate = min(target, max(0, limit-(p.rate-g.rate)))
		lease.Depth = c.grantedDepth(p, g)
		if lease.Depth < 1 {
			lease.Rate, lease.Depth = 0, 0
		}
		if lack := target - lease.Rate; lack > max(1, 0.25*target) {
			p.shortAt, soon = now, true
		}
		soon = soon || lease.Rate < 0.8*g.rate && now.Sub(p.shortAt) < time.Second
	}
	c.sequence++
	lease.Sequence = c.sequence
	g.leases = append(g.leases, granted{lease, now.Add(LeaseTime + expiryMargin)})
	c.charge(p, g)
	before := p.free.tokens
	c.resizeFree(now, p)
	grant = &Grant{Organisation: d.Organisation, Lease: lease, Saturated: p.saturated, Renewed: held}
	if !starting {
		// What has no room here any more moves along with the depth.
		grant.Tokens = min(before-p.free.tokens, g.depth) + c.takeFree(p, g, d, held)
	}
	return grant, soon
}

// left returns how many tokens there must be for instances to ask for single ones although the
// demand exceeds the limit. Once they have been told not to, it takes more, as they would soon be
// told again, and leases of the right size use the limit better.
func (p *pool) left() float64 {
	if p.saturated {
		return max(1, p.free.depth/2)
	}
	return 1
}

// keepPresented forgets the leases that a process does not use: it uses the reply to its latest
// report only, and has reported which lease it holds.
func (c *Coordinator) keepPresented(now model.Instant, p *pool, g *grantee, presented *Lease, starting bool) {
	if starting && presented.Sequence != 0 && presented.Grantor != c.incarnation {
		g.leases = []granted{{*presented, now.Add(LeaseTime + expiryMargin)}}
	} else {
		g.leases = slices.DeleteFunc(g.leases, func(l granted) bool {
			return presented.Grantor != l.Grantor || presented.Sequence != l.Sequence
		})
	}
	c.charge(p, g)
}

// charge counts the largest of a grantee's leases.
func (c *Coordinator) charge(p *pool, g *grantee) {
	p.rate -= g.rate
	p.depth -= g.depth
	g.rate, g.depth = 0, 0
	for _, l := range g.leases {
		rate, depth := c.settings.scaled(l.Lease, p.limit)
		g.rate, g.depth = max(g.rate, rate), max(g.depth, depth)
	}
	p.rate += g.rate
	p.depth += g.depth
}

// recount counts all leases again, which also removes rounding errors.
func (c *Coordinator) recount(p *pool) {
	p.rate, p.depth, p.demand = 0, 0, 0
	for _, g := range p.grantees {
		g.rate, g.depth = 0, 0
		c.charge(p, g)
		p.demand += g.demand
	}
}

// targetRate returns the rate that a grantee should have: its demand with some headroom, or if
// that is not there for all, a part in proportion to its demand.
func (c *Coordinator) targetRate(p *pool, g *grantee) float64 {
	perInstance := leasedDepth * c.settings.depth(p.limit) / float64(len(p.grantees))
	part := min(maxLeasedPart, minLeasedPart+leasedPartPerToken*perInstance)
	if p.saturated {
		part = leasedPartSaturated
	}
	return g.demand * min(headroom, part*c.settings.rate(p.limit)/p.demand)
}

// grantedDepth returns the depth that a grantee gets.
func (c *Coordinator) grantedDepth(p *pool, g *grantee) float64 {
	total, others := c.settings.depth(p.limit), p.depth-g.depth
	weights := p.demand + extraWeight*float64(len(p.grantees))
	target := max(1, leasedDepth*total*(g.demand+extraWeight)/weights)
	return min(target, max(0, leasedDepth*total-others))
}

// resizeFree adjusts the bucket of what is not leased.
func (c *Coordinator) resizeFree(now model.Instant, p *pool) {
	p.free.resize(now, c.settings.rate(p.limit)-p.rate, c.settings.depth(p.limit)-p.depth)
}

// takeFree takes the tokens for the requests that wait at an instance, and some for its bucket:
// at most half of those that are there, so that other instances find some too.
func (c *Coordinator) takeFree(p *pool, g *grantee, d *Demand, held bool) float64 {
	tokens := min(float64(d.Waiting), p.free.tokens)
	more := d.Wanted
	if !held {
		more = firstTokens * g.demand
	}
	tokens += min(more, (p.free.tokens-tokens)/2, max(0, g.depth))
	p.free.tokens -= tokens
	return tokens
}

// Tick removes expired leases. While another instance may be the coordinator of an
// organisation, no tokens are collected for it.
func (c *Coordinator) Tick(now model.Instant) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for id, r := range c.reporters {
		if now.Sub(r.at) > LeaseTime {
			delete(c.reporters, id)
		}
	}
	maps.DeleteFunc(c.moved, func(_ model.OrganisationName, m move) bool { return now.Sub(m.at) > movedTime })
	for name, p := range c.pools {
		c.sweepPool(now, p)
		if c.Coordinates(now, name) {
			continue
		}
		p.free.tokens, p.free.at = 0, max(p.free.at, now) // another one may use them
		if len(p.grantees) == 0 {
			delete(c.pools, name)
		}
	}
}

func (c *Coordinator) sweepPool(now model.Instant, p *pool) {
	p.grantees = slices.DeleteFunc(p.grantees, func(g *grantee) bool {
		g.leases = slices.DeleteFunc(g.leases, func(l granted) bool { return now >= l.until })
		if now.Sub(g.at) > silentAfter {
			g.demand = 0
		}
		ended := len(g.leases) == 0 && now.Sub(g.at) > silentAfter
		if ended {
			delete(p.byKey, g.key)
		}
		return ended
	})
	c.recount(p)
	c.resizeFree(now, p)
}

// OutgoingHandover is a Handover and the instance to which it must be sent.
type OutgoingHandover struct {
	To       model.InstanceID
	Handover *Handover
}

// HandOver takes over the organisations that have been offered, and gives up those of which this
// instance has just ceased to be the coordinator. Nothing is granted for these any more, whether
// the hand-overs that it returns arrive or not. Each must be sent at once, and only once.
func (c *Coordinator) HandOver(now model.Instant) []OutgoingHandover {
	for _, name := range slices.Sorted(maps.Keys(c.offered)) {
		o := c.offered[name]
		switch {
		case now.Sub(o.at) > offerTime || c.left:
			delete(c.offered, name)
		case c.leads(now, name, adoption{o.Leaving, o.at}):
			delete(c.offered, name)
			c.adopt(now, o.Handover)
		}
	}
	maps.DeleteFunc(c.adopted, func(name model.OrganisationName, _ adoption) bool { return !c.Coordinates(now, name) })
	var list []OutgoingHandover
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		if c.Coordinates(now, name) {
			p.coordinatedAt = now
			continue
		}
		if recent(now, p.coordinatedAt, handOverTime) && !c.left && c.ranks.Leads(now, name, "") {
			// A weight has changed, or this was the only instance: nobody else can have started.
			c.adopted[name] = adoption{at: now}
			p.coordinatedAt = now
			continue
		}
		if recent(now, p.coordinatedAt, handOverTime) && now >= p.startsAt {
			if to := c.ranks.Next(now, name); to != "" {
				c.sweepPool(now, p)
				c.handed++
				h := p.handover(now, name)
				h.From, h.Number = c.incarnation, c.handed
				list = append(list, OutgoingHandover{To: to, Handover: h})
				delete(c.pools, name)
				c.moved[name] = move{to, now}
			}
		}
		p.coordinatedAt = 0
	}
	return list
}

// Leave is HandOver for an instance that stops and is no longer listed.
func (c *Coordinator) Leave(now model.Instant, self model.InstanceID) []OutgoingHandover {
	c.left = true
	list := c.HandOver(now)
	for _, out := range list {
		out.Handover.Leaving = self
	}
	return list
}

// Offer records a hand-over from another coordinator, unless it is a duplicate.
func (c *Coordinator) Offer(now model.Instant, h *Handover) {
	if h.Number <= c.offers[h.From] {
		return
	}
	if len(c.offers) >= maxOffers {
		clear(c.offers)
	}
	c.offers[h.From] = h.Number
	c.offered[h.Organisation] = offer{h, now}
}

// maxOffers bounds the processes of which hand-overs are remembered.
const maxOffers = 4096

func (p *pool) handover(now model.Instant, name model.OrganisationName) *Handover {
	h := &Handover{Organisation: name, Limit: p.limit, Free: p.free.tokens}
	for _, g := range p.grantees {
		for _, l := range g.leases {
			h.Leases = append(h.Leases, HandedLease{Lease: l.Lease, Holder: g.key.id, Incarnation: g.key.incarnation, Left: l.until.Sub(now)})
		}
	}
	return h
}

// adopt takes an organisation over, unless this instance has leased parts of its limit already.
func (c *Coordinator) adopt(now model.Instant, h *Handover) {
	if p := c.pools[h.Organisation]; p != nil && len(p.grantees) > 0 {
		return
	}
	c.adopted[h.Organisation] = adoption{h.Leaving, now}
	p := newPool(h.Limit, now)
	p.coordinatedAt, p.free.at = now, now
	c.pools[h.Organisation] = p
	delete(c.moved, h.Organisation)
	for _, l := range h.Leases {
		key := granteeKey{l.Holder, l.Incarnation}
		g := p.byKey[key]
		if g == nil {
			g = &grantee{key: key, at: now}
			p.byKey[key] = g
			p.grantees = append(p.grantees, g)
		}
		g.leases = append(g.leases, granted{l.Lease, now.Add(min(l.Left, LeaseTime+expiryMargin))})
	}
	c.recount(p)
	c.resizeFree(now, p)
	p.free.add(h.Free)
}
