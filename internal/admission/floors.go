package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// creditRuns bounds a credit or debt: slot time of so many mean runs.
	creditRuns = 8
	// idleCreditRuns bounds the credit that a rank without a backlog keeps, so that
	// a burst of a rank that stays below its floor need not wait to earn it.
	idleCreditRuns = 4
	// traceShare is the share of the capacity below which a rank's recent demand
	// does not count as competition.
	traceShare = 0.01
)

// floorCredits accounts for the slot time that each rank is owed under its
// floor. A rank with a backlog earns its floor's share of the capacity. It pays
// for each request that it starts while other ranks have work: the expected slot
// time at the start, the difference to the true one at the end. In the long run a
// rank that always waits so gets its floor, however few slots there are.
type floorCredits struct {
	balance [model.RankCount]float64 // nanoseconds of slot time
	settled model.Instant
}

// advance adds what was earned since the last call.
func (c *floorCredits) advance(now model.Instant, s *service) {
	elapsed := float64(now.Sub(c.settled))
	c.settled = now
	if elapsed <= 0 {
		return
	}
	bound := creditRuns * s.meanRun()
	for rank := range c.balance {
		balance := c.balance[rank] + s.floors[rank]*float64(s.capacity)*elapsed
		if s.queues[rank].count() == 0 {
			balance = min(balance, idleCreditRuns*s.meanRun())
		}
		c.balance[rank] = min(max(balance, -bound), bound)
	}
}

// charge pays for a request that starts.
func (s *service) charge(r *request) {
	if !s.othersPresent(r.rank) {
		return
	}
	r.charged = true
	s.credits.balance[r.rank] -= r.cost
}

// settle pays the difference between the expected and the true slot time.
func (s *service) settle(r *request, now model.Instant) {
	if r.charged {
		s.credits.balance[r.rank] -= float64(now.Sub(r.startedAt)) - r.cost
	}
	r.charged = false
}

// othersPresent reports whether another rank has work queued or running, or
// lately has had more than a trace.
func (s *service) othersPresent(rank model.Rank) bool {
	trace := traceShare * float64(s.capacity)
	for other := range s.queues {
		if other == int(rank) {
			continue
		}
		if s.inUse[other] > 0 || s.queues[other].count() > 0 || s.arrivals.concurrency(other) > trace {
			return true
		}
	}
	return false
}

// owedRank returns the rank with a backlog that its floor owes most. A more
// urgent rank goes first while the difference is below one mean run a rank.
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

// meanRun is the expected slot time of a request in nanoseconds.
func (s *service) meanRun() float64 {
	if s.runs.samples == 0 {
		return float64(unknownRun)
	}
	return max(s.runs.mean, float64(time.Microsecond))
}
