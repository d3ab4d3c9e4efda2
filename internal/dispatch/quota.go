package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

// quotas holds the state of the limits of organisations at this instance: the leases that it
// uses, those that it has granted, and the requests that wait for a lease.
type quotas struct {
	holder      *quota.Holder
	coordinator *quota.Coordinator
	limited     []*catalog.Organisation // in the configuration in force
	held        []heldRequest           // oldest first
}

// heldRequest is a request that waits for a lease.
type heldRequest struct {
	*request
	until model.Instant
}

func (d *Dispatcher) newQuotas() quotas {
	s, incarnation := d.settings, uint64(d.settings.StartedAt)
	return quotas{
		holder:      quota.NewHolder(s.Quota, s.Self, incarnation, s.StartedAt, quotaFleet{d.instances}),
		coordinator: quota.NewCoordinator(s.Quota, incarnation, s.StartedAt, quotaFleet{d.instances}),
	}
}

// configureQuotas applies settings with the present number of instances.
func (d *Dispatcher) configureQuotas(now model.Instant, s quota.Settings) {
	s.Instances = quota.RoundInstances(d.instances.Instances())
	d.settings.Quota = s
	d.quotas.holder.Configure(now, s)
	d.quotas.coordinator.Configure(s)
}

// quotaFleet divides organisations and reserves among the instances.
type quotaFleet struct{ *pacing.Fleet }

func coordinationBound(name model.OrganisationName) pacing.Bound {
	return pacing.Bound{Key: xxh3.HashString("quota " + string(name)), Units: 1, Span: quota.HandOverSpan, Inherited: true}
}

// Coordinator implements quota.Fleet.
func (f quotaFleet) Coordinator(_ model.Instant, name model.OrganisationName) model.InstanceID {
	return f.Leader(coordinationBound(name))
}

// ReserveShare implements quota.Fleet.
func (f quotaFleet) ReserveShare(now model.Instant, name model.OrganisationName, units int, window time.Duration) int {
	if units == 0 {
		return 0
	}
	return f.Share(now, pacing.Bound{Key: xxh3.HashString("reserve " + string(name)), Units: units, Span: window})
}

// Holds implements quota.Ranks.
func (f quotaFleet) Holds(now model.Instant, name model.OrganisationName) bool {
	return f.Fleet.Holds(now, coordinationBound(name))
}

// Leads implements quota.Ranks.
func (f quotaFleet) Leads(now model.Instant, name model.OrganisationName, leaving model.InstanceID) bool {
	b := coordinationBound(name)
	return f.Fleet.Leads(now, b) || (leaving != "" && f.Listed() && f.Fresh(now) && f.LeaderBeside(b, leaving) == f.Self)
}

// Others implements quota.Ranks.
func (f quotaFleet) Others(now model.Instant) ([]model.InstanceID, bool) {
	return f.Fleet.Others(now)
}

// Next implements quota.Ranks.
func (f quotaFleet) Next(now model.Instant, name model.OrganisationName) model.InstanceID {
	if !f.Fresh(now) {
		return ""
	}
	return f.LeaderBeside(coordinationBound(name), f.Self)
}

// handOverQuotas hands over the organisations of which this instance has ceased to be the
// coordinator.
func (d *Dispatcher) handOverQuotas(now model.Instant, list []quota.OutgoingHandover) {
	for _, out := range list {
		d.record(now, "quotas", "organisation handed over", fmt.Sprintf("%s coordinates %s from now on", out.To, out.Handover.Organisation))
		d.add(&SendQuotaHandover{To: out.To, Handover: out.Handover})
	}
}

func limitOf(version int64, o *catalog.Organisation) quota.Limit {
	return quota.Limit{Version: version, Rate: o.Rate, Burst: o.Burst}
}

// adoptLimits applies the limits of a new configuration to what this instance holds and has
// leased.
func (d *Dispatcher) adoptLimits(at model.Instant, c *catalog.Configuration) {
	d.quotas.limited = nil
	if !d.checksKeys {
		return
	}
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.HasLimit {
			d.quotas.limited = append(d.quotas.limited, o)
			d.quotas.holder.LimitKnown(at, o.Name, limitOf(c.Version, o))
			d.quotas.coordinator.LimitKnown(at, o.Name, limitOf(c.Version, o))
		}
	}
}

