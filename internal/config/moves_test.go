package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnfinishedKeepsTheTextsThatStillMove(t *testing.T) {
	source := []byte(smallText)
	move := mustParse(t, smallText).Limits.ShiftCap.MoveTime()
	require.Positive(t, move)
	start := time.Unix(1000, 0)
	changes := []TextChange{
		{Source: source, AcceptedAt: start},
		{Source: source, AcceptedAt: start.Add(move)},
		{Source: source, AcceptedAt: start.Add(2*move - 1)},
	}
	require.Equal(t, changes, Unfinished(changes, start.Add(2*move)))
	require.Equal(t, changes, Unfinished(changes, start.Add(3*move-2)), "the second was cut short by the third")
	require.Equal(t, changes[2:], Unfinished(changes, start.Add(3*move-1)))
	changes[2].AcceptedAt = start.Add(2 * move)
	require.Equal(t, changes[1:], Unfinished(changes, start.Add(2*move)))
	require.Empty(t, Unfinished(nil, start))
}

func TestMoveTimeOfACap(t *testing.T) {
	require.Zero(t, ShiftCap{}.MoveTime())
	require.Equal(t, 5*time.Minute, ShiftCap{Fraction: 0.1, Window: 30 * time.Second}.MoveTime())
}

func TestStepIntervalKeepsEveryWindowWithinTheCap(t *testing.T) {
	window := 5 * time.Second
	for fraction, slots := range map[float64]int{0.1: 18, 0.15: 18, 0.2: 3, 0.3: 9, 0.09: 100} {
		limit := ShiftCap{Fraction: fraction, Window: window}
		interval := limit.StepInterval(slots)
		steps := 1 + int((window-1)/interval) // most that start in a half-open window
		require.LessOrEqual(t, float64(steps), max(1, fraction*float64(slots)), "%v of %d", fraction, slots)
	}
	require.Equal(t, 10*time.Second, ShiftCap{Fraction: 0.1, Window: window}.StepInterval(5))
	require.Zero(t, ShiftCap{}.StepInterval(5))
}

// TestOwnersTakeTurns lets all owners of a service in a zone step whenever they
// may, each at most once an interval of its own: no window holds more steps than
// the cap of the whole zone.
func TestOwnersTakeTurns(t *testing.T) {
	limit := ShiftCap{Fraction: 0.1, Window: 5 * time.Second}
	for _, slots := range [][]int{{3, 3}, {9, 9}, {3, 3, 3}, {9, 9, 9, 9}, {6}, {6, 6, 6, 6, 6, 6, 6}} {
		total := 0
		for _, n := range slots {
			total += n
		}
		last := make([]time.Duration, len(slots))
		taken := make([]int, len(slots))
		var steps []time.Duration
		for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
			for i, n := range slots {
				due := taken[i] == 0 || now-last[i] >= limit.StepInterval(n)
				if due && limit.NewTurn(slots, i).Allows(int64(now)) {
					taken[i]++
					last[i] = now
					steps = append(steps, now)
				}
			}
		}
		bound := max(1, int(limit.Fraction*float64(total)))
		for i := range steps {
			in := 0
			for _, at := range steps[i:] {
				if at-steps[i] < limit.Window {
					in++
				}
			}
			require.LessOrEqual(t, in, bound, "%v from %v", slots, steps[i])
		}
		for i := range slots {
			require.Positive(t, taken[i], "%v: owner %d never steps", slots, i)
		}
	}
	require.Zero(t, limit.NewTurn([]int{30, 3}, 0))
	require.Zero(t, limit.NewTurn([]int{30, 3}, 1), "no other has less than one slot")
}
