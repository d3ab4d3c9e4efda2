package health

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// phase spreads first probes evenly over an interval by the server's name.
func phase(name model.BackendName, interval time.Duration) time.Duration {
	return time.Duration(fraction(name, 0) * float64(interval))
}

// jittered changes a length by up to jitterShare either way, by the server's
// name and a counter.
func jittered(length time.Duration, name model.BackendName, counter uint64) time.Duration {
	factor := 1 + jitterShare*(2*fraction(name, counter)-1)
	return time.Duration(factor * float64(length))
}

// fraction is a number from 0 to 1 that depends on the name and counter alone.
func fraction(name model.BackendName, counter uint64) float64 {
	return float64(xxh3.HashStringSeed(string(name), counter)) / math.MaxUint64
}
