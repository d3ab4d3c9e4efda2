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
