package edge

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

const (
	// quotaReportTimeout is the timeout of a report about quotas. A later reply is of no use:
	// the next report has been sent by then.
	quotaReportTimeout = time.Second
	// maxQuotaDemands bounds the organisations in a report that is answered.
	maxQuotaDemands = 10_000
	// inheritedListAge is the age up to which the first list of instances shows that an earlier
	// process of this instance is listed. An entry that was removed longer ago may have made
	// another instance the coordinator of an organisation.
	inheritedListAge = 2 * time.Second
	// inheritedAfter is how long before the start of this process the instance must have been
	// listed first, so that all other instances know it.
	inheritedAfter = 15 * time.Second
	// pauseThreshold is how much more time must have passed by the wall clock than by the
	// monotonic clock for the process to count as paused.
	pauseThreshold = 500 * time.Millisecond
)

// quotaMetrics counts what this instance does for the limits of organisations.
type quotaMetrics struct {
	reports *prometheus.CounterVec // by result
	held    *prometheus.CounterVec // by result
}

func newQuotaMetrics() *quotaMetrics {
	return &quotaMetrics{
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_quota_reports_total", Help: "Reports to coordinators of organisations' limits by result.",
		}, []string{"result"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_quota_held_requests_total", Help: "Requests that waited for a lease of their organisation's limit, by result.",
		}, []string{"result"}),
	}
}

// sendQuotaReport sends a report to a coordinator, which may be this instance, and posts the
// reply. It does not block; the caller holds mu.
func (e *Edge) sendQuotaReport(f *dispatch.SendQuotaReport) {
	e.background(contain.Link, func() {
		reply, err := e.quotaReply(f)
		now := e.clock.now()
		if err != nil || reply == nil {
			e.metrics.quotas.reports.WithLabelValues("failed").Inc()
			e.log.WithField("peer", f.To).WithError(err).Debug("quota report not answered")
			e.post(&dispatch.QuotaReportFailed{At: now, To: f.To, Number: f.Report.Number})
			return
		}
		result := "answered"
		if len(reply.Grants) < len(f.Report.Demands) {
			result = "not granted"
		}
		e.metrics.quotas.reports.WithLabelValues(result).Inc()
		e.post(&dispatch.QuotaReplied{At: now, From: f.To, Reply: reply})
	})
}

func (e *Edge) quotaReply(f *dispatch.SendQuotaReport) (*quota.Reply, error) {
	if f.To == e.options.Self.ID {
		return e.answerQuotaReport(f.Report), nil
	}
	reply, err := e.links.QuotaReport(e.ctx, f.To, e.linkAddr(f.To), quotaReportToProto(f.Report), quotaReportTimeout)
	if err != nil {
		return nil, err
	}
	return quotaReplyFromProto(reply), nil
}

// maxHandoverDelay is the time after a decision to hand an organisation over in which it must be
// sent. After a longer pause of this process another instance may coordinate the organisation.
const maxHandoverDelay = 500 * time.Millisecond

// sendQuotaHandover hands an organisation over to the next coordinator. It does not block; the
// caller holds mu.
func (e *Edge) sendQuotaHandover(f *dispatch.SendQuotaHandover) {
	decided := time.Now()
	e.background(contain.Link, func() {
		report := &linkpb.QuotaReport{
			Instance: string(e.options.Self.ID), Incarnation: f.Handover.From, Handover: quotaHandoverToProto(f.Handover),
		}
		addr := e.linkAddr(f.To)
		if now := time.Now(); now.Sub(decided) > maxHandoverDelay || now.Round(0).Sub(decided.Round(0)) > maxHandoverDelay {
			return
		}
		_, err := e.links.QuotaReport(e.ctx, f.To, addr, report, quotaReportTimeout)
		result := "handed over"
		if err != nil {
			result = "not handed over"
			e.log.WithFields(logrus.Fields{"peer": f.To, "organisation": f.Handover.Organisation}).WithError(err).Warn("organisation not handed over")
		}
		e.metrics.quotas.reports.WithLabelValues(result).Inc()
	})
}

func (e *Edge) linkAddr(id model.InstanceID) (addr string) {
	e.lockFleet(func() { addr = e.listed[id].entry.LinkAddr })
	return addr
}

