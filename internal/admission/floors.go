package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// maxCreditRuns bounds a credit or debt, in mean run times.
	maxCreditRuns = 8
	// maxIdleCreditRuns bounds the credit, in mean run times, that a rank keeps
	// while it has no backlog. A rank that stays below its floor can thus start a
	// burst without first waiting to earn credit.
	maxIdleCreditRuns = 4
	// negligibleShare is the share of the capacity up to which a rank's recent
	// demand does not count as competition.
	negligibleShare = 0.01
)

// floorCredits accounts for the slot time that each rank is owed under its
// floor. A rank with a backlog earns its floor's share of the capacity. Each
// request that it starts while other ranks have work is charged to it: the
// expected slot time at the start, and the difference to the actual slot time at
// the end. A rank that always has a backlog therefore gets its floor in the long
// run, however few slots there are.
type floorCredits struct {
	balance   [model.RankCount]float64 // nanoseconds of slot time
	updatedAt model.Instant
}

// advance adds the credit earned since the last call.
func (c *floorCredits) advance(now model.Instant, s *service) {
	elapsed := float64(now.Sub(c.updatedAt))
	c.updatedAt = now
	if elapsed <= 0 {
		return
	}
	bound := maxCreditRuns * s.meanRun()
	for rank := range c.balance {
		balance := c.balance[rank] + s.floors[rank]*float64(s.capacity)*elapsed
		if s.queues[rank].count() == 0 {
			balance = min(balance, maxIdleCreditRuns*s.meanRun())
		}
		c.balance[rank] = min(max(balance, -bound), bound)
	}
}

// charge debits the rank of a request that starts with the request's expected slot
// time, if other ranks compete for the slots.
func (s *service) charge(r *request) {
	if !s.hasCompetition(r.rank) {
		return
	}
	r.charged = true
	s.credits.balance[r.rank] -= r.cost
}

// settleCharge debits the difference between the actual and the expected slot time
// of a request that was charged at its start.
func (s *service) settleCharge(r *request, now model.Instant) {
	if r.charged {
		s.credits.balance[r.rank] -= float64(now.Sub(r.startedAt)) - r.cost
	}
	r.charged = false
}

// hasCompetition reports whether another rank has work queued or running, or has
// had more than a negligible demand recently.
func (s *service) hasCompetition(rank model.Rank) bool {
	negligible := negligibleShare * float64(s.capacity)
	for other := range s.queues {
		if other == int(rank) {
			continue
		}
		if s.inUse[other] > 0 || s.queues[other].count() > 0 || s.arrivals.concurrency(other) > negligible {
			return true
		}
	}
	return false
}

// owedRank returns the rank with a backlog that is owed the most slot time under
// its floor. A more urgent rank takes precedence unless it is owed less by more than
// one mean run time for each step between the two ranks.
func (s *service) owedRank(blocked *[model.RankCount]bool) (int, bool) {
	owed, found, best := 0, false, 0.0
	for rank, balance := range s.credits.balance {
		if blocked[rank] || balance <= 0 || s.queues[rank].count() == 0 {
			continue
		}
		preference := balance - float64(rank)*s.meanRun()
		if !found || preference > best {
			owed, found, best = rank, true, preference
		}
	}
	return owed, found
}

// meanRun returns the expected slot time of a request in nanoseconds.
func (s *service) meanRun() float64 {
	if s.runs.samples == 0 {
		return float64(defaultRunTime)
	}
	return max(s.runs.mean, float64(time.Microsecond))
}
