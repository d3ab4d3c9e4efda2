package pacing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryRateBecomesUnits checks the extremes.
func TestEveryRateBecomesUnits(t *testing.T) {
	for _, rate := range []float64{0, 1e-300, 0.01, 1.0 / 60, 0.3, 1, 1.6, 2.5, 30, 1e9, 1e308} {
		for _, sharers := range []int{1, 7, 78} {
			units, span := RateUnits(rate, sharers)
			require.Positive(t, units)
			require.LessOrEqual(t, units, maxUnits)
			require.Positive(t, span)
			require.LessOrEqual(t, span, LongestRateSpan)
			if span == LongestRateSpan {
				require.Equal(t, 1, units)
				continue
			}
			require.LessOrEqual(t, float64(units), rate*span.Seconds()+1e-9, "rate %g", rate)
			if rate < 1e5 {
				require.Greater(t, float64(units), 0.9*rate*span.Seconds(), "rate %g", rate)
			}
		}
	}
}

// TestLentUnitsStayWithinTheRate guards against a limit that is exceeded because its units are
// divided differently where they are lent.
func TestLentUnitsStayWithinTheRate(t *testing.T) {
	for _, sharers := range []int{2, 3, 7, 20, 78, 300} {
		for rate := 0.0; rate < 100; rate += 0.05 {
			units, span, ok := LentUnits(rate, sharers)
			if !ok {
				continue
			}
			require.LessOrEqual(t, float64(units)/span.Seconds(), rate*1.001)
			require.Greater(t, span, maxRateSpan, "a unit is used once in it at most")
			require.LessOrEqual(t, span, LongestRateSpan)
			require.LessOrEqual(t, float64(units), 1.5*rate*maxRateSpan.Seconds()+5)
			require.LessOrEqual(t, units, maxLentUnits)
		}
	}
	_, _, ok := LentUnits(1, 1)
	require.False(t, ok, "there is nobody to lend to")
	_, _, ok = LentUnits(0, 20)
	require.False(t, ok)
}
