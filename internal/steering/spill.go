package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// chooseSpill selects an owner outside baselineCell, the cell of the request's
// baseline zone. It tries the tiers in order, nearer zones first, and draws a zone
// within a tier in proportion to its spill capacity.
func (p *Planner) chooseSpill(r *request, plan *plan, baselineCell *cell) Choice {
	service := &p.layout.services[plan.service]
	if service.reservesSpillFrom(r.now, r.meta.Rank, p.settings.SpillReservation) {
		return Choice{Cause: model.CauseShiftCap}
	}
	cause := model.CauseNone
	for _, tier := range plan.tiers {
		choice, reason := p.chooseSpillIn(r, tier, baselineCell)
		if choice.OK() {
			return choice
		}
		cause = higherPriority(cause, reason)
	}
	if cause == model.CauseShiftCap {
		service.shiftCapRefusedAt[r.meta.Rank] = r.now
	}
	return Choice{Cause: cause}
}

// reservesSpillFrom reports whether the shift cap refused spill of a more urgent rank
// within the reservation time. The spill that zones admit is then reserved for that
// rank.
func (s *serviceLayout) reservesSpillFrom(now model.Instant, rank model.Rank, reservation time.Duration) bool {
	for _, at := range s.shiftCapRefusedAt[:rank] {
		if at != 0 && now.Sub(at) < reservation {
			return true
		}
	}
	return false
}

func (p *Planner) chooseSpillIn(r *request, tier []candidate, baselineCell *cell) (Choice, model.Cause) {
	var picked *candidate
	cause := model.CauseNone
	total := 0.0
	for i := range tier {
		t := &tier[i]
		if t.cell == baselineCell {
			continue
		}
		capacity, reason := p.spillCapacity(r, t)
		if capacity <= 0 {
			p.reject(t.cell, "", true, reason)
			cause = higherPriority(cause, reason)
			continue
		}
		total += capacity
		if p.random.Float64()*total < capacity {
			picked = t
		}
	}
	if picked == nil {
		return Choice{}, cause
	}
	choice, reason := p.chooseOwner(r, picked, true)
	return choice, higherPriority(cause, reason)
}

// spillCapacity returns how many more requests from outside its baseline a zone can
// take, according to its last report and the requests sent since, or the cause if it
// can take none.
func (p *Planner) spillCapacity(r *request, t *candidate) (float64, model.Cause) {
	c := t.cell
	c.refresh(r.now, r.view)
	switch {
	case !c.loadFresh || !c.usable():
		return 0, model.CauseNoBackend
	case !dependenciesUsable(r.now, r.view, t.dependencies):
		return 0, model.CauseDependency
	case p.timeLeft(r, t) <= c.load.MeanRun:
		return 0, model.CauseDeadline
	}
	free := headroom(r.now, r.view, r.meta.Rank, c, t.dependencies)
	switch {
	case c.freeSlots(r.meta.Rank) <= 0:
		return 0, model.CauseQueueFull
	case free <= 0:
		return 0, model.CauseDependency
	case c.spillHeadroom() <= 0:
		return 0, model.CauseShiftCap
	case !p.withinLinkBudget(r, t):
		return 0, model.CauseLinkBudget
	}
	return min(free, c.spillHeadroom()), model.CauseNone
}

// higherPriority returns the more informative of two causes of a refusal: a limit
// that was reached takes precedence over the lack of an owner to send to. Equal
// priorities return a.
func higherPriority(a, b model.Cause) model.Cause {
	if causePriority(b) > causePriority(a) {
		return b
	}
	return a
}

func causePriority(c model.Cause) int {
	switch c {
	case model.CauseNone:
		return 0
	case model.CauseNoBackend:
		return 1
	case model.CauseDependency:
		return 2
	case model.CauseDeadline:
		return 3
	case model.CauseQueueFull:
		return 4
	case model.CauseShiftCap:
		return 5
	case model.CauseLinkBudget:
		return 6
	}
	return 1
}
