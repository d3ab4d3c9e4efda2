package membership

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// holdReason is the reason why this instance owns nothing although its state
// allows it.
type holdReason uint8

const (
	holdNone holdReason = iota
	holdStart
	holdPause
)

// hold is the state of a suspended ownership. It prevents an instance that was
// started or paused from granting slots at the same time as the instances that
// took over its backend servers.
type hold struct {
	reason    holdReason
	since     model.Instant
	suspected bool          // peers suspected this instance during the hold and may have taken over
	ownsFrom  model.Instant // end of the join delay
}

// observe updates the clock and detects a pause of the process.
func (g *Group) observe(now model.Instant) {
	first := g.lastTick == 0
	if first {
		g.hold = hold{reason: holdStart, since: now}
		g.startedAt = now
		g.lastTick = now
	}
	gap := now.Sub(g.lastTick)
	g.now = max(now, g.now)
	if gap > g.settings.MaxTickGap {
		g.paused(gap)
	}
	g.releaseHold()
}

// paused handles a pause of the process. It extends every timeout, because
// silence during a pause is no evidence of a failure, and suspends ownership until
// peers have been heard again.
func (g *Group) paused(gap time.Duration) {
	g.lastTick = g.now
	for _, m := range g.order {
		m.lastContact = m.lastContact.Add(gap)
		if m.suspected && !m.dead {
			m.suspectedAt = g.now
		}
	}
	g.summaries.extendTimeouts(gap)
	if g.hold.reason == holdNone {
		g.hold.reason = holdPause
	}
	g.hold.since = g.now
	g.ownership.dirty = true
	g.note(g.self.record.ID, "suspended ownership", "paused for "+gap.Round(time.Millisecond).String())
}

func (g *Group) holding() bool { return g.hold.reason != holdNone }

// releaseHold ends the hold once every heartbeat peer that may have taken over has
// been heard, or after StartPeriod.
func (g *Group) releaseHold() {
	if !g.holding() {
		return
	}
	waited := g.now.Sub(g.hold.since)
	if waited < g.settings.StartPeriod && !g.heardTakeoverCandidates() {
		return
	}
	g.hold.reason = holdNone
	g.ownership.dirty = true
}

// heardTakeoverCandidates reports whether there are takeover candidates and each has
// sent a message since the hold began. Messages of the first PauseGracePeriod do not
// count, because they may have waited in a buffer.
func (g *Group) heardTakeoverCandidates() bool {
	candidates := g.takeoverCandidates()
	earliest := g.hold.since.Add(g.settings.PauseGracePeriod)
	for _, m := range candidates {
		if m.lastContact < earliest {
			return false
		}
	}
	return len(candidates) > 0
}

// takeoverCandidates returns the heartbeat peers in this zone that may be alive or, if
// there are none, those in its region. In a large zone these are only some of the
// instances that may have taken over.
func (g *Group) takeoverCandidates() []*member {
	zone := g.self.record.Zone
	inZone := g.otherHeartbeatPeers(func(m *member) bool { return m.record.Zone == zone })
	if len(inZone) > 0 {
		return inZone
	}
	region, ok := g.regions[zone]
	if !ok {
		return nil
	}
	return g.otherHeartbeatPeers(func(m *member) bool { return g.regions[m.record.Zone] == region })
}

// otherHeartbeatPeers returns the heartbeat peers that may be alive and satisfy
// match.
func (g *Group) otherHeartbeatPeers(match func(*member) bool) []*member {
	var list []*member
	for _, m := range g.order {
		if m != g.self && m.notLeft() && !m.dead && g.heartbeatPeers[m.record.ID] && match(m) {
			list = append(list, m)
		}
	}
	return list
}

// OwnershipSuspended reports whether this instance was paused and its ownership is
// suspended until it has heard its peers again.
func (g *Group) OwnershipSuspended(now model.Instant) bool {
	if g.lastTick != 0 && now.Sub(g.lastTick) > g.settings.MaxTickGap {
		return true
	}
	return g.hold.reason == holdPause
}

// owning reports whether this instance may use the backend servers assigned to
// it.
func (g *Group) owning() bool {
	return !g.holding() && g.self.record.State == Ready && g.now >= g.hold.ownsFrom
}
