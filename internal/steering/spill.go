package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// spill looks for a zone away from the one that the request belongs to: nearer
// ones first, and among equals by how much they can take.
func (p *Planner) spill(r *request, plan *plan, belongs *cell) Choice {
	service := &p.layout.services[plan.service]
	if service.keepsSpillFrom(r.now, r.meta.Rank, p.settings.KeepSpill) {
		return Choice{Cause: model.CauseShiftCap}
	}
	cause := model.CauseNone
	for _, tier := range plan.tiers {
		choice, why := p.spillInto(r, tier, belongs)
		if choice.OK() {
			return choice
		}
		cause = weightier(cause, why)
	}
	if cause == model.CauseShiftCap {
		service.capRefusedAt[r.meta.Rank] = r.now
	}
	return Choice{Cause: cause}
}

// keepsSpillFrom reports whether the cap lately refused a more urgent rank: then
// what the zones admit is kept for it.
func (s *serviceLayout) keepsSpillFrom(now model.Instant, rank model.Rank, keep time.Duration) bool {
	for _, at := range s.capRefusedAt[:rank] {
		if at != 0 && now.Sub(at) < keep {
			return true
		}
	}
	return false
}

func (p *Planner) spillInto(r *request, tier []candidate, belongs *cell) (Choice, model.Cause) {
	var picked *candidate
	cause := model.CauseNone
	total := 0.0
	for i := range tier {
		t := &tier[i]
		if t.cell == belongs {
			continue
		}
		room, why := p.roomFor(r, t)
		if room <= 0 {
			p.reject(t.cell, "", true, why)
			cause = weightier(cause, why)
			continue
		}
		total += room
		if p.random.Float64()*total < room {
			picked = t
		}
	}
	if picked == nil {
		return Choice{}, cause
	}
	choice, why := p.send(r, picked, true)
	return choice, weightier(cause, why)
}

// roomFor returns how many more requests from outside its baseline a zone can
// take now by what is known here, or why it takes none.
func (p *Planner) roomFor(r *request, t *candidate) (float64, model.Cause) {
	c := t.cell
	c.refresh(r.now, r.view)
	switch {
	case !c.known || !c.usable():
		return 0, model.CauseNoBackend
	case !dependenciesServe(r.now, r.view, t.needs):
		return 0, model.CauseDependency
	case p.timeLeft(r, t) <= c.load.MeanRun:
		return 0, model.CauseDeadline
	}
	free := headroom(r.now, r.view, r.meta.Rank, c, t.needs)
	switch {
	case c.free(r.meta.Rank) <= 0:
		return 0, model.CauseQueueFull
	case free <= 0:
		return 0, model.CauseDependency
	case c.spillRoom() <= 0:
		return 0, model.CauseShiftCap
	case !p.withinLink(r, t):
		return 0, model.CauseLinkBudget
	}
	return min(free, c.spillRoom()), model.CauseNone
}

// weightier returns the cause that says more about why a request is refused: a
// bound that was reached before the lack of anything to send it to.
func weightier(a, b model.Cause) model.Cause {
	if causeWeight(b) > causeWeight(a) {
		return b
	}
	return a
}

func causeWeight(c model.Cause) int {
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