func (e *Edge) answerQuotaReport(r *quota.Report) *quota.Reply {
	e.noticePause(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.AnswerQuotaReport(e.clock.now(), r)
}

// QuotaReport implements link.Events.
func (e *Edge) QuotaReport(report *linkpb.QuotaReport) *linkpb.QuotaReply {
	if len(report.GetDemands()) > maxQuotaDemands {
		return nil
	}
	if report.GetHandover() != nil {
		e.post(&dispatch.QuotaOffered{At: e.clock.now(), Handover: quotaHandoverFromProto(report)})
		return &linkpb.QuotaReply{}
	}
	reply := e.answerQuotaReport(quotaReportFromProto(report))
	if reply == nil {
		return nil
	}
	return quotaReplyToProto(reply)
}

// resume gives a request that waits for a lease its next effect. It does not block; the caller
// holds Edge.mu.
func (c *call) resume(next dispatch.Effect) {
	result := "admitted"
	if refuse, ok := next.(*dispatch.Refuse); ok {
		result = "refused"
		if refuse.Cause == model.CauseOverQuota {
			result = "over quota"
		}
	}
	c.edge.metrics.quotas.held.WithLabelValues(result).Inc()
	c.hedges.Go(func() {
		select {
		case c.outcomes <- outcome{next: next}:
		case <-c.ended:
		}
	})
}

// pauseWatch compares the wall clock with the monotonic clock, which stands still while the
// machine is suspended.
type pauseWatch struct {
	active atomic.Bool  // an organisation has a limit
	lead   atomic.Int64 // of the wall clock over the monotonic one, at the last look
}

// noticePause reports a pause that the monotonic clock does not show. A wall clock that was set
// forward has the same effect: leases are requested anew.
func (e *Edge) noticePause(t time.Time) {
	lead := t.UnixNano() - int64(e.clock.at(t))
	before := e.pauses.lead.Swap(lead)
	if before != 0 && lead-before > int64(pauseThreshold) && e.pauses.active.Load() {
		e.post(&dispatch.ClockJumped{At: e.clock.at(t)})
	}
}

// limited reports whether any of the organisations has a limit.
func limited(list []catalog.Organisation) bool {
	return lo.SomeBy(list, func(o catalog.Organisation) bool { return o.HasLimit })
}

// inherited reports whether the first list of instances that was read since the start of this
// process shows that the instance was listed before. This process may have replaced the entry of
// the earlier one already. The caller must hold fleetMu.
func (e *Edge) inherited(now model.Instant) bool {
	self, ok := e.listed[e.options.Self.ID]
	freshAt := e.replica.FreshAt(e.options.Tables.Instances)
	since := cmp.Or(self.entry.ListedNanos, self.entry.StartedNanos)
	return ok && self.lostAt == 0 && e.options.Self.StartedNanos-since >= int64(inheritedAfter) &&
		int64(freshAt) >= e.options.Self.StartedNanos && now.Sub(freshAt) <= inheritedListAge
}

// foundingSpan is the time within which the instances of a new fleet are first listed.
const foundingSpan = 2 * time.Second

// founding reports whether this process is listed, and no other instance was listed long before
// it. The caller must hold fleetMu.
func (e *Edge) founding() bool {
	if !e.isListed() || e.replica.FreshAt(e.options.Tables.Instances) < model.Instant(e.options.Self.StartedNanos) {
		return false
	}
	since := e.listed[e.options.Self.ID].entry.ListedNanos
	return lo.EveryBy(lo.Values(e.listed), func(l listedInstance) bool {
		return cmp.Or(l.entry.ListedNanos, l.entry.StartedNanos) >= since-int64(foundingSpan)
	})
}

func quotaLimitToProto(l quota.Limit) *linkpb.QuotaLimit {
	return &linkpb.QuotaLimit{Version: l.Version, Rate: l.Rate, Burst: l.Burst}
}

func quotaLimitFromProto(l *linkpb.QuotaLimit) quota.Limit {
	return quota.Limit{Version: l.GetVersion(), Rate: l.GetRate(), Burst: l.GetBurst()}
}

func quotaLeaseToProto(l quota.Lease) *linkpb.QuotaLease {
	if l.Sequence == 0 {
		return nil
	}
	return &linkpb.QuotaLease{Grantor: l.Grantor, Sequence: l.Sequence, Rate: l.Rate, Depth: l.Depth, Limit: quotaLimitToProto(l.Limit)}
}

func quotaLeaseFromProto(l *linkpb.QuotaLease) quota.Lease {
	return quota.Lease{Grantor: l.GetGrantor(), Sequence: l.GetSequence(), Rate: l.GetRate(), Depth: l.GetDepth(), Limit: quotaLimitFromProto(l.GetLimit())}
}

func quotaReportToProto(r *quota.Report) *linkpb.QuotaReport {
	return &linkpb.QuotaReport{
		Number: r.Number, Instance: string(r.From), Incarnation: r.Incarnation,
		Demands: lo.Map(r.Demands, func(d quota.Demand, _ int) *linkpb.QuotaDemand {
			return &linkpb.QuotaDemand{
				Organisation: string(d.Organisation), Limit: quotaLimitToProto(d.Limit), PerSecond: d.PerSecond,
				Waiting: uint32(d.Waiting), Wanted: d.Wanted, Returned: d.Returned, Lease: quotaLeaseToProto(d.Lease),
				GrantedByOther: d.GrantedByOther,
			}
		}),
	}
}

func quotaReportFromProto(r *linkpb.QuotaReport) *quota.Report {
	return &quota.Report{
		Number: r.GetNumber(), From: model.InstanceID(r.GetInstance()), Incarnation: r.GetIncarnation(),
		Demands: lo.Map(r.GetDemands(), func(d *linkpb.QuotaDemand, _ int) quota.Demand {
			return quota.Demand{
				Organisation: model.OrganisationName(d.GetOrganisation()), Limit: quotaLimitFromProto(d.GetLimit()), PerSecond: d.GetPerSecond(),
				Waiting: int(d.GetWaiting()), Wanted: d.GetWanted(), Returned: d.GetReturned(), Lease: quotaLeaseFromProto(d.GetLease()),
				GrantedByOther: d.GetGrantedByOther(),
			}
		}),
	}
}

func quotaReplyToProto(r *quota.Reply) *linkpb.QuotaReply {
	return &linkpb.QuotaReply{
		Number: r.Number, NextNs: int64(r.Next),
		Grants: lo.Map(r.Grants, func(g quota.Grant, _ int) *linkpb.QuotaGrant {
			return &linkpb.QuotaGrant{
				Organisation: string(g.Organisation), Lease: quotaLeaseToProto(g.Lease), Tokens: g.Tokens,
				Saturated: g.Saturated, Renewed: g.Renewed, MovedTo: string(g.MovedTo),
			}
		}),
	}
}

func quotaReplyFromProto(r *linkpb.QuotaReply) *quota.Reply {
	return &quota.Reply{
		Number: r.GetNumber(), Next: time.Duration(r.GetNextNs()),
		Grants: lo.Map(r.GetGrants(), func(g *linkpb.QuotaGrant, _ int) quota.Grant {
			return quota.Grant{
				Organisation: model.OrganisationName(g.GetOrganisation()), Lease: quotaLeaseFromProto(g.GetLease()), Tokens: g.GetTokens(),
				Saturated: g.GetSaturated(), Renewed: g.GetRenewed(), MovedTo: model.InstanceID(g.GetMovedTo()),
			}
		}),
	}
}

func quotaHandoverToProto(h *quota.Handover) *linkpb.QuotaHandover {
	return &linkpb.QuotaHandover{
		Number: h.Number, Organisation: string(h.Organisation), Limit: quotaLimitToProto(h.Limit), Free: h.Free,
		Leaving: h.Leaving != "",
		Leases: lo.Map(h.Leases, func(l quota.HandedLease, _ int) *linkpb.QuotaHandedLease {
			return &linkpb.QuotaHandedLease{Lease: quotaLeaseToProto(l.Lease), Holder: string(l.Holder), Incarnation: l.Incarnation, LeftNs: int64(l.Left)}
		}),
	}
}

func quotaHandoverFromProto(from *linkpb.QuotaReport) *quota.Handover {
	h, leaving := from.GetHandover(), model.InstanceID("")
	if h.GetLeaving() {
		leaving = model.InstanceID(from.GetInstance())
	}
	return &quota.Handover{
		From: from.GetIncarnation(), Leaving: leaving, Number: h.GetNumber(), Organisation: model.OrganisationName(h.GetOrganisation()),
		Limit: quotaLimitFromProto(h.GetLimit()), Free: h.GetFree(),
		Leases: lo.Map(h.GetLeases(), func(l *linkpb.QuotaHandedLease, _ int) quota.HandedLease {
			return quota.HandedLease{
				Lease: quotaLeaseFromProto(l.GetLease()), Holder: model.InstanceID(l.GetHolder()), Incarnation: l.GetIncarnation(), Left: time.Duration(l.GetLeftNs()),
			}
		}),
	}
}
