package config

import (
	"math"
	"time"
)

// MoveTime is how long a zone takes under a shift cap from nothing to its whole
// baseline: the longest that the move to a text may last. Without a cap there is
// no move.
func (c ShiftCap) MoveTime() time.Duration {
	if c.Fraction <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(c.Window) / c.Fraction))
}

// StepInterval is the least time between two single slots of a shift into a
// number of slots, so that no half-open window of the cap's length holds more of
// them than the cap. A cap below one slot takes proportionally longer than its
// window for one. It is 0 where there is no cap.
func (c ShiftCap) StepInterval(slots int) time.Duration {
	growth := c.Fraction * float64(slots)
	if growth <= 0 || c.Window <= 0 {
		return 0
	}
	if growth < 1 {
		return time.Duration(math.Ceil(float64(c.Window) / growth))
	}
	whole := time.Duration(growth)
	return (c.Window + whole - 1) / whole
}

// Unfinished drops the texts that no longer shape the baseline when a next text
// is accepted: those before the last one whose move was over by the time of its
// successor. A text that does not parse is taken for one whose move was not.
func Unfinished(changes []TextChange, next time.Time) []TextChange {
	for i := len(changes) - 1; i > 0; i-- {
		text, err := Parse("earlier text", changes[i].Source)
		if err == nil && next.Sub(changes[i].AcceptedAt) >= text.Limits.ShiftCap.MoveTime() {
			return changes[i:]
		}
		next = changes[i].AcceptedAt
	}
	return changes
}

// turnShare is the part of a turn in which its owner may step, as 1/turnShare of
// the interval between two steps.
const turnShare = 8

// Turn says when one of several owners of a service in a zone may take a step of
// a shift. Owners whose part of the cap is below one slot take turns, since each
// would else take its one slot at the same time. The zero value allows any time.
type Turn struct {
	Interval time.Duration // least time between the steps of two owners
	Place    int           // 0 to Owners-1
	Owners   int
}

// NewTurn returns the turn of the owner at a place, given the slots of all owners.
// It takes turns with those whose part of the cap is below one slot, as its own.
func (c ShiftCap) NewTurn(slots []int, place int) Turn {
	var turn Turn
	shared := 0
	for i, n := range slots {
		if c.Fraction*float64(n) >= 1 {
			continue
		}
		if i < place {
			turn.Place++
		}
		turn.Owners++
		shared += n
	}
	if turn.Owners < 2 || c.Fraction*float64(slots[place]) >= 1 {
		return Turn{}
	}
	turn.Interval = c.StepInterval(shared)
	return turn
}

// Allows reports whether a step may be taken at a time, in nanoseconds since the
// epoch. Each turn lasts longer than the interval by the part in which a step may
// be taken, so that two steps are never closer than the interval.
func (t Turn) Allows(now int64) bool {
	if t.Owners < 2 || t.Interval <= 0 {
		return true
	}
	open := int64(t.Interval / turnShare)
	length := int64(t.Interval) + open
	return now/length%int64(t.Owners) == int64(t.Place) && now%length < open
}

// Cycle is how long it takes until the same owner's next turn.
func (t Turn) Cycle() time.Duration {
	return time.Duration(t.Owners) * (t.Interval + t.Interval/turnShare)
}