// limitsApply reports whether this instance has anything to do with limits of organisations.
func (d *Dispatcher) limitsApply() bool {
	return len(d.quotas.limited) > 0 || d.quotas.coordinator.Pools() > 0 || len(d.quotas.held) > 0
}

// tickQuotas does the periodic work for limits of organisations.
func (d *Dispatcher) tickQuotas(now model.Instant) {
	if !d.limitsApply() {
		return
	}
	d.handOverQuotas(now, d.quotas.coordinator.HandOver(now))
	for _, o := range d.quotas.limited {
		if d.quotas.coordinator.Coordinates(now, o.Name) {
			d.quotas.coordinator.Coordinate(now, o.Name, limitOf(d.config.Version, o))
		}
	}
	d.quotas.coordinator.Tick(now)
	d.announceToCoordinators(now)
	d.retryHeld(now, nil)
	d.sendQuotaReports(now)
}

// announceToCoordinators tells the coordinators of all limits that this process holds no lease of
// an earlier one.
func (d *Dispatcher) announceToCoordinators(now model.Instant) {
	if started := d.settings.StartedAt; started == 0 || now.Sub(started) >= quota.LeaseTime {
		return
	}
	var coordinators []model.InstanceID
	for _, o := range d.quotas.limited {
		coordinators = append(coordinators, quotaFleet{d.instances}.Coordinator(now, o.Name))
	}
	d.quotas.holder.Announce(coordinators)
}

// sendQuotaReports sends the reports to coordinators that are due.
func (d *Dispatcher) sendQuotaReports(now model.Instant) {
	for _, out := range d.quotas.holder.Due(now) {
		d.add(&SendQuotaReport{To: out.To, Report: out.Report})
	}
}

// admission is whether a request may go on.
type admission uint8

const (
	admitted admission = iota
	held
	refused
)

// admitByQuota takes a token of the limit of a request's organisation, if it has one and the
// request has no token yet.
func (d *Dispatcher) admitByQuota(now model.Instant, q *request) (admission, time.Duration) {
	o := q.organisation
	if o == nil || !o.HasLimit {
		d.returnToken(q)
		return admitted, 0
	}
	if q.token != quota.NoToken && q.tokenOf == o.Name {
		return admitted, 0
	}
	d.returnToken(q)
	v := d.quotas.holder.Admit(now, o.Name, limitOf(d.config.Version, o))
	switch {
	case v.Held:
		q.tokenOf = o.Name
		return held, 0
	case v.Token == quota.NoToken:
		return refused, v.RetryAfter
	}
	q.token, q.tokenOf = v.Token, o.Name
	return admitted, 0
}

// hasToken reports whether a request that is about to be sent may use the limit of its
// organisation. A configuration may have assigned its key to another organisation since it
// arrived, or limited the organisation. If it may not, it returns when to come back.
func (d *Dispatcher) hasToken(now model.Instant, q *request) (time.Duration, bool) {
	admission, wait := d.admitByQuota(now, q)
	if admission == held {
		wait = d.quotas.holder.GiveUp(now, q.tokenOf).RetryAfter
	}
	return wait, admission == admitted
}

// returnToken returns a token that a request will not use.
func (d *Dispatcher) returnToken(q *request) {
	if q.token != quota.NoToken && !q.mayHaveRun {
		d.quotas.holder.Return(q.tokenOf, q.token)
	}
	q.token = quota.NoToken
}

// hold lets a request that has just arrived wait for a lease.
func (d *Dispatcher) hold(now model.Instant, q *request) {
	q.waiting = true
	d.quotas.held = append(d.quotas.held, heldRequest{q, min(now.Add(quota.HoldTime), q.deadline)})
	if d.quotas.holder.MayAsk(now, q.tokenOf) {
		d.sendQuotaReports(now)
	}
}

// retryHeld decides again about the requests that wait for a lease, only about those of the
// given organisations unless names is nil.
func (d *Dispatcher) retryHeld(now model.Instant, names map[model.OrganisationName]bool) {
	if len(d.quotas.held) == 0 {
		return
	}
	for _, h := range d.quotas.held {
		if names == nil || names[h.tokenOf] {
			d.retryOne(now, h)
		}
	}
	d.dropResumed()
}

