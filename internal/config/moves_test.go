package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnfinishedKeepsTextsWithIncompleteMoves(t *testing.T) {
	source := []byte(smallText)
	move := mustParse(t, smallText).Limits.ShiftCap.MoveTime()
	require.Positive(t, move)
	start := time.Unix(1000, 0)
	changes := []TextChange{
		{Source: source, AcceptedAt: start},
		{Source: source, AcceptedAt: start.Add(move)},
		{Source: source, AcceptedAt: start.Add(2*move - 1)},
	}
	require.Equal(t, changes, PruneCompletedMoves(changes, start.Add(2*move)))
	require.Equal(t, changes, PruneCompletedMoves(changes, start.Add(3*move-2)), "the move to the second text was incomplete when the third was accepted")
	require.Equal(t, changes[2:], PruneCompletedMoves(changes, start.Add(3*move-1)))
	changes[2].AcceptedAt = start.Add(2 * move)
	require.Equal(t, changes[1:], PruneCompletedMoves(changes, start.Add(2*move)))
	require.Empty(t, PruneCompletedMoves(nil, start))
}

func TestMoveTimeOfShiftCap(t *testing.T) {
	require.Zero(t, ShiftCap{}.MoveTime())
	require.Equal(t, 5*time.Minute, ShiftCap{Fraction: 0.1, Window: 30 * time.Second}.MoveTime())
}

// TestStepIntervalKeepsEveryWindowWithinCap checks that steps at the interval never
// exceed the cap in any half-open window, except for the one step that is always
// allowed.
func TestStepIntervalKeepsEveryWindowWithinCap(t *testing.T) {
	window := 5 * time.Second
	for fraction, slots := range map[float64]int{0.1: 18, 0.15: 18, 0.2: 3, 0.3: 9, 0.09: 100} {
		shiftCap := ShiftCap{Fraction: fraction, Window: window}
		interval := shiftCap.StepInterval(slots)
		steps := 1 + int((window-1)/interval) // maximum number of steps in a half-open window
		require.LessOrEqual(t, float64(steps), max(1, fraction*float64(slots)), "%v of %d", fraction, slots)
	}
	require.Equal(t, 10*time.Second, ShiftCap{Fraction: 0.1, Window: window}.StepInterval(5))
	require.Zero(t, ShiftCap{}.StepInterval(5))
}

// TestOwnersTakeTurns checks that the steps of all owners of a service in a zone stay
// within the cap of the whole zone in every window, and that every owner gets to step.
// Each owner steps as soon as its turn and its step interval allow.
func TestOwnersTakeTurns(t *testing.T) {
	shiftCap := ShiftCap{Fraction: 0.1, Window: 5 * time.Second}
	for _, slots := range [][]int{{3, 3}, {9, 9}, {3, 3, 3}, {9, 9, 9, 9}, {6}, {6, 6, 6, 6, 6, 6, 6}} {
		total := 0
		for _, n := range slots {
			total += n
		}
		lastStep := make([]time.Duration, len(slots))
		stepCount := make([]int, len(slots))
		var steps []time.Duration
		for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
			for i, n := range slots {
				due := stepCount[i] == 0 || now-lastStep[i] >= shiftCap.StepInterval(n)
				if due && shiftCap.NewTurn(slots, i).Allows(int64(now)) {
					stepCount[i]++
					lastStep[i] = now
					steps = append(steps, now)
				}
			}
		}
		limit := max(1, int(shiftCap.Fraction*float64(total)))
		for i := range steps {
			count := 0
			for _, at := range steps[i:] {
				if at-steps[i] < shiftCap.Window {
					count++
				}
			}
			require.LessOrEqual(t, count, limit, "steps of %v in the window from %v", slots, steps[i])
		}
		for i := range slots {
			require.Positive(t, stepCount[i], "%v: owner %d took no step", slots, i)
		}
	}
	require.Zero(t, shiftCap.NewTurn([]int{30, 3}, 0))
	require.Zero(t, shiftCap.NewTurn([]int{30, 3}, 1), "no other owner has a part below one slot")
}
