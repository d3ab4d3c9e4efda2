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
	cold     average // seconds, of other requests, except those at cold servers
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

// longest returns the typical run time of the slower kind of request, 0 if nothing has
// been observed.
func (r *runTimes) longest() time.Duration { return seconds(max(r.cold.value, r.warm.value)) }

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

// longestRunTime returns the longest typical run time of any route at the service.
func (s *service) longestRunTime() time.Duration {
	var longest time.Duration
	for _, r := range s.runTimes {
		longest = max(longest, r.longest())
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
