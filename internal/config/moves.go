package config

import (
	"math"
	"time"
)

// MoveTime returns the time that a zone takes under the shift cap to grow from no
// traffic to its whole baseline. This is the longest possible duration of the move
// to the baseline of another text. It is 0 without a cap, since there is then no
// gradual move.
func (c ShiftCap) MoveTime() time.Duration {
	if c.Fraction <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(c.Window) / c.Fraction))
}

// StepInterval returns the minimum time between two steps of one slot each, in a
// shift into a zone with the given number of slots. With it, no half-open interval
// of the length of the cap's window contains more steps than the cap allows. If the
// cap amounts to less than one slot per window, one step takes proportionally longer
// than the window. The result is 0 if there is no cap.
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

// PruneCompletedMoves returns the texts, oldest first, that still affect the baseline
// when another text is accepted at next. It drops the texts before the latest one whose
// move was complete when its successor was accepted. The move of a text that does not
// parse counts as incomplete.
func PruneCompletedMoves(changes []TextChange, next time.Time) []TextChange {
	for i := len(changes) - 1; i > 0; i-- {
		text, err := Parse("earlier text", changes[i].Source)
		if err == nil && next.Sub(changes[i].AcceptedAt) >= text.Limits.ShiftCap.MoveTime() {
			return changes[i:]
		}
		next = changes[i].AcceptedAt
	}
	return changes
}

// turnOpenDivisor sets the part of a turn in which its owner may take a step:
// 1/turnOpenDivisor of the interval between two steps.
const turnOpenDivisor = 8

// Turn schedules when one of several owners of a service in a zone may take a step
// of a shift. Owners whose part of the cap is below one slot take turns; otherwise
// each of them could take one slot at the same time. The zero value allows a step at
// any time.
type Turn struct {
	Interval time.Duration // minimum time between the steps of two owners
	Position int           // position of the owner in the rotation, 0 to Owners-1
	Owners   int           // number of owners in the rotation
}

// NewTurn returns the turn of the owner at index position of slots, which holds the
// slots of every owner. The rotation consists of the owners whose part of the cap is
// below one slot. An owner outside the rotation, or alone in it, gets the zero Turn.
func (c ShiftCap) NewTurn(slots []int, position int) Turn {
	var turn Turn
	rotationSlots := 0
	for i, n := range slots {
		if c.Fraction*float64(n) >= 1 {
			continue
		}
		if i < position {
			turn.Position++
		}
		turn.Owners++
		rotationSlots += n
	}
	if turn.Owners < 2 || c.Fraction*float64(slots[position]) >= 1 {
		return Turn{}
	}
	turn.Interval = c.StepInterval(rotationSlots)
	return turn
}

// Allows reports whether a step may be taken at the time now, in nanoseconds since
// the epoch. A step may be taken in the first part of a turn, and each turn is longer
// than the interval by that part, so that the steps of two owners are at least one
// interval apart.
func (t Turn) Allows(now int64) bool {
	if t.Owners < 2 || t.Interval <= 0 {
		return true
	}
	openTime := int64(t.Interval / turnOpenDivisor)
	turnLength := int64(t.Interval) + openTime
	return now/turnLength%int64(t.Owners) == int64(t.Position) && now%turnLength < openTime
}

// Period returns the time between the starts of two turns of the same owner.
func (t Turn) Period() time.Duration {
	return time.Duration(t.Owners) * (t.Interval + t.Interval/turnOpenDivisor)
}
