package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// Start says that a request holds a slot of a backend server and is to be sent.
type Start struct {
	ID      model.RequestID
	Backend model.BackendName
}

// Refuse says that a queued request is refused; it never held a slot, or its
// attempts provably did not run.
type Refuse struct {
	ID    model.RequestID
	Cause model.Cause
}

// Decisions is what one call of Next decided. Reuse it to avoid allocation.
type Decisions struct {
	Start  []Start
	Refuse []Refuse
}

// Next replaces out's content by the requests that start now and the queued ones
// that can no longer start in time. Call it after every other call and at least
// once in each tick.
func (c *Controller) Next(now model.Instant, out *Decisions) {
	out.Start = out.Start[:0]
	out.Refuse = append(out.Refuse[:0], c.dropped...)
	c.dropped = c.dropped[:0]
	for _, s := range c.services {
		if s.queued > 0 {
			c.nextOf(now, s, out)
		}
	}
}

func (c *Controller) nextOf(now model.Instant, s *service, out *Decisions) {
	s.advance(now, &c.policy)
	if s.capacity == 0 {
		c.refuseAll(now, s, out)
		return
	}
	c.refuseExpired(now, out)
	for s.queued > 0 {
		r, server := s.start(now)
		if r == nil {
			return
		}
		c.occupy(now, r, server)
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

// refuseAll refuses everything queued for a service without a usable server.
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

// occupy gives a request that was just taken from its queue a slot.
func (c *Controller) occupy(now model.Instant, r *request, server *server) {
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
		s.spills++
	}
}
