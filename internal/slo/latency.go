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
	latencyGrowth   = 1.1 // ratio of a bound to the one before; a quantile is at most 10 % too high
)

var latencyBounds = makeLatencyBounds()

func makeLatencyBounds() []time.Duration {
	var bounds []time.Duration
	for bound := minLatencyBound; bound < maxLatencyBound; bound = time.Duration(float64(bound) * latencyGrowth) {
		bounds = append(bounds, bound)
	}
	return append(bounds, maxLatencyBound)
}

// latencyBound returns the smallest bound that is not below a latency; what is
// above the largest counts as the largest.
func latencyBound(latency time.Duration) time.Duration {
	i, _ := slices.BinarySearch(latencyBounds, latency)
	return latencyBounds[min(i, len(latencyBounds)-1)]
}

// addLatency adds requests to the bin with a bound. Bins are sorted.
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

// quantile returns the bound below which a share q of the requests lies, 0
// where there are none.
func quantile(bins []control.LatencyBin, q float64) time.Duration {
	total := lo.SumBy(bins, func(bin control.LatencyBin) uint64 { return bin.Requests })
	wanted := uint64(math.Ceil(q * float64(total)))
	seen := uint64(0)
	for _, bin := range bins {
		seen += bin.Requests
		if seen >= wanted {
			return bin.Upper
		}
	}
	return 0
}
