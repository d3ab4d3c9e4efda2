package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// spill looks for a zone away from the one that the request belongs to: nearer
// ones first, and among equals by how much they can take.
func (p *Planner) chooseSpill(r *request, plan *plan, baselineCell *cell) Choice {
	service := &p.layout.services[plan.service]
	if service.reservesSpillFrom(r.now, r.meta.Rank, p.settings.SpillReservation) {
		return Choice{Cause: model.CauseShiftCap}
	}
	cause := model.CauseNone
	for _, tier := range plan.tiers {
		choice, why := p.chooseSpillIn(r, tier, baselineCell)
		if choice.OK() {
			return choice
		}
		cause = higherPriority(cause, why)
	}
	if cause == model.CauseShiftCap {
		service.shiftCapRefusedAt[r.meta.Rank] = r.now
	}
	return Choice{Cause: cause}
}

// keepsSpillFrom reports whether the cap lately refused a more urgent rank: then
// what the zones admit is kept for it.
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
		capacity, why := p.spillCapacity(r, t)
		if capacity <= 0 {
			p.reject(t.cell, "", true, why)
			cause = higherPriority(cause, why)
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
	choice, why := p.chooseOwner(r, picked, true)
	return choice, higherPriority(cause, why)
}

// roomFor returns how many more requests from outside its baseline a zone can
// take now by what is known here, or why it takes none.
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

// weightier returns the cause that says more about why a request is refused: a
// bound that was reached before the lack of anything to send it to.
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
