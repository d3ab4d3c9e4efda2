package membership

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxAccuseDelay bounds the time between two suspicions of an instance that
// refutes them over other links.
const maxAccuseDelay = 8 * time.Second

// detect suspects silent peers and declares suspected instances dead after the
// hold-down.
func (g *Group) detect() {
	for _, m := range g.order {
		if m == g.self || !m.live() {
			continue
		}
		if !m.accused && g.silentTooLong(m) && g.now >= m.nextAccuse {
			g.accuse(m, "silent")
		}
		if m.accused && g.now.Sub(g.suspectSince(m)) >= g.settings.HoldDown {
			g.declareDead(m)
		}
	}
	g.summaries.checkSilence(g)
}

// silentTooLong reports whether a monitored peer has missed its heartbeats.
func (g *Group) silentTooLong(m *member) bool { return g.silence(m) >= g.silenceLimit(m) }

// silence is the time since a monitored peer was heard, 0 for others.
func (g *Group) silence(m *member) time.Duration {
	if m.monitoredAt == 0 {
		return 0
	}
	return g.now.Sub(max(m.heardAt, m.monitoredAt))
}

func (g *Group) silenceLimit(m *member) time.Duration {
	if g.linkIsUp(m.record.ID) {
		return g.settings.SuspectAfter
	}
	return g.settings.LinkDownAfter
}

// suspectSince returns when suspicion of an accused instance began to count
// here: not while its own messages arrive.
func (g *Group) suspectSince(m *member) model.Instant {
	return max(m.accusedAt, m.heardAt.Add(g.silenceLimit(m)))
}

// suspect reports whether an instance is accused and silent here too.
func (g *Group) suspect(m *member) bool {
	return m.accused && g.now >= g.suspectSince(m)
}

func (g *Group) accuse(m *member, why string) {
	m.accused = true
	m.accusedAt = g.now
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

// delayNextAccusation makes a peer that is alive by other instances' word, but
// silent on its direct link, be suspected ever more rarely.
func (g *Group) delayNextAccusation(m *member) {
	if !g.silentTooLong(m) {
		return
	}
	m.accuseDelay = min(max(2*m.accuseDelay, g.settings.SuspectAfter), maxAccuseDelay)
	m.nextAccuse = g.now.Add(m.accuseDelay)
}
