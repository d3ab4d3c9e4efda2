package admission

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	arrivalBucket = 100 * time.Millisecond
	fastGain      = 0.2  // per bucket; time constant of 0.5 s
	slowGain      = 0.02 // per bucket; time constant of 5 s
	// maxIdleBuckets is the maximum number of buckets between two calls of roll. After
	// a longer idle time the averages are reset.
	maxIdleBuckets = 600
	// staffingDeviations is the number of standard deviations by which a reserve
	// exceeds the mean number of arrivals (square-root staffing).
	staffingDeviations = 2.33
	// lowPressure and fullPressure are demands as shares of the capacity. Between
	// them, the reserve for more urgent ranks grows linearly from zero to its full
	// size.
	lowPressure  = 0.85
	fullPressure = 1.0
)

// arrivals measures the offered load of each rank as its mean concurrency, which
// is the slot time requested per unit of time.
type arrivals struct {
	bucketEnd model.Instant
	work      [model.RankCount]float64 // nanoseconds of slot time in the current bucket
	fast      [model.RankCount]float64 // slots
	slow      [model.RankCount]float64 // slots
}

func (a *arrivals) add(rank model.Rank, cost float64) { a.work[rank] += cost }

// roll closes the buckets that have ended by now and reports whether there were
// any.
func (a *arrivals) roll(now model.Instant) bool {
	if now < a.bucketEnd {
		return false
	}
	ended := int64(now.Sub(a.bucketEnd)/arrivalBucket) + 1
	first := a.bucketEnd == 0
	a.bucketEnd = a.bucketEnd.Add(time.Duration(ended) * arrivalBucket)
	if first || ended > maxIdleBuckets {
		a.fast = [model.RankCount]float64{}
		a.slow = [model.RankCount]float64{}
		ended = 1
	}
	for rank := range a.work {
		a.closeBuckets(rank, ended)
	}
	return true
}

func (a *arrivals) closeBuckets(rank int, ended int64) {
	rate := a.work[rank] / float64(arrivalBucket)
	a.work[rank] = 0
	a.fast[rank] += fastGain * (rate - a.fast[rank])
	a.slow[rank] += slowGain * (rate - a.slow[rank])
	if ended > 1 {
		a.fast[rank] *= math.Pow(1-fastGain, float64(ended-1))
		a.slow[rank] *= math.Pow(1-slowGain, float64(ended-1))
	}
}

// concurrency returns the recent mean concurrency of the rank's offered load, in
// slots. It is the higher of the fast and the slow average.
func (a *arrivals) concurrency(rank int) float64 { return max(a.fast[rank], a.slow[rank]) }

// rarelyExceeded returns a number that Poisson arrivals with the given mean rarely
// exceed.
func rarelyExceeded(mean float64) float64 { return mean + staffingDeviations*math.Sqrt(mean) }

// pressure returns the fraction of a reserve that applies at a demand, which is
// given as a share of the capacity.
func pressure(demand float64) float64 {
	return min(max((demand-lowPressure)/(fullPressure-lowPressure), 0), 1)
}
