package steering

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Choice is the owner that a request is sent to, or the cause of its refusal.
type Choice struct {
	Owner model.InstanceID // empty if the request is refused
	Zone  model.ZoneName
	Spill bool        // the zone is not the baseline zone drawn for the request
	Cause model.Cause // of the refusal
	// Candidates are the zones that were considered; nil if there were none.
	Candidates *model.Candidates

	cell  *cell
	state *ownerState
}

// OK reports whether the request may be sent.
func (c Choice) OK() bool { return c.Owner != "" }

// request holds the inputs of one call of Choose.
type request struct {
	now   model.Instant
	meta  *model.RequestMeta
	view  View
	tried []model.InstanceID
}

// Choose selects the owner for a request whose caller has the given home zones
// (none for callers without a group), excluding instances in tried. It does not
// count the request as sent; call Sent for that.
func (p *Planner) Choose(now model.Instant, m *model.RequestMeta, home []model.ZoneName, v View, tried []model.InstanceID) Choice {
	p.rejected = p.rejected[:0]
	if p.layout == nil {
		return Choice{Cause: model.CauseNoConfiguration}
	}
	plan := p.planFor(m.Service, home)
	if plan == nil || len(plan.baselineCandidates) == 0 {
		return Choice{Cause: model.CauseNoBackend}
	}
	choice := p.chooseFrom(plan, request{now: now, meta: m, view: v, tried: tried})
	choice.Candidates = plan.explained
	return choice
}

func (p *Planner) chooseFrom(plan *plan, r request) Choice {
	target := &plan.baselineCandidates[p.pickBaselineZone(plan, r.now)]
	cause := p.rejectionCause(&r, target)
	if cause == model.CauseNone && target.cell.overloadedWhileRecovering(r.meta.Rank) {
		if choice := p.chooseSpill(&r, plan, target.cell); choice.OK() {
			return choice
		}
	}
	if cause != model.CauseNone {
		p.reject(target.cell, "", false, cause)
	} else {
		if choice, refused := p.chooseOwner(&r, target, false); choice.OK() {
			return choice
		} else if refused != model.CauseNone {
			cause = refused
		}
	}
	choice := p.chooseSpill(&r, plan, target.cell)
	if choice.OK() {
		return choice
	}
	if cause == model.CauseDeadline && p.reachableInTime(&r, target) {
		if late, _ := p.chooseOwner(&r, target, false); late.OK() {
			return late // the owner has more recent data and decides whether the deadline can be met
		}
	}
	return Choice{Cause: higherPriority(cause, choice.Cause)}
}

// pickBaselineZone draws a zone of the baseline at random by its current weight
// and returns its index in plan.baselineCandidates.
func (p *Planner) pickBaselineZone(plan *plan, now model.Instant) int {
	if len(plan.baselineCandidates) == 1 {
		return 0
	}
	progress := plan.baseline.progress(now)
	left := p.random.Float64()
	last := 0
	for i := range plan.baselineCandidates {
		share := plan.baseline.share(i, progress)
		if share <= 0 {
			continue
		}
		last = i
		left -= share
		if left < 0 {
			return i
		}
	}
	return last
}

// rejectionCause returns why a baseline zone cannot serve a request in time, or
// CauseNone if it can.
func (p *Planner) rejectionCause(r *request, t *candidate) model.Cause {
	t.cell.refresh(r.now, r.view)
	switch {
	case !t.cell.usable():
		return model.CauseNoBackend
	case !dependenciesUsable(r.now, r.view, t.dependencies):
		return model.CauseDependency
	case p.timeLeft(r, t) <= 0:
		return model.CauseDeadline
	case !p.withinLinkBudget(r, t):
		return model.CauseLinkBudget
	case t.cell.loadFresh && t.cell.load.MeanRun+t.cell.queueWait(r.meta.Rank) > p.timeLeft(r, t):
		return model.CauseDeadline
	}
	return model.CauseNone
}

// timeLeft returns the time until the deadline minus the network round trip to the
// zone.
func (p *Planner) timeLeft(r *request, t *candidate) time.Duration {
	return r.meta.Deadline.Sub(r.now) - 2*p.oneWayDelay(t.distance)
}

