package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	runGain = 1.0 / 32 // weight of a new sample
	// The time reserved for a run before its deadline is the mean run time plus
	// minReserveDeviations to maxReserveDeviations times the deviation. It is short
	// while all work fits into the capacity, and longer under overload, where a run
	// that ends late takes the slot of one that would have ended in time.
	minReserveDeviations = 1
	maxReserveDeviations = 6
	// negligibleDeviation is in nanoseconds. Lower deviations are set to 0: otherwise
	// equal run times would let the deviation decay to subnormal numbers, which are
	// slow to compute with.
	negligibleDeviation = 1.0
	defaultRunTime      = 50 * time.Millisecond // assumed for a service before its first sample
	// maxRunShare bounds the time reserved for a run to a share of the longest
	// time to a deadline seen on the route, so that a route that was slow once is
	// still tried.
	maxRunShare = 0.75
)

// runEstimate tracks the mean and the mean absolute deviation of run times in
// nanoseconds, like the round-trip time estimator of RFC 6298.
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
	weight := max(runGain, 1/float64(e.samples))
	difference := x - e.mean
	e.mean += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
	if e.deviation < negligibleDeviation {
		e.deviation = 0
	}
}

// highEstimate returns a run time in nanoseconds that few runs exceed. The higher
// the pressure, from 0 to 1, the fewer runs exceed it.
func (e *runEstimate) highEstimate(pressure float64) float64 {
	return e.mean + (minReserveDeviations+pressure*(maxReserveDeviations-minReserveDeviations))*e.deviation
}

// routeEstimate estimates the run time of the requests of one route.
type routeEstimate struct {
	runEstimate
	longestDeadline  time.Duration // longest time to the deadline seen at an offer
	unusedConfigures int           // calls of Configure since the last offer
}

// expected returns the mean run time in nanoseconds. Before the route's first
// sample it returns the mean of the service, or defaultRunTime if there is none.
func (e *routeEstimate) expected(service *runEstimate) float64 {
	switch {
	case e.samples > 0:
		return e.mean
	case service.samples > 0:
		return service.mean
	}
	return float64(defaultRunTime)
}

// SlowRunTime returns a run time that few requests of the same route exceed. It
// returns 0 if the request is unknown or its route has no sample yet.
func (c *Controller) SlowRunTime(id model.RequestID) time.Duration {
	r := c.requests[id]
	if r == nil || r.route.samples == 0 {
		return 0
	}
	return time.Duration(r.route.highEstimate(1))
}

// reserved returns the time to reserve for a run before its deadline. It returns 0
// before the route's first sample.
func (e *routeEstimate) reserved(pressure float64) time.Duration {
	if e.samples == 0 {
		return 0
	}
	return time.Duration(min(e.highEstimate(pressure), maxRunShare*float64(e.longestDeadline)))
}
