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
