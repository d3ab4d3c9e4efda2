package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// periodsPerWindow is the number of periods in a shift cap's window. At the end of
// each period, the level is lowered to the peak use within it.
const periodsPerWindow = 8

// ramp bounds the spill concurrency of a service. Its level is a whole number of
// slots. It starts at 0 and rises in steps of one slot, only while there is
// demand. In any half-open window of the cap's length it rises by at most the cap.
// With a cap below one slot, a step takes proportionally longer than a window.
type ramp struct {
	interval       time.Duration // minimum time between two steps; 0 admits no spill
	slotsPerWindow float64       // maximum rise of the level in a window
	turn           config.Turn   // turn of this owner among those of the service in the zone
	period         time.Duration // over which the peak use is measured

	slots       int // owned slots; upper bound of the level
	level       int
	admitted    int // queued and running spill requests
	lastStep    model.Instant
	hasStepped  bool
	demandSince model.Instant // time since which demand has waited for a step; 0 without demand

	periodEnd model.Instant
	peak      int // maximum of admitted in this period

	// refusedAt is the time of the last refusal by the cap for each rank.
	refusedAt [model.RankCount]model.Instant
}

func (r *ramp) configure(limit config.ShiftCap, slots int) {
	r.slots = slots
	r.interval = limit.StepInterval(slots)
	r.slotsPerWindow = limit.Fraction * float64(slots)
	r.period = limit.Window / periodsPerWindow
	r.level = min(r.level, slots)
	if r.interval == 0 {
		r.level = 0
	}
}

// seed raises the level to the one that the previous owner published.
func (r *ramp) seed(now model.Instant, level float64) {
	r.rollPeriod(now)
	if r.interval == 0 || int(level) <= r.level {
		return
	}
	r.level = int(level)
	r.lastStep = now
	r.hasStepped = true
	r.peak = max(r.peak, r.level)
}

// admit counts one spill request of the rank as admitted, or returns false if it
// must be refused.
func (r *ramp) admit(now model.Instant, rank model.Rank) bool {
	r.rollPeriod(now)
	if r.moreUrgentRefused(now, rank) {
		return false
	}
	if r.admitted >= r.level && !r.tryStep(now) {
		r.refusedAt[rank] = now
		return false
	}
	r.admitted++
	r.peak = max(r.peak, r.admitted)
	return true
}

func (r *ramp) release(now model.Instant) {
	r.rollPeriod(now)
	r.admitted--
}

// moreUrgentRefused reports whether the cap refused a more urgent rank within the
// last period. Slots that become free are then kept for that rank.
func (r *ramp) moreUrgentRefused(now model.Instant, rank model.Rank) bool {
	for _, at := range r.refusedAt[:rank] {
		if at != 0 && now.Sub(at) < r.period {
			return true
		}
	}
	return false
}

func (r *ramp) tryStep(now model.Instant) bool {
	if r.interval == 0 || r.level >= r.slots {
		return false
	}
	if !r.hasDemand(now) {
		r.demandSince = now
	}
	if !r.canStep(now) {
		return false
	}
	r.level++
	r.lastStep = now
	r.hasStepped = true
	r.demandSince = 0
	return true
}

// hasDemand reports whether the demand since demandSince still counts. It does for
// two intervals and one cycle of turns, which leaves time for the owner's turn
// after the intervals.
func (r *ramp) hasDemand(now model.Instant) bool {
	return r.demandSince != 0 && now.Sub(r.demandSince) <= 2*r.interval+r.turn.Period()
}

// canStep reports whether the time and the turn allow a step now.
func (r *ramp) canStep(now model.Instant) bool {
	return now >= r.nextStepAt() && r.turn.Allows(int64(now))
}

// nextStepAt returns the earliest time of the next step. If a step of one slot is
// larger than the cap, the first step waits a whole interval from the start of the
// demand.
func (r *ramp) nextStepAt() model.Instant {
	if r.hasStepped {
		return r.lastStep.Add(r.interval)
	}
	if r.interval > r.period*periodsPerWindow {
		return r.demandSince.Add(r.interval)
	}
	return 0
}

// advertisedLevel returns the level that is published to peers. It includes the
// next step if that may be taken now, because senders stay below the advertised
// level and would otherwise never request a step. If the cap is below one slot and
// the first step waits for demand, the level is raised by the cap instead: the
// fraction of a slot lets senders make a request, and a new owner that seeds its
// ramp from it gains nothing.
func (r *ramp) advertisedLevel(now model.Instant) float64 {
	r.rollPeriod(now)
	level := float64(r.level)
	switch {
	case r.interval == 0 || r.level >= r.slots:
		return level
	case r.waitsForDemand(now):
		return level + r.slotsPerWindow
	case r.canStep(now):
		return level + 1
	}
	return level
}

// waitsForDemand reports whether the cap is below one slot and the interval before
// the first step has not begun, for lack of demand.
func (r *ramp) waitsForDemand(now model.Instant) bool {
	return !r.hasStepped && r.slotsPerWindow < 1 && !r.hasDemand(now)
}

// rollPeriod starts a new period if the current one has ended, and lowers the level
// to the peak use in the last period.
func (r *ramp) rollPeriod(now model.Instant) {
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