// dropResumed removes the requests that do not wait any longer.
func (d *Dispatcher) dropResumed() {
	d.quotas.held = slices.DeleteFunc(d.quotas.held, func(h heldRequest) bool { return !h.waiting })
}

// retryOne decides again about a request that waits for a lease.
func (d *Dispatcher) retryOne(now model.Instant, h heldRequest) {
	q, ended := h.request, d.requests[h.id] != h.request
	var v quota.Verdict
	if ended || now >= h.until {
		v = d.quotas.holder.GiveUp(now, q.tokenOf)
	} else if v = d.quotas.holder.Retry(now, q.tokenOf); v.Held {
		return
	}
	q.waiting = false
	if ended {
		return
	}
	if v.Token == quota.NoToken {
		d.refuseOverQuota(now, q, v.RetryAfter)
	} else {
		q.token = v.Token
		d.send(now, q)
	}
	// The request's next effect is the last one.
	last := len(d.effects) - 1
	d.effects[last] = &Resume{Request: q.id, Next: d.effects[last]}
}

// recoverHeld refuses a request that was to be resumed when Step panicked.
func (d *Dispatcher) recoverHeld() {
	for _, h := range d.quotas.held {
		resumed := slices.ContainsFunc(d.effects, func(f Effect) bool {
			r, ok := f.(*Resume)
			return ok && r.Request == h.id
		})
		if q := d.requests[h.id]; !h.waiting && !resumed && q == h.request {
			d.abandon(h.id, model.NotRun)
			last := len(d.effects) - 1
			d.effects[last] = &Resume{Request: h.id, Next: d.effects[last]}
		}
	}
	d.dropResumed()
}

func (d *Dispatcher) refuseOverQuota(now model.Instant, q *request, wait time.Duration) {
	if q.organisation != nil {
		if use, ok := d.quotas.holder.Use(now, q.organisation.Name); ok {
			q.quotaUse = &use
		}
	}
	d.refuse(q, model.CauseOverQuota, wait)
}

func (d *Dispatcher) quotaReplied(ev *QuotaReplied) {
	names := map[model.OrganisationName]bool{}
	for _, name := range d.quotas.holder.Answered(ev.At, ev.From, ev.Reply) {
		names[name] = true
	}
	if len(names) > 0 {
		d.retryHeld(ev.At, names)
	}
	d.sendQuotaReports(ev.At)
}

// AnswerQuotaReport answers a report about what an instance needs of organisations' limits. The
// reply is nil if there is nothing to answer.
func (d *Dispatcher) AnswerQuotaReport(now model.Instant, r *quota.Report) *quota.Reply {
	for i := range r.Demands {
		demand := &r.Demands[i]
		if o := d.config.Organisation(demand.Organisation); o != nil && o.HasLimit && d.config.Version > demand.Limit.Version {
			demand.Limit = limitOf(d.config.Version, o)
		}
	}
	return d.quotas.coordinator.Report(now, r)
}

// clockJumped drops all leases after a pause that the clock does not show.
func (d *Dispatcher) clockJumped(at model.Instant) {
	d.quotas.holder.Resumed()
	d.quotas.coordinator.Resumed(at)
	if len(d.quotas.limited) > 0 {
		d.warn(at, "quotas", "leases dropped", "the process was paused while its clock stood still")
	}
}

// QuotaCounts describes the part of this instance in the limits of organisations.
type QuotaCounts struct {
	Used        int // organisations with a limit that have had requests lately
	Leased      int // of which this instance holds a lease
	Coordinated int // organisations of whose limits this instance grants leases
}

// QuotaCounts returns the part of this instance in the limits of organisations.
func (d *Dispatcher) QuotaCounts(now model.Instant) QuotaCounts {
	used, leased := d.quotas.holder.Counts(now)
	return QuotaCounts{Used: used, Leased: leased, Coordinated: d.quotas.coordinator.Pools()}
}

// QuotaUse returns the use of an organisation's limit at this instance, and false if the
// organisation has had no requests lately.
func (d *Dispatcher) QuotaUse(now model.Instant, name model.OrganisationName) (quota.Use, bool) {
	return d.quotas.holder.Use(now, name)
}
