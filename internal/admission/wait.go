package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// canStartWithin estimates whether a new request of the rank starts within the
// budget if ahead nanoseconds of slot time of its own rank are served before it.
// A request is always accepted if its rank has a floor and nothing of its rank is
// served before it, so that an estimate that is too high gets new samples and is
// corrected.
func (s *service) canStartWithin(now model.Instant, rank int, ahead, cost float64, budget time.Duration) bool {
	if s.queued == 0 && s.freeServer(now) != nil && s.withinReserve(now, rank) {
		return true
	}
	if ahead == 0 && s.floors[rank] > 0 {
		return true
	}
	return ahead+cost <= s.available(rank, float64(budget))
}

// available estimates the slot time that the rank gets within the horizon, both in
// nanoseconds: the slot time that more urgent ranks leave, minus the guaranteed
// part of the demand of less urgent ranks, but at least its own floor.
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

// takenByUrgent estimates how much of left is used by ranks more urgent than rank
// or reserved for them, in nanoseconds of slot time.
func (s *service) takenByUrgent(rank int, left, total, horizon float64) float64 {
	taken := 0.0
	for other := range rank {
		floor := s.floors[rank] * total
		for between := other + 1; between < rank; between++ {
			floor += s.guaranteed(between, total, horizon)
		}
		taken += min(s.demand(other, horizon), max(0, left-taken-floor))
	}
	return min(taken+float64(s.reservedSlots(rank))*horizon, max(left, 0))
}

// guaranteed returns the part of the demand of a rank that its floor covers.
func (s *service) guaranteed(rank int, total, horizon float64) float64 {
	return min(s.demand(rank, horizon), s.floors[rank]*total)
}

// demand estimates the slot time that a rank needs within the horizon, in
// nanoseconds.
func (s *service) demand(rank int, horizon float64) float64 {
	return s.queues[rank].work() + s.arrivals.concurrency(rank)*horizon
}
