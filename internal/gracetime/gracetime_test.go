package gracetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStandstillLeavesRunningTime guards against the end of a grace time that passes while the
// process does not run, so that answers which arrived meanwhile are thrown away.
func TestStandstillLeavesRunningTime(t *testing.T) {
	const end = 2 * time.Second
	for _, test := range []struct {
		name   string
		pauses [][2]time.Duration // begin, length
		over   time.Duration
	}{
		{"none", nil, end},
		{"long before the end", [][2]time.Duration{{500 * time.Millisecond, 400 * time.Millisecond}}, end},
		{"quota of processor time", [][2]time.Duration{{1950 * time.Millisecond, 100 * time.Millisecond}}, 2050 * time.Millisecond},
		{"shortly before the end", [][2]time.Duration{{1500 * time.Millisecond, 400 * time.Millisecond}}, 2400 * time.Millisecond},
		{"over the end", [][2]time.Duration{{1500 * time.Millisecond, 2 * time.Second}}, 4 * time.Second},
		{"again and again", [][2]time.Duration{
			{1500 * time.Millisecond, time.Second},
			{2550 * time.Millisecond, time.Second},
			{3600 * time.Millisecond, time.Second},
			{4650 * time.Millisecond, time.Second},
			{5700 * time.Millisecond, time.Second},
			{6750 * time.Millisecond, time.Second},
		}, 7750 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			w := watch{end: start.Add(end), last: start}
			at := time.Duration(0)
			for !w.isOver(start.Add(at)) {
				at += checkInterval
				if len(test.pauses) > 0 && at > test.pauses[0][0] {
					at = test.pauses[0][0] + test.pauses[0][1]
					test.pauses = test.pauses[1:]
				}
				require.Less(t, at, 10*time.Second)
			}
			require.InDelta(t, test.over, at, float64(checkInterval))
		})
	}
}

// TestContextEndsInTime requires that a context of a running process ends at its end.
func TestContextEndsInTime(t *testing.T) {
	const length = 200 * time.Millisecond
	start := time.Now()
	ctx, cancel := Context(start.Add(length))
	defer cancel()
	<-ctx.Done()
	require.GreaterOrEqual(t, time.Since(start), length)
}
