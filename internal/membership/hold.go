package membership

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// holdReason says why this instance owns nothing although its state allows it.
type holdReason uint8

const (
	holdNone holdReason = iota
	holdStart
	holdPause
)

// hold keeps a started or paused instance from granting beside whoever took
// its backend servers over meanwhile.
type hold struct {
	reason   holdReason
	since    model.Instant
	accused  bool          // peers may have taken over during the hold
	ownsFrom model.Instant // end of the join delay
}

// observe notes the time and detects that the process was paused.
func (g *Group) observe(now model.Instant) {
	first := g.lastTick == 0
	if first {
		g.hold = hold{reason: holdStart, since: now}
		g.lastTick = now
	}
	gap := now.Sub(g.lastTick)
	g.now = max(now, g.now)
	if gap > g.settings.MaxTickGap {
		g.paused(gap)
	}
	g.releaseHold()
}

// paused restarts every time-out, since silence during a pause proves nothing,
// and withholds ownership until peers were heard again.
func (g *Group) paused(gap time.Duration) {
	g.lastTick = g.now
	for _, m := range g.order {
		m.heardAt = m.heardAt.Add(gap)
		if m.accused && !m.dead {
			m.accusedAt = g.now
		}
	}
	g.summaries.shift(gap)
	if g.hold.reason == holdNone {
		g.hold.reason = holdPause
	}
	g.hold.since = g.now
	g.ownership.dirty = true
	g.note(g.self.record.ID, "stopped owning", "paused for "+gap.Round(time.Millisecond).String())
}

func (g *Group) holding() bool { return g.hold.reason != holdNone }

// releaseHold ends the hold once every instance that may have taken over was
// heard, or after the start period.
func (g *Group) releaseHold() {
	if !g.holding() {
		return
	}
	waited := g.now.Sub(g.hold.since)
	if waited < g.settings.StartPeriod && !g.heardContenders() {
		return
	}
	g.hold.reason = holdNone
	g.ownership.dirty = true
}

// heardContenders reports whether every instance that would own this zone's
// backend servers in this one's absence has spoken since the hold began, late
// enough that its message was not waiting in a buffer.
func (g *Group) heardContenders() bool {
	contenders := g.contenders()
	fresh := g.hold.since.Add(g.settings.QuietAfterPause)
	for _, m := range contenders {
		if m.heardAt < fresh {
			return false
		}
	}
	return len(contenders) > 0
}

// contenders lists the other instances of the zone, known or listed, or those of
// the region where the zone has none.
func (g *Group) contenders() []*member {
	zone := g.self.record.Zone
	inZone := g.others(func(m *member) bool { return m.record.Zone == zone })
	if len(inZone) > 0 {
		return inZone
	}
	region, ok := g.regions[zone]
	if !ok {
		return nil
	}
	return g.others(func(m *member) bool { return g.regions[m.record.Zone] == region })
}

// others lists the heartbeat peers that may be alive and satisfy a condition.
func (g *Group) others(match func(*member) bool) []*member {
	var list []*member
	for _, m := range g.order {
		if m != g.self && m.present() && !m.dead && g.heartbeats[m.record.ID] && match(m) {
			list = append(list, m)
		}
	}
	return list
}

// Frozen reports whether this instance was paused and owns nothing until it has
// heard its peers again.
func (g *Group) Frozen(now model.Instant) bool {
	if g.lastTick != 0 && now.Sub(g.lastTick) > g.settings.MaxTickGap {
		return true
	}
	return g.hold.reason == holdPause
}

// owning reports whether this instance may use what the hash assigns to it.
func (g *Group) owning() bool {
	return !g.holding() && g.self.record.State == Ready && g.now >= g.hold.ownsFrom
}
