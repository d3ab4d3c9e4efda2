package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxQuantumRuns bounds the round robin quantum in mean run times of the service,
// so that the turn of a group with cheap requests stays short.
const maxQuantumRuns = 8

// maxUnusedConfigures is the number of calls of Configure without a request of a route
// after which its estimate is deleted.
const maxUnusedConfigures = 100

// service is the state of one service: its servers and the queue that they share.
type service struct {
	name          model.ServiceName
	floors        [model.RankCount]float64
	baselineSince model.Instant
	ramp          ramp

	servers    []*server // sorted by name; owned, or finishing their requests
	slots      int       // sum over the owned servers
	capacity   int       // slots that may be in use now
	recovering bool      // whether any server is still limited by a shed
	overLimit  bool      // whether a server may have more slots in use than are usable

	queues     [model.RankCount]rankQueue
	queued     int
	inUse      [model.RankCount]int
	spillInUse int // running spill requests

	credits  floorCredits
	arrivals arrivals
	reserve  [model.RankCount]float64 // idle slots that a rank must leave to more urgent ranks

	// pressure is 0 for a rank if its demand and that of more urgent ranks fit into
	// the capacity, and 1 if they do not. It lies between 0 and 1 near the capacity.
	pressure [model.RankCount]float64

	runs     runEstimate
	routes   map[model.RouteName]*routeEstimate
	quantum  float64 // nanoseconds of slot time
	maxQueue int     // requests
}

func newService(name model.ServiceName) *service {
	s := &service{name: name, routes: make(map[model.RouteName]*routeEstimate)}
	for rank := range s.queues {
		s.queues[rank] = newRankQueue()
	}
	s.quantum = float64(defaultRunTime)
	return s
}

// advance updates all state that changes with time alone.
func (s *service) advance(now model.Instant, p *Policy) {
	s.credits.advance(now, s)
	if s.recovering {
		s.recount(now, p)
	}
	if s.arrivals.roll(now) {
		s.updateReserve()
		s.updateQuantum()
	}
}

// recount recomputes the capacity after a change of servers or limits.
func (s *service) recount(now model.Instant, p *Policy) {
	s.slots, s.capacity, s.recovering, s.overLimit = 0, 0, false, false
	for _, server := range s.servers {
		s.overLimit = s.overLimit || server.inUse > server.usable(now)
		if !server.owned {
			continue
		}
		server.recover(now, p.ShedRecovery)
		s.slots += server.Slots
		s.capacity += server.usable(now)
		s.recovering = s.recovering || server.recovering(now)
	}
}

// excessInUse returns the number of running requests beyond the usable slots of
// their servers. These requests started under a higher limit and do not count
// against the capacity.
func (s *service) excessInUse(now model.Instant) int {
	if !s.overLimit {
		return 0
	}
	excess := 0
	for _, server := range s.servers {
		excess += max(0, server.inUse-server.usable(now))
	}
	s.overLimit = excess > 0
	return excess
}

// updateReserve recomputes for each rank the number of idle slots that it must
// leave to more urgent ranks. Their arrivals until the next slot is freed rarely
// exceed this reserve, which is bounded by their floors. A rank whose demand fits
// into the capacity together with that of more urgent ranks leaves fewer slots,
// since it does not delay them then.
func (s *service) updateReserve() {
	capacity := float64(max(s.capacity, 1))
	mean, sustained, floors := 0.0, 0.0, 0.0
	for rank := range s.reserve {
		urgent := min(rarelyExceeded(mean/capacity), floors*capacity)
		mean += s.arrivals.concurrency(rank)
		sustained += s.arrivals.slow[rank]
		floors += s.floors[rank]
		s.pressure[rank] = pressure(sustained / capacity)
		s.reserve[rank] = urgent * s.pressure[rank]
	}
}

func (s *service) updateQuantum() {
	mean := s.meanRun()
	s.quantum = mean
	for _, route := range s.routes {
		s.quantum = max(s.quantum, route.mean)
	}
	s.quantum = min(s.quantum, maxQuantumRuns*mean)
}

func (s *service) addServer(added *server) {
	i, _ := slices.BinarySearchFunc(s.servers, added, compareServers)
	s.servers = slices.Insert(s.servers, i, added)
}

func (s *service) removeServer(removed *server) {
	i := slices.Index(s.servers, removed)
	s.servers = slices.Delete(s.servers, i, i+1)
}

func compareServers(a, b *server) int { return strings.Compare(string(a.Name), string(b.Name)) }

// freeServer returns the least loaded server with a free slot, or nil if there is
// none.
func (s *service) freeServer(now model.Instant) *server {
	var best *server
	for _, server := range s.servers {
		if server.inUse >= server.usable(now) {
			continue
		}
		if best == nil || server.lessLoaded(best, now) {
			best = server
		}
	}
	return best
}

// freeServerFor is like freeServer, but considers only servers that the request has
// not tried.
func (s *service) freeServerFor(now model.Instant, r *request) *server {
	var best *server
	for _, server := range s.servers {
		if server.inUse >= server.usable(now) || !r.mayUse(server.Name) {
			continue
		}
		if best == nil || server.lessLoaded(best, now) {
			best = server
		}
	}
	return best
}

// hasOtherServer reports whether there is a usable server that r has not tried.
func (s *service) hasOtherServer(now model.Instant, r *request) bool {
	return slices.ContainsFunc(s.servers, func(server *server) bool {
		return server.usable(now) > 0 && r.mayUse(server.Name)
	})
}

// route returns the run time estimate of a route and creates it on the first
// request.
func (s *service) route(name model.RouteName) *routeEstimate {
	estimate := s.routes[name]
	if estimate == nil {
		estimate = &routeEstimate{}
		s.routes[name] = estimate
	}
	estimate.unusedConfigures = 0
	return estimate
}

// dropUnusedRoutes deletes the estimates of routes without a request since
// maxUnusedConfigures calls of Configure. It also resets the longest deadline of every
// route, so that only deadlines seen since the last call of Configure count.
func (s *service) dropUnusedRoutes() {
	for name, route := range s.routes {
		route.longestDeadline = 0
		route.unusedConfigures++
		if route.unusedConfigures > maxUnusedConfigures {
			delete(s.routes, name)
		}
	}
}

func (s *service) observe(r *request, ran time.Duration) {
	r.route.observe(ran)
	s.runs.observe(ran)
}

func (s *service) totalInUse() int {
	total := 0
	for _, n := range s.inUse {
		total += n
	}
	return total
}
