package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// runTimes holds the observed run times of one route's requests at a service. They are
// kept per route because routes of one service differ: a mean over all of them
// represents none.
type runTimes struct {
	objective time.Duration
	warm      average // seconds, of requests whose object was warm at the server
	// unqueued estimates the time of a request that did not wait for a slot, in seconds.
	unqueued lowQuantile
	cold     average       // seconds, of other requests, except those at cold servers
	slow     highQuantile  // of the same, in seconds
	any      highQuantile  // of all requests, in seconds, with the way to the server
	since    model.Instant // when the first request was sent
	// objectShare is the mean share of an object in the load of the service, over requests.
	objectShare average
	repeats     float64 // earlier requests about the same object, summed over requests
	thirdServer bool    // the objects are spread over three servers each
}

// minObservations is the number of observations before a mean is used.
const minObservations = 8

// missPenalty returns how much longer a request takes if its object is not warm: the
// observed difference, or the objective while there are too few observations.
func (r *runTimes) missPenalty() time.Duration {
	if r.warm.n >= minObservations && r.cold.n >= minObservations {
		return seconds(max(0, r.cold.value-r.warm.value))
	}
	return r.objective
}

// slotTime returns how long a request whose object is warm occupies a slot: the observed
// mean, or half of the objective while there are too few observations.
func (r *runTimes) slotTime() time.Duration {
	if r.warm.n >= minObservations {
		return seconds(r.unqueued.value)
	}
	return r.objective / 2
}

// start records that a request is sent.
func (r *runTimes) start(now model.Instant) {
	if r.since == 0 {
		r.since = now
	}
}

// learning reports whether the observations are too few, or too early to contain those of
// slow requests: fast answers come first.
func (r *runTimes) learning(now model.Instant) bool {
	return r.slow.n < minObservations || now.Sub(r.since) <= silentRunTimes*r.objective
}

// longest returns the run time of slow requests. While learning it is so long at least that a
// server is suspected after the objective: later there is no time for a second attempt.
func (r *runTimes) longest(now model.Instant) time.Duration {
	observed := seconds(max(r.cold.value, r.warm.value, r.slow.value))
	if r.learning(now) {
		return max(observed, r.objective/silentRunTimes)
	}
	return observed
}

// usualTimeMargin is how much longer than the observed slow requests of its route a request may
// usually take.
const usualTimeMargin = 2

// TimeNeeded returns the longest time that a request may take, and the time that it usually does
// not exceed, which is the same as long as too few requests of its route have been observed. The
// load pattern is a planned stop: requests that come late in it must end before the process does.
func (d *Dispatcher) TimeNeeded(host, path string, callerTimeout time.Duration) (most, usual time.Duration) {
	most = effectiveTimeout(callerTimeout, 0)
	if d.config == nil {
		return most, most
	}
	route := d.config.Match(host, path)
	if route == nil {
		return most, most
	}
	most = effectiveTimeout(callerTimeout, route.Timeout)
	for _, target := range route.Targets {
		r := d.service(target.Service).runTimesOf(route)
		if r.any.n < minObservations {
			return most, most
		}
		usual = max(usual, seconds(usualTimeMargin*r.any.value))
	}
	return most, min(usual, most)
}

// Repeatable reports whether requests of this host and path may run more than once, false if the
// route is not known. The load pattern is a caller that sends its next requests before it has the
// response to the first.
func (d *Dispatcher) Repeatable(host, path string) bool {
	if d.config == nil {
		return false
	}
	route := d.config.Match(host, path)
	return route != nil && route.Kind.Repeatable()
}

// runTimesOf returns the run times of a route at the service, creating them if needed.
func (s *service) runTimesOf(route *catalog.Route) *runTimes {
	r := s.runTimes[route.Name]
	if r == nil {
		r = &runTimes{}
		s.runTimes[route.Name] = r
	}
	r.objective = objective(route)
	return r
}

// dropRunTimes deletes the run times of routes that no longer exist.
func (s *service) dropRunTimes(known map[model.RouteName]bool) {
	for name := range s.runTimes {
		if !known[name] {
			delete(s.runTimes, name)
		}
	}
}

// longestRunTime returns the longest run time of slow requests of any route at the service.
func (s *service) longestRunTime(now model.Instant) time.Duration {
	var longest time.Duration
	for _, r := range s.runTimes {
		longest = max(longest, r.longest(now))
	}
	return longest
}

// lowQuantile follows a low quantile of observations, so that those which waited in a queue
// hardly count.
type lowQuantile struct {
	value float64
	n     int
}

const (
	// unqueuedQuantile is the quantile taken as the time without a wait.
	unqueuedQuantile = 0.3
	// quantileStep is the relative change of the estimate with each observation.
	quantileStep = 0.06
)

func (q *lowQuantile) add(v float64) {
	q.n++
	if q.n == 1 {
		q.value = v
		return
	}
	if v > q.value {
		q.value *= 1 + quantileStep*unqueuedQuantile
	} else {
		q.value = max(v, q.value*(1-quantileStep*(1-unqueuedQuantile)))
	}
}

// highQuantile follows a high quantile of observations.
type highQuantile struct {
	value float64
	n     int
}

// slowQuantile is the quantile taken as the time of slow requests.
const slowQuantile = 0.95

// add counts an observation. While learning, the estimate is the largest of them.
func (q *highQuantile) add(v float64, learning bool) {
	q.n++
	switch {
	case learning:
		q.value = max(q.value, v)
	case v > q.value:
		q.value = min(v, q.value*(1+quantileStep*slowQuantile))
	default:
		q.value *= 1 - quantileStep*(1-slowQuantile)
	}
}
