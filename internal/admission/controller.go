// Package admission decides what an owner instance does with the slots of the
// backend servers that it owns: which requests it queues, starts and refuses.
//
// The Controller is pure. It reads no clock, starts no goroutine and does no
// I/O; the result of every call depends on the calls before it alone. It is not
// safe for concurrent use.
package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Controller holds the queues and slots of every service with an owned server.
type Controller struct {
	policy   Policy
	services []*service // sorted by name
	byName   map[model.ServiceName]*service
	servers  map[model.BackendName]*server
	requests map[model.RequestID]*request
	expiry   expiryHeap
	pool     requestPool
	dropped  []Refuse // refusals for the next call of Next
	starts   uint64
}

// New returns a Controller that owns no server.
func New(p Policy) *Controller {
	return &Controller{
		policy:   p.withDefaults(),
		byName:   make(map[model.ServiceName]*service),
		servers:  make(map[model.BackendName]*server),
		requests: make(map[model.RequestID]*request),
	}
}

// Configure replaces the policy and the set of owned servers. A server that is
// no longer owned takes nothing new; what runs there finishes. A server that is
// new starts with all its slots until SetLimit says otherwise.
func (c *Controller) Configure(now model.Instant, p Policy, owned []Server) {
	c.policy = p.withDefaults()
	for _, s := range c.services {
		s.advance(now, &c.policy)
	}
	for _, known := range c.servers {
		known.owned = false
		known.moved = nil
	}
	for _, added := range owned {
		c.own(now, added)
	}
	c.dropIdleServers()
	c.dropIdleServices()
	for _, s := range c.services {
		c.configureService(now, s)
	}
}

func (c *Controller) own(now model.Instant, added Server) {
	known := c.servers[added.Name]
	if known != nil && known.Service != added.Service {
		known.moved = &added
		if known.inUse == 0 {
			c.retire(now, known)
		}
		return
	}
	if known == nil {
		known = &server{Server: added, limit: added.Slots, learned: added.Slots}
		c.servers[added.Name] = known
		c.openService(now, added.Service).addServer(known)
	}
	known.resize(added.Slots)
	known.owned = true
	known.moved = nil
}

// retire removes a server that runs nothing; one that has moved to another
// service is opened there, with no more slots than its limit was.
func (c *Controller) retire(now model.Instant, gone *server) {
	c.byName[gone.Service].removeServer(gone)
	delete(c.servers, gone.Name)
	if gone.moved == nil {
		return
	}
	c.own(now, *gone.moved)
	opened := c.servers[gone.Name]
	if gone.limit < gone.Slots {
		opened.limit = min(gone.limit, opened.Slots)
	}
	c.configureService(now, c.byName[opened.Service])
}

func (c *Controller) openService(now model.Instant, name model.ServiceName) *service {
	if s := c.byName[name]; s != nil {
		return s
	}
	s := newService(name)
	s.baselineSince = now
	s.credits.settled = now
	c.byName[name] = s
	i, _ := slices.BinarySearchFunc(c.services, name, compareService)
	c.services = slices.Insert(c.services, i, s)
	return s
}

func compareService(s *service, name model.ServiceName) int {
	return strings.Compare(string(s.name), string(name))
}

func (c *Controller) dropIdleServers() {
	for _, s := range c.services {
		s.servers = slices.DeleteFunc(s.servers, func(server *server) bool {
			idle := !server.owned && server.inUse == 0
			if idle {
				delete(c.servers, server.Name)
			}
			return idle
		})
	}
}

func (c *Controller) dropIdleServices() {
	c.services = slices.DeleteFunc(c.services, func(s *service) bool {
		idle := len(s.servers) == 0 && s.queued == 0
		if idle {
			delete(c.byName, s.name)
		}
		return idle
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

// SetLimit sets how many slots of a server may be in use, 0 to its Slots; at 0
// it takes nothing new. An unknown server is ignored.
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
// limit falls below the concurrency it refused at, and recovers a slot at a time.
// With retryAfter it takes nothing new for so long. Call it before Requeue.
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

// Seed takes over the spill level, in slots, and the start of the baseline that
// the owner before had published. It only raises the level.
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

// Loads summarizes the services with owned servers, sorted by name.
func (c *Controller) Loads(now model.Instant) []membership.ServiceLoad {
	loads := make([]membership.ServiceLoad, 0, len(c.services))
	for _, s := range c.services {
		s.advance(now, &c.policy)
		loads = append(loads, s.load(now))
	}
	return loads
}

// InUse returns how many requests run at the server; also while it finishes what
// it had when it ceased to be owned.
func (c *Controller) InUse(name model.BackendName) int {
	if server := c.servers[name]; server != nil {
		return server.inUse
	}
	return 0
}

// Idle reports whether nothing is queued or running.
func (c *Controller) Idle() bool { return len(c.requests) == 0 }

func (s *service) load(now model.Instant) membership.ServiceLoad {
	load := membership.ServiceLoad{
		Service:       s.name,
		Slots:         s.capacity,
		InUse:         s.totalInUse(),
		MeanRun:       time.Duration(s.runs.mean),
		SpillLevel:    s.ramp.offered(now),
		SpillInUse:    s.spills,
		BaselineSince: s.baselineSince,
	}
	for rank := range s.queues {
		load.Queued[rank] = s.queues[rank].count()
	}
	return load
}
