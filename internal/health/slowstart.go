package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// startSlowly lets a server take work again, from level slots upwards. A level
// above 0 is already open and counts as the group's step.
func (t *Tracker) startSlowly(now model.Instant, s *server, why Reason, level int) {
	s.level = min(level, s.Slots)
	s.trial = false
	s.held = false
	s.clearFailures()
	s.window = failureWindow{}
	t.setCondition(now, s, SlowStart, why)
	if level > 0 {
		s.group.nextStep = max(s.group.nextStep, now.Add(t.stepInterval(s.group)))
		return
	}
	t.stepSlowStarts(now, s.group)
}

// stepSlowStarts opens the slots of a group's slowly starting servers that are
// due, each time on the server with the fewest open. Two steps are never closer
// than the interval, so call it more often than that.
func (t *Tracker) stepSlowStarts(now model.Instant, g *group) {
	interval := t.stepInterval(g)
	for now >= g.nextStep && t.turns[g.service].Allows(int64(now)) {
		s := g.leastOpen()
		if s == nil {
			return
		}
		g.nextStep = now.Add(interval)
		s.level++
		t.dirty = true
		if s.level >= s.Slots {
			t.setCondition(now, s, Healthy, ReasonOpened)
		}
	}
}

// stepInterval is the time between two slots that a group opens: the shift cap's
// rate, or the faster setting.
func (t *Tracker) stepInterval(g *group) time.Duration {
	interval := t.settings.ShiftCap.StepInterval(g.slots)
	if interval > 0 && t.settings.SlowStartStep > 0 {
		interval = min(interval, t.settings.SlowStartStep)
	}
	return interval
}

// leastOpen returns the slowly starting server with the fewest open slots, nil
// without one.
func (g *group) leastOpen() *server {
	var least *server
	for _, s := range g.servers {
		if s.condition != SlowStart || s.drains != 0 || s.level >= s.Slots {
			continue
		}
		if least == nil || s.level < least.level {
			least = s
		}
	}
	return least
}
