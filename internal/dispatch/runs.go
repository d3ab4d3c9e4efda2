package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// runs is what is learnt of how long one route's requests take at a service. Routes of
// one service differ: a mean over all of them describes none.
type runs struct {
	objective time.Duration
	warm      average // seconds, of requests for objects that the server knew
	cold      average // seconds, of others
}

// minObserved is how many observations a mean needs before it is used.
const minObserved = 8

// learnCost is how much longer a request takes where its object is not known: as
// observed, or else its objective.
func (r *runs) learnCost() time.Duration {
	if r.warm.n >= minObserved && r.cold.n >= minObserved {
		return seconds(max(0, r.cold.value-r.warm.value))
	}
	return r.objective
}

// time is how long a request holds a slot: as observed, or else half of its objective.
func (r *runs) time() time.Duration {
	if r.warm.n >= minObserved {
		return seconds(r.warm.value)
	}
	return r.objective / 2
}

// longest is how long a request that is no outlier takes, 0 where none has been observed.
func (r *runs) longest() time.Duration { return seconds(max(r.cold.value, r.warm.value)) }

// runsOf returns what is learnt of a route's requests at the service.
func (s *service) runsOf(route *catalog.Route) *runs {
	r := s.runs[route.Name]
	if r == nil {
		r = &runs{}
		s.runs[route.Name] = r
	}
	r.objective = objective(route)
	return r
}

// forgetRuns drops what was learnt of routes that are gone.
func (s *service) forgetRuns(known map[model.RouteName]bool) {
	for name := range s.runs {
		if !known[name] {
			delete(s.runs, name)
		}
	}
}

// longestRun is how long a request of any route may take at the service.
func (s *service) longestRun() time.Duration {
	var longest time.Duration
	for _, r := range s.runs {
		longest = max(longest, r.longest())
	}
	return longest
}
