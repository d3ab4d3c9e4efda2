package slo

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/samber/lo"
)

const (
	minLatencyBound = 100 * time.Microsecond
	maxLatencyBound = 2 * time.Minute
	latencyGrowth   = 1.1 // ratio of consecutive bounds; limits the error of a quantile to +10 % between the two bounds above
)

var latencyBounds = makeLatencyBounds()

func makeLatencyBounds() []time.Duration {
	var bounds []time.Duration
	for bound := minLatencyBound; bound < maxLatencyBound; bound = time.Duration(float64(bound) * latencyGrowth) {
		bounds = append(bounds, bound)
	}
	return append(bounds, maxLatencyBound)
}

// latencyBound returns the smallest bound that is not below latency, or the largest
// bound if latency exceeds all of them.
func latencyBound(latency time.Duration) time.Duration {
	i, _ := slices.BinarySearch(latencyBounds, latency)
	return latencyBounds[min(i, len(latencyBounds)-1)]
}

// addLatency adds requests to the bin with the bound upper. It keeps bins sorted and
// inserts a missing bin.
func addLatency(bins []control.LatencyBin, upper time.Duration, requests uint64) []control.LatencyBin {
	i, found := slices.BinarySearchFunc(bins, upper, func(bin control.LatencyBin, upper time.Duration) int {
		return cmp.Compare(bin.Upper, upper)
	})
	if !found {
		bins = slices.Insert(bins, i, control.LatencyBin{Upper: upper})
	}
	bins[i].Requests += requests
	return bins
}

// quantile returns the upper bound of the bin that contains the quantile q (0 to 1),
// or 0 if there are no requests.
func quantile(bins []control.LatencyBin, q float64) time.Duration {
	total := lo.SumBy(bins, func(bin control.LatencyBin) uint64 { return bin.Requests })
	threshold := uint64(math.Ceil(q * float64(total)))
	seen := uint64(0)
	for _, bin := range bins {
		seen += bin.Requests
		if seen >= threshold {
			return bin.Upper
		}
	}
	return 0
}
