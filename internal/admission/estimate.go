package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	gain = 1.0 / 32 // weight of a new sample
	// A run is given its mean and so many deviations before the deadline: few
	// where all work fits, more under a flood, where a run that ends late takes the
	// slot of one that would not.
	leastDeviations = 1
	mostDeviations  = 6
	// leastDeviation in nanoseconds keeps equal run times from ending in slow
	// subnormal numbers.
	leastDeviation = 1.0
	unknownRun     = 50 * time.Millisecond // run time of a service before its first sample
	// maxRunShare bounds the time reserved for a run to a share of the route's
	// longest deadline seen, so that a route that once was slow is still tried.
	maxRunShare = 0.75
)

// runEstimate follows the mean and the mean absolute deviation of run times in
// nanoseconds, as the round-trip estimator of RFC 6298 does.
type runEstimate struct {
	mean      float64
	deviation float64
	samples   int
}

func (e *runEstimate) observe(ran time.Duration) {
	x := float64(max(ran, 0))
	e.samples++
	if e.samples == 1 {
		e.mean = x
		e.deviation = x / 2
		return
	}
	weight := max(gain, 1/float64(e.samples))
	difference := x - e.mean
	e.mean += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
	if e.deviation < leastDeviation {
		e.deviation = 0
	}
}

// high is a run time that few runs exceed; fewer the higher the pressure, 0 to 1.
func (e *runEstimate) high(pressure float64) float64 {
	return e.mean + (leastDeviations+pressure*(mostDeviations-leastDeviations))*e.deviation
}

// routeEstimate is what is known of the runs of one route.
type routeEstimate struct {
	runEstimate
	longest time.Duration // longest time to the deadline seen at an offer
	unused  int           // configurations since the last offer
}

// expected is the mean run time in nanoseconds, the service's before the
// route's first sample.
func (e *routeEstimate) expected(service *runEstimate) float64 {
	switch {
	case e.samples > 0:
		return e.mean
	case service.samples > 0:
		return service.mean
	}
	return float64(unknownRun)
}

// LongRun returns a time that few runs of a request's route exceed, 0 while
// nothing is known.
func (c *Controller) LongRun(id model.RequestID) time.Duration {
	r := c.requests[id]
	if r == nil || r.route.samples == 0 {
		return 0
	}
	return time.Duration(r.route.high(1))
}

// reserved is the time that a run needs before its deadline; 0 while nothing is
// known.
func (e *routeEstimate) reserved(pressure float64) time.Duration {
	if e.samples == 0 {
		return 0
	}
	return time.Duration(min(e.high(pressure), maxRunShare*float64(e.longest)))
}
