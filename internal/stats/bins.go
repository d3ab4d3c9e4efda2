package stats

import (
	"math"
	"time"
)

const (
	// binsPerDoubling gives latency bins a width of about 9 %.
	binsPerDoubling = 8
	// shortestBin is the upper bound of the first bin.
	shortestBin = 100 * time.Microsecond
	// binCount reaches from 100 µs to about 100 s.
	binCount = 20*binsPerDoubling + 1
)

// binOf returns the bin of a latency; the last bin takes everything above.
func binOf(d time.Duration) int {
	if d <= shortestBin {
		return 0
	}
	i := math.Ceil(binsPerDoubling * math.Log2(float64(d)/float64(shortestBin)))
	return min(int(i), binCount-1)
}

// binUpper returns the upper bound of a bin.
func binUpper(i int) time.Duration {
	return time.Duration(float64(shortestBin) * math.Exp2(float64(i)/binsPerDoubling))
}
