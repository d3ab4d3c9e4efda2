// Package admission decides how an owner instance uses the slots of the backend
// servers that it owns: which requests it queues, starts and refuses.
//
// Controller is deterministic. It reads no clock, starts no goroutine and does no
// I/O; the result of a call depends only on its arguments and on earlier calls.
// It is not safe for concurrent use.
package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Controller manages the queues and slots of every service that has an owned
// server.
type Controller struct {
	policy          Policy
	services        []*service // sorted by name
	byName          map[model.ServiceName]*service
	servers         map[model.BackendName]*server
	requests        map[model.RequestID]*request
	expiry          expiryHeap
	pool            requestPool
	pendingRefusals []Refusal // reported by the next call of Next
	starts          uint64
}

// New returns a Controller without owned servers.
func New(p Policy) *Controller {
	return &Controller{
		policy:   p.withDefaults(),
		byName:   make(map[model.ServiceName]*service),
		servers:  make(map[model.BackendName]*server),
		requests: make(map[model.RequestID]*request),
	}
}

// Configure replaces the policy and the set of owned servers. A server that is
// no longer owned starts no new requests, and those that it runs finish. All
// slots of a new server are usable until SetLimit lowers its limit.
func (c *Controller) Configure(now model.Instant, p Policy, owned []Server) {
	c.policy = p.withDefaults()
	for _, s := range c.services {
		s.advance(now, &c.policy)
	}
	for _, existing := range c.servers {
		existing.owned = false
		existing.pendingMove = nil
	}
	for _, added := range owned {
		c.ownServer(now, added)
	}
	c.dropUnownedServers()
	c.dropEmptyServices()
	for _, s := range c.services {
		c.configureService(now, s)
	}
}

func (c *Controller) ownServer(now model.Instant, added Server) {
	existing := c.servers[added.Name]
	if existing != nil && existing.Service != added.Service {
		existing.pendingMove = &added
		if existing.inUse == 0 {
			c.retire(now, existing)
		}
		return
	}
	if existing == nil {
		existing = &server{Server: added, limit: added.Slots, shedLimit: added.Slots}
		c.servers[added.Name] = existing
		c.ensureService(now, added.Service).addServer(existing)
	}
	existing.resize(added.Slots)
	existing.owned = true
	existing.pendingMove = nil
}

// retire removes a server that runs nothing. A server that was reassigned to another
// service is added there. If its old limit was below its slots, the new limit is no
// higher than the old one.
func (c *Controller) retire(now model.Instant, retired *server) {
	c.byName[retired.Service].removeServer(retired)
	delete(c.servers, retired.Name)
	if retired.pendingMove == nil {
		return
	}
	c.ownServer(now, *retired.pendingMove)
	replacement := c.servers[retired.Name]
	if retired.limit < retired.Slots {
		replacement.limit = min(retired.limit, replacement.Slots)
	}
	c.configureService(now, c.byName[replacement.Service])
}

func (c *Controller) ensureService(now model.Instant, name model.ServiceName) *service {
	if s := c.byName[name]; s != nil {
		return s
	}
	s := newService(name)
	s.baselineSince = now
	s.credits.updatedAt = now
	c.byName[name] = s
	i, _ := slices.BinarySearchFunc(c.services, name, compareService)
	c.services = slices.Insert(c.services, i, s)
	return s
}

func compareService(s *service, name model.ServiceName) int {
	return strings.Compare(string(s.name), string(name))
}

func (c *Controller) dropUnownedServers() {
	for _, s := range c.services {
		s.servers = slices.DeleteFunc(s.servers, func(server *server) bool {
			drop := !server.owned && server.inUse == 0
			if drop {
				delete(c.servers, server.Name)
			}
			return drop
		})
	}
}

func (c *Controller) dropEmptyServices() {
	c.services = slices.DeleteFunc(c.services, func(s *service) bool {
		drop := len(s.servers) == 0 && s.queued == 0
		if drop {
			delete(c.byName, s.name)
		}
		return drop
	})
}

func (c *Controller) configureService(now model.Instant, s *service) {
	s.floors = c.policy.Floors
	s.recount(now, &c.policy)
	s.ramp.configure(c.policy.ShiftCap, s.slots)
	s.ramp.turn = c.policy.Turns[s.name]
	s.maxQueue = c.policy.QueuePerSlot * s.slots
	s.dropUnusedRoutes()
}

// SetLimit sets how many slots of a server may be in use. The limit is clamped to
// the range from 0 to Server.Slots; at 0 the server starts no new requests. An
// unknown server is ignored.
func (c *Controller) SetLimit(now model.Instant, name model.BackendName, limit int) {
	server := c.servers[name]
	if server == nil {
		return
	}
	limit = min(max(limit, 0), server.Slots)
	if server.limit == limit {
		return
	}
	s := c.byName[server.Service]
	s.advance(now, &c.policy)
	server.limit = limit
	s.recount(now, &c.policy)
}

// Shed records that a server refused a request without running it. The server's
// limit drops below the concurrency at which it refused, and recovers one slot at
// a time. If retryAfter is positive, the server starts no new requests for that
// time, bounded by Policy.MaxRetryAfter. Shed must be called before Requeue.
func (c *Controller) Shed(now model.Instant, name model.BackendName, retryAfter time.Duration) {
	server := c.servers[name]
	if server == nil {
		return
	}
	s := c.byName[server.Service]
	s.advance(now, &c.policy)
	server.shed(now, min(max(retryAfter, 0), c.policy.MaxRetryAfter), c.policy.ShedRecovery)
	s.recount(now, &c.policy)
}

// Seed continues from the spill level, in slots, and the start of the baseline
// that the previous owner published. It never lowers the level, and never moves
// the start of the baseline to a later time.
func (c *Controller) Seed(now model.Instant, name model.ServiceName, level float64, baselineSince model.Instant) {
	s := c.byName[name]
	if s == nil {
		return
	}
	s.ramp.seed(now, level)
	if baselineSince != 0 && baselineSince < s.baselineSince {
		s.baselineSince = baselineSince
	}
}

// Loads returns the load of each service that has owned servers, sorted by name.
func (c *Controller) Loads(now model.Instant) []membership.ServiceLoad {
	loads := make([]membership.ServiceLoad, 0, len(c.services))
	for _, s := range c.services {
		s.advance(now, &c.policy)
		loads = append(loads, s.load(now))
	}
	return loads
}

// InUse returns the number of requests that run at the server. This includes a
// server that is no longer owned but still finishes its requests.
func (c *Controller) InUse(name model.BackendName) int {
	if server := c.servers[name]; server != nil {
		return server.inUse
	}
	return 0
}

// Idle reports whether no request is queued or running.
func (c *Controller) Idle() bool { return len(c.requests) == 0 }

func (s *service) load(now model.Instant) membership.ServiceLoad {
	load := membership.ServiceLoad{
		Service:       s.name,
		Slots:         s.capacity,
		InUse:         s.totalInUse(),
		MeanRun:       time.Duration(s.runs.mean),
		SpillLevel:    s.ramp.advertisedLevel(now),
		SpillInUse:    s.spillInUse,
		BaselineSince: s.baselineSince,
	}
	for rank := range s.queues {
		load.Queued[rank] = s.queues[rank].count()
	}
	return load
}
