package admission

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Offer adds a request to the queue of its service and returns CauseNone, or
// refuses it and returns the cause. Each accepted request leaves the queue by a
// Start, a Refusal or Withdraw.
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
	route.longestDeadline = max(route.longestDeadline, meta.Deadline.Sub(now))
	cost := route.expected(&s.runs)
	s.arrivals.add(meta.Rank, cost)
	startBy := meta.Deadline.Add(-route.reserved(s.pressure[meta.Rank]))
	if cause := c.checkOffer(now, s, offered, cost, startBy); cause != model.CauseNone {
		return cause
	}
	c.enqueue(s, offered, route, cost, startBy)
	return model.CauseNone
}

// checkOffer returns the cause for which an offered request is refused: it cannot
// start in time, the shift cap does not admit it, or the queue is full. It returns
// CauseNone for a request that is accepted; to make room for it, another request
// may have been evicted.
func (c *Controller) checkOffer(now model.Instant, s *service, offered Request, cost float64, startBy model.Instant) model.Cause {
	meta := offered.Meta
	budget := startBy.Sub(now)
	if budget <= 0 {
		return model.CauseDeadline
	}
	ahead := s.queues[meta.Rank].workAhead(meta.CallerGroup, offered.Spill, cost)
	if !s.canStartWithin(now, int(meta.Rank), ahead, cost, c.boundedWait(budget)) {
		return model.CauseDeadline
	}
	if offered.Spill && !s.ramp.admit(now, meta.Rank) {
		return model.CauseShiftCap
	}
	if s.queued < s.maxQueue || c.evictFor(now, s, meta) {
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

// evictFor makes room in a full queue for an offered request and reports whether
// it did. It evicts the newest request of the group with the most queued work, in
// the least urgent rank that holds more than its floor's share of the queue. It
// evicts nothing if that group and rank are those of the offered request. If no
// rank qualifies, it tries evictMoreUrgentFor.
func (c *Controller) evictFor(now model.Instant, s *service, meta *model.RequestMeta) bool {
	for rank := model.RankCount - 1; rank >= int(meta.Rank); rank-- {
		queue := &s.queues[rank]
		if float64(queue.count()) <= s.floors[rank]*float64(s.maxQueue) {
			continue
		}
		victim := queue.evictionCandidate()
		if victim == nil {
			continue
		}
		if rank == int(meta.Rank) && victim.group.name == meta.CallerGroup {
			return false
		}
		c.refuse(now, victim, model.CauseQueueFull, &c.pendingRefusals)
		return true
	}
	return c.evictMoreUrgentFor(now, s, meta)
}

// evictMoreUrgentFor evicts a request of a more urgent rank that holds more than its
// floor's share of the queue, if the rank of the offered request stays within its own
// floor's share with that request. It reports whether it evicted one.
func (c *Controller) evictMoreUrgentFor(now model.Instant, s *service, meta *model.RequestMeta) bool {
	share := s.floors[meta.Rank] * float64(s.maxQueue)
	if float64(s.queues[meta.Rank].count()+1) > share {
		return false
	}
	for rank := int(meta.Rank) - 1; rank >= 0; rank-- {
		queue := &s.queues[rank]
		if float64(queue.count()) <= s.floors[rank]*float64(s.maxQueue) {
			continue
		}
		if victim := queue.evictionCandidate(); victim != nil {
			c.refuse(now, victim, model.CauseQueueFull, &c.pendingRefusals)
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
	s.queues[r.rank].push(r, offered.Meta.CallerGroup)
	s.queued++
}

// Requeue frees the slot of a request whose attempt provably did not run, and
// returns the request to the queue of its rank, ahead of all requests that were
// never started. The request may only start at servers that it has not tried. If no
// other server is left, maxExcluded servers were tried already, or it can no longer
// start in time, Requeue drops the request and returns the cause.
func (c *Controller) Requeue(now model.Instant, id model.RequestID, exclude model.BackendName) model.Cause {
	r := c.requests[id]
	if r == nil || !r.running() {
		return model.CauseInvalidRequest
	}
	s := r.service
	s.advance(now, &c.policy)
	c.releaseSlot(now, r)
	cause := c.checkRequeue(now, r, exclude)
	if cause != model.CauseNone {
		c.discard(now, r)
		return cause
	}
	c.expiry.push(r)
	s.queues[r.rank].pushRequeued(r)
	s.queued++
	return model.CauseNone
}

// MayRequeue reports whether Requeue would accept a request now. It changes nothing.
func (c *Controller) MayRequeue(now model.Instant, id model.RequestID, exclude model.BackendName) bool {
	r := c.requests[id]
	if r == nil || !r.running() {
		return false
	}
	after := *r
	return c.checkRequeue(now, &after, exclude) == model.CauseNone
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

// Withdraw cancels a request and reports whether it was queued or running. A
// queued request is removed; a running one keeps its slot until Finish.
func (c *Controller) Withdraw(now model.Instant, id model.RequestID) (wasQueued, wasRunning bool) {
	r := c.requests[id]
	if r == nil {
		return c.cancelPendingRefusal(id), false
	}
	if r.running() {
		return false, true
	}
	r.service.advance(now, &c.policy)
	c.dequeue(r)
	c.discard(now, r)
	return true, false
}

// cancelPendingRefusal removes a refusal that Next has not reported yet.
func (c *Controller) cancelPendingRefusal(id model.RequestID) bool {
	for i, refuse := range c.pendingRefusals {
		if refuse.ID == id {
			c.pendingRefusals = slices.Delete(c.pendingRefusals, i, i+1)
			return true
		}
	}
	return false
}

// Finish frees the slot of a running request, which held it for ran. If learn is
// true, ran is added to the run time estimates. It must be false for attempts that
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
	c.releaseSlot(now, r)
	c.discard(now, r)
}

// releaseSlot frees the slot of a running request.
func (c *Controller) releaseSlot(now model.Instant, r *request) {
	server := r.server
	r.service.settleCharge(r, now)
	r.server = nil
	server.inUse--
	r.service.inUse[r.rank]--
	if r.spill {
		r.service.spillInUse--
	}
	if !server.owned && server.inUse == 0 {
		c.retire(now, server)
	}
}

// dequeue removes a queued request from its queue.
func (c *Controller) dequeue(r *request) {
	r.service.queues[r.rank].remove(r)
	r.service.queued--
	c.expiry.remove(r)
}

// discard deletes a request that is neither queued nor running.
func (c *Controller) discard(now model.Instant, r *request) {
	if r.spill {
		r.service.ramp.release(now)
	}
	delete(c.requests, r.id)
	c.pool.put(r)
}

// refuse deletes a queued request and appends its refusal to out.
func (c *Controller) refuse(now model.Instant, r *request, cause model.Cause, out *[]Refusal) {
	*out = append(*out, Refusal{ID: r.id, Cause: cause})
	c.dequeue(r)
	c.discard(now, r)
}
