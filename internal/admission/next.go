package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// Start reports a request that was given a slot of a backend server and must be
// sent to it.
type Start struct {
	ID      model.RequestID
	Backend model.BackendName
}

// Refusal reports a queued request that was refused. The request never held a slot,
// or its attempts provably did not run.
type Refusal struct {
	ID    model.RequestID
	Cause model.Cause
}

// Decisions is the result of one call of Next. Reuse it to avoid allocation.
type Decisions struct {
	Start  []Start
	Refuse []Refusal
}

// Next replaces the content of out by the requests that start now and the queued
// requests that are refused, because they can no longer start in time, were
// evicted from a full queue, or have no usable server left. It must be called
// after every other call and at least once in each tick.
func (c *Controller) Next(now model.Instant, out *Decisions) {
	out.Start = out.Start[:0]
	out.Refuse = append(out.Refuse[:0], c.pendingRefusals...)
	c.pendingRefusals = c.pendingRefusals[:0]
	for _, s := range c.services {
		if s.queued > 0 {
			c.startQueued(now, s, out)
		}
	}
}

func (c *Controller) startQueued(now model.Instant, s *service, out *Decisions) {
	s.advance(now, &c.policy)
	if s.capacity == 0 {
		c.refuseAll(now, s, out)
		return
	}
	c.refuseExpired(now, out)
	for s.queued > 0 {
		r, server := s.dequeueNext(now)
		if r == nil {
			return
		}
		c.assignSlot(now, r, server)
		out.Start = append(out.Start, Start{ID: r.id, Backend: server.Name})
	}
}

// refuseExpired refuses queued requests that can no longer start in time.
func (c *Controller) refuseExpired(now model.Instant, out *Decisions) {
	for r := c.expiry.first(); r != nil && r.startBy < now; r = c.expiry.first() {
		r.service.advance(now, &c.policy)
		c.refuse(now, r, model.CauseDeadline, &out.Refuse)
	}
}

// refuseAll refuses all requests queued for a service without a usable server.
func (c *Controller) refuseAll(now model.Instant, s *service, out *Decisions) {
	cause := model.CauseNoBackend
	if s.slots == 0 {
		cause = model.CauseNotOwner
	}
	for rank := range s.queues {
		for r := s.queues[rank].first(); r != nil; r = s.queues[rank].first() {
			c.refuse(now, r, cause, &out.Refuse)
		}
	}
}

// assignSlot gives a slot of the server to a request that was just removed from its
// queue.
func (c *Controller) assignSlot(now model.Instant, r *request, server *server) {
	s := r.service
	s.queued--
	c.expiry.remove(r)
	s.charge(r)
	r.server = server
	r.startedAt = now
	server.inUse++
	c.starts++
	server.lastUse = c.starts
	s.inUse[r.rank]++
	if r.spill {
		s.spillInUse++
	}
}
