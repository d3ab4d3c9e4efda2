package admission

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	arrivalBucket = 100 * time.Millisecond
	fastGain      = 0.2  // per bucket: time constant of half a second
	slowGain      = 0.02 // per bucket: time constant of five seconds
	// idleBuckets without any traffic reset the averages.
	idleBuckets = 600
	// staffing is the number of standard deviations by which a reserve exceeds the
	// mean number of arrivals (square-root staffing).
	staffing = 2.33
	// Between these shares of the capacity that ranks ask for, what is reserved
	// for the more urgent of them grows from nothing to all.
	lowPressure  = 0.85
	fullPressure = 1.0
)

// arrivals measures by rank the work that is offered, as mean concurrency: slot
// time per time.
type arrivals struct {
	bucketEnd model.Instant
	work      [model.RankCount]float64 // nanoseconds of slot time in this bucket
	fast      [model.RankCount]float64 // slots
	slow      [model.RankCount]float64 // slots
}

func (a *arrivals) add(rank model.Rank, cost float64) { a.work[rank] += cost }

// roll closes the buckets that have ended; it reports whether any has.
func (a *arrivals) roll(now model.Instant) bool {
	if now < a.bucketEnd {
		return false
	}
	ended := int64(now.Sub(a.bucketEnd)/arrivalBucket) + 1
	first := a.bucketEnd == 0
	a.bucketEnd = a.bucketEnd.Add(time.Duration(ended) * arrivalBucket)
	if first || ended > idleBuckets {
		a.fast = [model.RankCount]float64{}
		a.slow = [model.RankCount]float64{}
		ended = 1
	}
	for rank := range a.work {
		a.close(rank, ended)
	}
	return true
}

func (a *arrivals) close(rank int, ended int64) {
	rate := a.work[rank] / float64(arrivalBucket)
	a.work[rank] = 0
	a.fast[rank] += fastGain * (rate - a.fast[rank])
	a.slow[rank] += slowGain * (rate - a.slow[rank])
	if ended > 1 {
		a.fast[rank] *= math.Pow(1-fastGain, float64(ended-1))
		a.slow[rank] *= math.Pow(1-slowGain, float64(ended-1))
	}
}

// concurrency is the recent mean concurrency that the rank's offers ask for.
func (a *arrivals) concurrency(rank int) float64 { return max(a.fast[rank], a.slow[rank]) }

// staffed is a number of Poisson arrivals that is rarely exceeded at the mean.
func staffed(mean float64) float64 { return mean + staffing*math.Sqrt(mean) }

// pressure is the part of a reserve that applies at a demand, as a share of the
// capacity.
func pressure(demand float64) float64 {
	return min(max((demand-lowPressure)/(fullPressure-lowPressure), 0), 1)
}
