package membership

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxSuspicionBackoff is the longest time between two suspicions of an instance
// that refutes them over other links.
const maxSuspicionBackoff = 8 * time.Second

// detect marks silent peers as suspected, declares suspected instances dead after
// HoldDown, and checks which zones are cut off.
func (g *Group) detect() {
	for _, m := range g.order {
		if m == g.self || !m.live() {
			continue
		}
		if !m.suspected && g.silentTooLong(m) && g.now >= m.nextSuspicionAt {
			g.markSuspected(m, "silent")
		}
		if m.suspected && g.now.Sub(g.suspicionStart(m)) >= g.settings.HoldDown {
			g.declareDead(m)
		}
	}
	g.summaries.checkSilence(g)
}

// silentTooLong reports whether the silence of a monitored peer has reached its
// limit.
func (g *Group) silentTooLong(m *member) bool { return g.silence(m) >= g.silenceLimit(m) }

// silence returns the time since the last message of a monitored peer, 0 for an
// instance that is not monitored.
func (g *Group) silence(m *member) time.Duration {
	if m.monitoredAt == 0 {
		return 0
	}
	return g.now.Sub(max(m.lastContact, m.monitoredAt))
}

func (g *Group) silenceLimit(m *member) time.Duration {
	if g.linkIsUp(m.record.ID) {
		return g.settings.SuspectAfter
	}
	return g.settings.LinkDownAfter
}

// suspicionStart returns the time from which a suspicion of m counts on this
// instance. Messages received directly from m postpone it.
func (g *Group) suspicionStart(m *member) model.Instant {
	return max(m.suspectedAt, m.lastContact.Add(g.silenceLimit(m)))
}

// suspectedLocally reports whether m is suspected and is silent on this instance
// too.
func (g *Group) suspectedLocally(m *member) bool {
	return m.suspected && g.now >= g.suspicionStart(m)
}

func (g *Group) markSuspected(m *member, why string) {
	m.suspected = true
	m.suspectedAt = g.now
	g.recordChanged(m)
	g.note(m.record.ID, "suspected", why)
}

func (g *Group) declareDead(m *member) {
	m.dead = true
	m.endedAt = g.now
	g.generation++
	g.topologyDirty = true
	g.ownership.dirty = true
	g.note(m.record.ID, "declared dead", "suspicion not refuted")
}

// extendSuspicionBackoff doubles the time until the next suspicion of a peer that
// is silent on its direct link but alive according to other instances.
func (g *Group) extendSuspicionBackoff(m *member) {
	if !g.silentTooLong(m) {
		return
	}
	m.suspicionBackoff = min(max(2*m.suspicionBackoff, g.settings.SuspectAfter), maxSuspicionBackoff)
	m.nextSuspicionAt = g.now.Add(m.suspicionBackoff)
}