func (p *Planner) reachableInTime(r *request, t *candidate) bool {
	return p.timeLeft(r, t) > 0 && p.withinLinkBudget(r, t)
}

func (p *Planner) oneWayDelay(d distance) time.Duration {
	switch d {
	case sameZone:
		return p.settings.SameZone
	case sameRegion:
		return p.settings.SameRegion
	}
	return p.settings.OtherRegion
}

func (p *Planner) withinLinkBudget(r *request, t *candidate) bool {
	return t.distance != otherRegion || p.linkAllows(r.now, r.meta.Rank, t.cell.region, r.view)
}

// chooseOwner picks an owner in a zone, or returns the cause if there is none.
func (p *Planner) chooseOwner(r *request, t *candidate, spill bool) (Choice, model.Cause) {
	i, cause := p.pickOwner(r, t.cell, spill)
	if i < 0 {
		return Choice{}, cause
	}
	c := t.cell
	return Choice{Owner: c.owners[i].Instance, Zone: c.zone, Spill: spill, cell: c, state: c.states[i]}, model.CauseNone
}

// pickOwner returns the index of the better of two owners drawn at random or, if
// neither is eligible, of the next eligible one. Without any it returns -1 and the
// cause.
func (p *Planner) pickOwner(r *request, c *cell, spill bool) (int, model.Cause) {
	n := len(c.owners)
	if n == 0 {
		p.reject(c, "", spill, model.CauseNoBackend)
		return -1, model.CauseNoBackend
	}
	first, second := 0, 0
	if n > 1 {
		first = p.random.IntN(n)
		second = p.random.IntN(n - 1)
		if second >= first {
			second++
		}
	}
	if i := c.betterOwner(r, first, second, spill); i >= 0 {
		return i, model.CauseNone
	}
	cause := model.CauseNoBackend
	for offset := range n {
		i := (first + offset) % n
		eligible, reason := c.eligible(r, i, spill)
		if eligible {
			return i, model.CauseNone
		}
		p.rejectOwner(r, c, i, spill, reason)
		cause = higherPriority(cause, reason)
	}
	return -1, cause
}

func (c *cell) betterOwner(r *request, a, b int, spill bool) int {
	okA, _ := c.eligible(r, a, spill)
	okB, _ := c.eligible(r, b, spill)
	switch {
	case okA && okB && c.score(r, b, spill) > c.score(r, a, spill):
		return b
	case okA:
		return a
	case okB:
		return b
	}
	return -1
}

// eligible reports whether the request may be sent to the owner at index i, or returns
// the cause if not. A backoff is reported as CauseShiftCap if it is for spill and as
// CauseQueueFull otherwise, whatever refusal caused it.
func (c *cell) eligible(r *request, i int, spill bool) (bool, model.Cause) {
	owner := &c.owners[i]
	if !owner.Reachable || slices.Contains(r.tried, owner.Instance) {
		return false, model.CauseNoBackend
	}
	if owner.LoadAge >= 0 && owner.LoadAge <= c.settings.StaleAfter && owner.Load.Slots == 0 {
		return false, model.CauseNoBackend
	}
	if c.states[i].backingOff(r.now, r.meta.Rank, spill) {
		if spill && r.now < c.states[i].spillBackoffUntil {
			return false, model.CauseShiftCap
		}
		return false, model.CauseQueueFull
	}
	return true, model.CauseNone
}

// score rates an owner by its free slots: the reported slots minus the larger of the
// reported load plus the requests sent since, and this instance's own requests in
// flight there. For spill, the score is at most the owner's remaining spill level.
// A positive score shrinks with the age of the report, since old reports are less
// reliable.
func (c *cell) score(r *request, i int, spill bool) float64 {
	owner := &c.owners[i]
	if owner.LoadAge < 0 {
		return 0
	}
	load := &owner.Load
	state := c.states[i]
	reported, own := load.InUse+state.sent, 0
	for rank := model.Urgent; rank <= r.meta.Rank; rank++ {
		reported += load.Queued[rank]
		own += state.inFlight[rank]
	}
	free := float64(load.Slots - max(reported, own))
	if spill {
		free = min(free, load.SpillLevel-float64(load.SpillInUse))
	}
	if free <= 0 {
		return free
	}
	return free * max(0, 1-float64(owner.LoadAge)/float64(c.settings.StaleAfter))
}
