package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxQuantumRuns bounds the round robin quantum in mean runs of the service, so
// that a block with cheap requests keeps its turn for a short time only.
const maxQuantumRuns = 8

// maxUnusedRoute is the number of configurations after which a route without a
// request is forgotten.
const maxUnusedRoute = 100

// service is the state of one service: its servers and the one queue before
// them.
type service struct {
	name          model.ServiceName
	floors        [model.RankCount]float64
	baselineSince model.Instant
	ramp          ramp

	servers    []*server // sorted by name; owned ones and ones that finish
	slots      int       // of the owned servers
	capacity   int       // slots that may be in use now
	recovering bool      // some server has a learned limit
	exceeded   bool      // some server may run more than it may now

	queues [model.RankCount]rankQueue
	queued int
	inUse  [model.RankCount]int
	spills int // running spill

	credits  floorCredits
	arrivals arrivals
	reserve  [model.RankCount]float64 // idle slots that a rank leaves to more urgent ones

	// pressure by rank is 0 where its demand and that of more urgent ranks fits
	// into the capacity, and 1 where it does not.
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
	s.quantum = float64(unknownRun)
	return s
}

// advance brings everything that depends on time alone up to now.
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

// recount works out the capacity after a change of servers or limits.
func (s *service) recount(now model.Instant, p *Policy) {
	s.slots, s.capacity, s.recovering, s.exceeded = 0, 0, false, false
	for _, server := range s.servers {
		s.exceeded = s.exceeded || server.inUse > server.usable(now)
		if !server.owned {
			continue
		}
		server.recover(now, p.ShedRecovery)
		s.slots += server.Slots
		s.capacity += server.usable(now)
		s.recovering = s.recovering || server.recovering(now)
	}
}

// excess counts the running requests beyond what their servers may run now: they
// began under a higher limit and take no part of the capacity.
func (s *service) excess(now model.Instant) int {
	if !s.exceeded {
		return 0
	}
	excess := 0
	for _, server := range s.servers {
		excess += max(0, server.inUse-server.usable(now))
	}
	s.exceeded = excess > 0
	return excess
}

// updateReserve sizes for each rank the idle slots that it leaves to more urgent
// ranks: what arrives of them until the next slot is freed rarely exceeds it. It
// is at most their floors. A rank that fits into the capacity together with the
// more urgent ones leaves less, since it then does not keep them waiting.
func (s *service) updateReserve() {
	capacity := float64(max(s.capacity, 1))
	mean, lasting, floors := 0.0, 0.0, 0.0
	for rank := range s.reserve {
		urgent := min(staffed(mean/capacity), floors*capacity)
		mean += s.arrivals.concurrency(rank)
		lasting += s.arrivals.slow[rank]
		floors += s.floors[rank]
		s.pressure[rank] = pressure(lasting / capacity)
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

// freeServer returns the least loaded server with a free slot, nil without one.
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

// freeServerFor is freeServer among the servers that the request has not tried.
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

// hasOtherServer reports whether a usable server is left that r has not tried.
func (s *service) hasOtherServer(now model.Instant, r *request) bool {
	return slices.ContainsFunc(s.servers, func(server *server) bool {
		return server.usable(now) > 0 && r.mayUse(server.Name)
	})
}

// route returns the run estimate of a route, made on its first request.
func (s *service) route(name model.RouteName) *routeEstimate {
	estimate := s.routes[name]
	if estimate == nil {
		estimate = &routeEstimate{}
		s.routes[name] = estimate
	}
	estimate.unused = 0
	return estimate
}

// dropUnusedRoutes forgets the routes without a request over the last
// configurations.
func (s *service) dropUnusedRoutes() {
	for name, route := range s.routes {
		route.longest = 0
		route.unused++
		if route.unused > maxUnusedRoute {
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
