package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// runs is what is learnt of how long one route's requests take at a service. Routes of
// one service differ: a mean over all of them describes none.
type runTimes struct {
	objective time.Duration
	warm      average // seconds, of requests for objects that the server knew
	cold      average // seconds, of others
}

// minObserved is how many observations a mean needs before it is used.
const minObservations = 8

// learnCost is how much longer a request takes where its object is not known: as
// observed, or else its objective.
func (r *runTimes) missPenalty() time.Duration {
	if r.warm.n >= minObservations && r.cold.n >= minObservations {
		return seconds(max(0, r.cold.value-r.warm.value))
	}
	return r.objective
}

// time is how long a request holds a slot: as observed, or else half of its objective.
func (r *runTimes) slotTime() time.Duration {
	if r.warm.n >= minObservations {
		return seconds(r.warm.value)
	}
	return r.objective / 2
}

// longest is how long a request that is no outlier takes, 0 where none has been observed.
func (r *runTimes) longest() time.Duration { return seconds(max(r.cold.value, r.warm.value)) }

// runsOf returns what is learnt of a route's requests at the service.
func (s *service) runTimesOf(route *catalog.Route) *runTimes {
	r := s.runTimes[route.Name]
	if r == nil {
		r = &runTimes{}
		s.runTimes[route.Name] = r
	}
	r.objective = objective(route)
	return r
}

// forgetRuns drops what was learnt of routes that are gone.
func (s *service) dropRunTimes(known map[model.RouteName]bool) {
	for name := range s.runTimes {
		if !known[name] {
			delete(s.runTimes, name)
		}
	}
}

// longestRun is how long a request of any route may take at the service.
func (s *service) longestRunTime() time.Duration {
	var longest time.Duration
	for _, r := range s.runTimes {
		longest = max(longest, r.longest())
	}
	return longest
}
