package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// canStartBy estimates whether a new request of the rank, behind ahead
// nanoseconds of slot time of its own rank, starts within the budget. The first
// one of a rank with a floor is always tried, so that estimates that were once
// too long are corrected.
func (s *service) canStartBy(now model.Instant, rank int, ahead, cost float64, budget time.Duration) bool {
	if s.queued == 0 && s.freeServer(now) != nil && s.withinReserve(now, rank) {
		return true
	}
	if ahead == 0 && s.floors[rank] > 0 {
		return true
	}
	return ahead+cost <= s.available(rank, float64(budget))
}

// available estimates the slot time that the rank gets within the horizon: what
// more urgent ranks leave, less the floors of the ranks below that compete, and
// never less than its own floor.
func (s *service) available(rank int, horizon float64) float64 {
	total := float64(s.capacity) * horizon
	left := total
	for other := range s.queues {
		if other > rank {
			left -= s.guaranteed(other, total, horizon)
		}
	}
	left -= s.takenByUrgent(rank, left, total, horizon)
	return max(left, s.floors[rank]*total)
}

// takenByUrgent estimates the slot time that ranks more urgent than rank take,
// or keep in reserve, of left.
func (s *service) takenByUrgent(rank int, left, total, horizon float64) float64 {
	taken := 0.0
	for other := range rank {
		floor := s.floors[rank] * total
		for between := other + 1; between < rank; between++ {
			floor += s.guaranteed(between, total, horizon)
		}
		taken += min(s.demand(other, horizon), max(0, left-taken-floor))
	}
	return min(taken+float64(s.kept(rank))*horizon, max(left, 0))
}

// guaranteed is the part of the demand of a rank that its floor covers.
func (s *service) guaranteed(rank int, total, horizon float64) float64 {
	return min(s.demand(rank, horizon), s.floors[rank]*total)
}

// demand estimates the slot time that a rank asks for within the horizon.
func (s *service) demand(rank int, horizon float64) float64 {
	return s.queues[rank].work() + s.arrivals.concurrency(rank)*horizon
}
