package admission

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Offer takes a request into the queue of its service and returns CauseNone, or
// refuses it and says why. An accepted request ends in a Start, in a Refuse or
// in Withdraw.
func (c *Controller) Offer(now model.Instant, offered Request) model.Cause {
	meta := offered.Meta
	s := c.byName[meta.Service]
	if s == nil || s.slots == 0 {
		return model.CauseNotOwner
	}
	if _, known := c.requests[offered.ID]; known {
		return model.CauseInvalidRequest
	}
	s.advance(now, &c.policy)
	if s.capacity == 0 {
		return model.CauseNoBackend
	}
	route := s.route(meta.Route)
	route.longest = max(route.longest, meta.Deadline.Sub(now))
	cost := route.expected(&s.runs)
	s.arrivals.add(meta.Rank, cost)
	startBy := meta.Deadline.Add(-route.reserved(s.pressure[meta.Rank]))
	if cause := c.check(now, s, offered, cost, startBy); cause != model.CauseNone {
		return cause
	}
	c.enqueue(s, offered, route, cost, startBy)
	return model.CauseNone
}

// check refuses a request that cannot start in time, that no room is left for,
// or that the shift cap does not admit.
func (c *Controller) check(now model.Instant, s *service, offered Request, cost float64, startBy model.Instant) model.Cause {
	meta := offered.Meta
	budget := startBy.Sub(now)
	if budget <= 0 {
		return model.CauseDeadline
	}
	ahead := s.queues[meta.Rank].workAhead(meta.Block, offered.Spill, cost)
	if !s.canStartBy(now, int(meta.Rank), ahead, cost, c.boundedWait(budget)) {
		return model.CauseDeadline
	}
	if offered.Spill && !s.ramp.admit(now, meta.Rank) {
		return model.CauseShiftCap
	}
	if s.queued < s.maxQueue || c.makeRoom(now, s, meta) {
		return model.CauseNone
	}
	if offered.Spill {
		s.ramp.release(now)
	}
	return model.CauseQueueFull
}

func (c *Controller) boundedWait(budget time.Duration) time.Duration {
	if c.policy.MaxWait <= 0 {
		return budget
	}
	return min(budget, c.policy.MaxWait)
}

// makeRoom drops the newest request of the most excessive block of the least
// urgent rank that holds more than its floor's share of the queue. It refuses
// where that block is the offered request's own.
func (c *Controller) makeRoom(now model.Instant, s *service, meta *model.RequestMeta) bool {
	for rank := model.RankCount - 1; rank >= int(meta.Rank); rank-- {
		queue := &s.queues[rank]
		if float64(queue.count()) <= s.floors[rank]*float64(s.maxQueue) {
			continue
		}
		victim := queue.victim()
		if victim == nil {
			continue
		}
		if rank == int(meta.Rank) && victim.block.name == meta.Block {
			return false
		}
		c.refuse(now, victim, model.CauseQueueFull, &c.dropped)
		return true
	}
	return c.makeRoomAbove(now, s, meta)
}

// makeRoomAbove lets a rank that holds less than its floor's share of the queue
// displace a more urgent rank that holds more.
func (c *Controller) makeRoomAbove(now model.Instant, s *service, meta *model.RequestMeta) bool {
	share := s.floors[meta.Rank] * float64(s.maxQueue)
	if float64(s.queues[meta.Rank].count()+1) > share {
		return false
	}
	for rank := int(meta.Rank) - 1; rank >= 0; rank-- {
		queue := &s.queues[rank]
		if float64(queue.count()) <= s.floors[rank]*float64(s.maxQueue) {
			continue
		}
		if victim := queue.victim(); victim != nil {
			c.refuse(now, victim, model.CauseQueueFull, &c.dropped)
			return true
		}
	}
	return false
}

func (c *Controller) enqueue(s *service, offered Request, route *routeEstimate, cost float64, startBy model.Instant) {
	r := c.pool.get()
	r.id = offered.ID
	r.rank = offered.Meta.Rank
	r.spill = offered.Spill
	r.service = s
	r.route = route
	r.cost = cost
	r.startBy = startBy
	c.requests[r.id] = r
	c.expiry.push(r)
	s.queues[r.rank].push(r, offered.Meta.Block)
	s.queued++
}

// Requeue puts a running request whose attempt provably did not run to the head
// of its queue, for servers other than those it has tried. It frees the slot. If
// no other server is left the request is refused and gone.
func (c *Controller) Requeue(now model.Instant, id model.RequestID, exclude model.BackendName) model.Cause {
	r := c.requests[id]
	if r == nil || !r.running() {
		return model.CauseInvalidRequest
	}
	s := r.service
	s.advance(now, &c.policy)
	c.vacate(now, r)
	cause := c.checkRequeue(now, r, exclude)
	if cause != model.CauseNone {
		c.forget(now, r)
		return cause
	}
	c.expiry.push(r)
	s.queues[r.rank].pushRetry(r)
	s.queued++
	return model.CauseNone
}

func (c *Controller) checkRequeue(now model.Instant, r *request, exclude model.BackendName) model.Cause {
	if !r.exclude(exclude) || !r.service.hasOtherServer(now, r) {
		return model.CauseNoBackend
	}
	if r.startBy < now {
		return model.CauseDeadline
	}
	return model.CauseNone
}

// Withdraw takes a request back. A queued one is gone; a running one keeps its
// slot until Finish.
func (c *Controller) Withdraw(now model.Instant, id model.RequestID) (wasQueued, wasRunning bool) {
	r := c.requests[id]
	if r == nil {
		return c.takeDropped(id), false
	}
	if r.running() {
		return false, true
	}
	r.service.advance(now, &c.policy)
	c.dequeue(r)
	c.forget(now, r)
	return true, false
}

// takeDropped takes back a refusal that Next has not given out.
func (c *Controller) takeDropped(id model.RequestID) bool {
	for i, refuse := range c.dropped {
		if refuse.ID == id {
			c.dropped = slices.Delete(c.dropped, i, i+1)
			return true
		}
	}
	return false
}

// Finish frees the slot of a running request that held it for ran. With learn
// the run time counts towards the estimates; leave it out for attempts that
// ended early, such as cancelled ones.
func (c *Controller) Finish(now model.Instant, id model.RequestID, ran time.Duration, learn bool) {
	r := c.requests[id]
	if r == nil || !r.running() {
		return
	}
	r.service.advance(now, &c.policy)
	if learn {
		r.service.observe(r, ran)
	}
	c.vacate(now, r)
	c.forget(now, r)
}

// vacate frees the slot of a running request.
func (c *Controller) vacate(now model.Instant, r *request) {
	server := r.server
	r.service.settle(r, now)
	r.server = nil
	server.inUse--
	r.service.inUse[r.rank]--
	if r.spill {
		r.service.spills--
	}
	if !server.owned && server.inUse == 0 {
		c.retire(now, server)
	}
}

// dequeue takes a queued request out of its queue.
func (c *Controller) dequeue(r *request) {
	r.service.queues[r.rank].remove(r)
	r.service.queued--
	c.expiry.remove(r)
}

// forget drops a request that neither waits nor runs.
func (c *Controller) forget(now model.Instant, r *request) {
	if r.spill {
		r.service.ramp.release(now)
	}
	delete(c.requests, r.id)
	c.pool.put(r)
}

// refuse drops a queued request and reports it.
func (c *Controller) refuse(now model.Instant, r *request, cause model.Cause, out *[]Refuse) {
	*out = append(*out, Refuse{ID: r.id, Cause: cause})
	c.dequeue(r)
	c.forget(now, r)
}
