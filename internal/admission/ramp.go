package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// useBuckets is the number of periods of a shift cap's window by which a level
// that is not used comes down to what is used.
const useBuckets = 8

// ramp bounds the spill concurrency of a service. Its level is a whole number of
// slots, starts at 0 and rises by steps of one, only when there is demand. In any
// half-open window of the cap's length it rises by at most the cap. A cap below
// one slot takes proportionally longer than a window for a step.
type ramp struct {
	interval time.Duration // between two steps; 0 admits no spill
	growth   float64       // slots by which the cap lets the level rise in a window
	turn     config.Turn   // among the owners of the service in the zone
	period   time.Duration // of use measurement

	slots    int // owned; bounds the level
	level    int
	admitted int // queued and running spill
	lastStep model.Instant
	stepped  bool
	wanted   model.Instant // since when a step has been due but for time; 0 without demand

	periodEnd model.Instant
	peak      int // most admitted in this period

	// refusedAt is when the cap last refused each rank.
	refusedAt [model.RankCount]model.Instant
}

func (r *ramp) configure(limit config.ShiftCap, slots int) {
	r.slots = slots
	r.interval = limit.StepInterval(slots)
	r.growth = limit.Fraction * float64(slots)
	r.period = limit.Window / useBuckets
	r.level = min(r.level, slots)
	if r.interval == 0 {
		r.level = 0
	}
}

// seed takes over the level of the owner before.
func (r *ramp) seed(now model.Instant, level float64) {
	r.settle(now)
	if r.interval == 0 || int(level) <= r.level {
		return
	}
	r.level = int(level)
	r.lastStep = now
	r.stepped = true
	r.peak = max(r.peak, r.level)
}

// admit takes one request of the rank in, or refuses it.
func (r *ramp) admit(now model.Instant, rank model.Rank) bool {
	r.settle(now)
	if r.moreUrgentRefused(now, rank) {
		return false
	}
	if r.admitted >= r.level && !r.step(now) {
		r.refusedAt[rank] = now
		return false
	}
	r.admitted++
	r.peak = max(r.peak, r.admitted)
	return true
}

func (r *ramp) release(now model.Instant) {
	r.settle(now)
	r.admitted--
}

// moreUrgentRefused reports whether the cap lately refused a more urgent rank:
// then what frees is kept for it.
func (r *ramp) moreUrgentRefused(now model.Instant, rank model.Rank) bool {
	for _, at := range r.refusedAt[:rank] {
		if at != 0 && now.Sub(at) < r.period {
			return true
		}
	}
	return false
}

func (r *ramp) step(now model.Instant) bool {
	if r.interval == 0 || r.level >= r.slots {
		return false
	}
	if !r.demanded(now) {
		r.wanted = now
	}
	if !r.due(now) {
		return false
	}
	r.level++
	r.lastStep = now
	r.stepped = true
	r.wanted = 0
	return true
}

// demanded reports whether there has been demand since wanted: some of it in two
// intervals and the owner's turn after them.
func (r *ramp) demanded(now model.Instant) bool {
	return r.wanted != 0 && now.Sub(r.wanted) <= 2*r.interval+r.turn.Cycle()
}

// due reports whether a step may be taken.
func (r *ramp) due(now model.Instant) bool {
	return now >= r.stepDue() && r.turn.Allows(int64(now))
}

// stepDue is the earliest time of the next step. A first step that is larger
// than the cap waits its whole interval.
func (r *ramp) stepDue() model.Instant {
	if r.stepped {
		return r.lastStep.Add(r.interval)
	}
	if r.interval > r.period*useBuckets {
		return r.wanted.Add(r.interval)
	}
	return 0
}

// offered is the level that peers are told: with the next step where it is due,
// since senders stay below it and would else never ask for one. A cap below one
// slot whose first step waits for demand is offered as such; a fraction of a slot
// is room to ask, and nothing that a new owner could take over.
func (r *ramp) offered(now model.Instant) float64 {
	r.settle(now)
	level := float64(r.level)
	switch {
	case r.interval == 0 || r.level >= r.slots:
		return level
	case r.waitsForDemand(now):
		return level + r.growth
	case r.due(now):
		return level + 1
	}
	return level
}

// waitsForDemand reports whether the interval of a first step that is larger than
// the cap has yet to begin.
func (r *ramp) waitsForDemand(now model.Instant) bool {
	return !r.stepped && r.growth < 1 && !r.demanded(now)
}

// settle lowers the level to the most that was admitted in the last period.
func (r *ramp) settle(now model.Instant) {
	if r.period <= 0 || now < r.periodEnd {
		return
	}
	skipped := now.Sub(r.periodEnd) / r.period
	if skipped > 0 {
		r.peak = r.admitted
	}
	r.level = min(r.level, r.peak)
	r.peak = r.admitted
	r.periodEnd = r.periodEnd.Add((skipped + 1) * r.period)
}
