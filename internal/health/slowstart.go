package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// beginSlowStart puts a server into SlowStart with the given limit, which then
// rises step by step. A limit above 0 opens at once and counts as the group's step.
func (t *Tracker) beginSlowStart(now model.Instant, s *server, reason Reason, limit int) {
	s.slowStartLimit = min(limit, s.Slots)
	s.trial = false
	s.heldInService = false
	s.clearFailures()
	s.window = failureWindow{}
	t.setCondition(now, s, SlowStart, reason)
	if limit > 0 {
		s.group.nextStep = max(s.group.nextStep, now.Add(t.stepInterval(s.group)))
		return
	}
	t.stepSlowStarts(now, s.group)
}

// stepSlowStarts opens the slots that are due on a group's servers in SlowStart,
// each on the server with the fewest open slots. Two steps are at least stepInterval
// apart, and steps missed between two calls are not made up for. It must therefore be
// called more often than that.
func (t *Tracker) stepSlowStarts(now model.Instant, g *group) {
	interval := t.stepInterval(g)
	for now >= g.nextStep && t.turns[g.service].Allows(int64(now)) {
		s := g.leastOpen()
		if s == nil {
			return
		}
		g.nextStep = now.Add(interval)
		s.slowStartLimit++
		t.dirty = true
		if s.slowStartLimit >= s.Slots {
			t.setCondition(now, s, Healthy, ReasonOpened)
		}
	}
}

// stepInterval returns the time between two slots that a group opens: that of the
// shift cap, or SlowStartStep if it is shorter.
func (t *Tracker) stepInterval(g *group) time.Duration {
	interval := t.settings.ShiftCap.StepInterval(g.slots)
	if interval > 0 && t.settings.SlowStartStep > 0 {
		interval = min(interval, t.settings.SlowStartStep)
	}
	return interval
}

// leastOpen returns the server in SlowStart with the fewest open slots, or nil if
// there is none.
func (g *group) leastOpen() *server {
	var least *server
	for _, s := range g.servers {
		if s.condition != SlowStart || s.drains != 0 || s.slowStartLimit >= s.Slots {
			continue
		}
		if least == nil || s.slowStartLimit < least.slowStartLimit {
			least = s
		}
	}
	return least
}
