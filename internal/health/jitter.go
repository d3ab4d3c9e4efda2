package health

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// probePhase returns the offset of a server's first probe within the interval. It
// depends on the server's name and spreads first probes evenly over the interval.
func probePhase(name model.BackendName, interval time.Duration) time.Duration {
	return time.Duration(hashFraction(name, 0) * float64(interval))
}

// jittered lengthens or shortens a duration by up to jitterShare, depending on the
// server's name and a counter.
func jittered(length time.Duration, name model.BackendName, counter uint64) time.Duration {
	factor := 1 + jitterShare*(2*hashFraction(name, counter)-1)
	return time.Duration(factor * float64(length))
}

// hashFraction returns a number from 0 to 1 that depends only on the name and the
// counter.
func hashFraction(name model.BackendName, counter uint64) float64 {
	return float64(xxh3.HashStringSeed(string(name), counter)) / math.MaxUint64
}
