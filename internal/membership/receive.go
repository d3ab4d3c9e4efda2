package membership

import (
	"math"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Receive takes a peer's message.
func (g *Group) Receive(now model.Instant, from model.InstanceID, message *Message) Output {
	g.begin(now)
	if from == g.self.record.ID {
		return g.finish()
	}
	m := g.member(from)
	if m.known && message.Incarnation < m.record.Incarnation {
		return g.finish() // an earlier process of the peer
	}
	l := g.link(from)
	if l.incarnation != 0 && l.incarnation != message.Incarnation {
		l.reset()
		l.pending = append(l.pending, g.order...)
	}
	l.incarnation = message.Incarnation
	if !l.up {
		g.linkUp(l) // given up here, or its LinkUp was lost
	}
	g.heard(m)
	for i := range message.Records {
		g.merge(l, &message.Records[i])
	}
	for i := range message.Zones {
		g.mergeZone(l, &message.Zones[i])
	}
	g.out.Suspects = g.suspects.merge(message.Suspects, g.now)
	if len(g.out.Suspects) > 0 {
		g.hurry()
	}
	g.answerDigest(l, message.Known)
	g.compareRevision(m, message.Revision)
	g.releaseHold()
	return g.finish()
}

// heard notes direct evidence that a peer is alive. A peer that others take for
// dead is told so, since only a higher sequence refutes that.
func (g *Group) heard(m *member) {
	m.heardAt = g.now
	m.nextAccuse = 0
	m.accuseDelay = 0
	if m.haveLoads {
		m.loadsAt = g.now
	}
	if m.accused {
		l := g.link(m.record.ID)
		l.pending = append(l.pending, m)
	}
}

func (g *Group) answerDigest(l *link, known []RecordVersion) {
	if len(known) == 0 {
		return
	}
	for _, v := range known {
		has := version{v.Incarnation, v.Sequence, false}
		if l.sent[v.ID].less(has) {
			l.sent[v.ID] = has
		}
	}
	l.pending = append(l.pending, g.order...)
	l.reply = true
}

func (g *Group) compareRevision(m *member, revision int64) {
	m.record.Revision = revision
	if revision <= g.revision {
		return
	}
	repeated := revision <= g.fetchRevision && g.now.Sub(g.fetchedAt) < g.settings.FetchEvery
	if repeated {
		return
	}
	g.fetchRevision = revision
	g.fetchedAt = g.now
	g.out.FetchFrom = m.record.ID
}

// merge takes what a peer says of one instance.
func (g *Group) merge(l *link, r *Record) {
	said := versionOf(r)
	if l.sent[r.ID].less(said) {
		l.sent[r.ID] = said
	}
	if r.ID == g.self.record.ID {
		g.mergeSelf(l, r)
		return
	}
	m, exists := g.members[r.ID]
	if (!exists || !m.known) && (r.State == Suspected || r.State == Left) {
		return
	}
	m = g.member(r.ID)
	current := m.version()
	switch {
	case m.known && said.less(current):
		l.pending = append(l.pending, m)
	case m.known && said == current:
		g.takeLoads(l, m, r)
	case said.accused && m.known && r.Incarnation == m.record.Incarnation && r.Sequence == m.record.Sequence:
		g.accuse(m, "suspected by "+string(l.peer))
	default:
		g.adopt(l, m, r)
	}
}

// mergeSelf handles what peers say of this instance.
func (g *Group) mergeSelf(l *link, r *Record) {
	self := &g.self.record
	switch {
	case r.Incarnation > self.Incarnation:
		g.meetNewer(r)
	case r.Incarnation < self.Incarnation || r.Sequence < self.Sequence:
		l.pending = append(l.pending, g.self)
	case r.State == Suspected:
		self.Sequence = r.Sequence
		g.self.accused = true // announce refutes it
		g.hold.accused = g.hold.accused || g.holding()
	}
}

// meetNewer handles a record of this identifier with a higher incarnation. A
// process that is just starting takes it for its predecessor's, from before the
// clock was set back, and goes above it; any other leaves to the newer process.
func (g *Group) meetNewer(r *Record) {
	if g.hold.reason == holdStart && r.Incarnation < math.MaxUint64 {
		g.self.record.Incarnation = r.Incarnation + 1
		g.self.record.Sequence = 1
		g.recordChanged(g.self)
		g.note(r.ID, "raised its incarnation", "an earlier process had a higher one")
		return
	}
	g.superseded = true
	g.ownership.dirty = true
}

// adopt replaces a member's record by a newer one.
func (g *Group) adopt(l *link, m *member, r *Record) {
	old := m.record
	wasDead, wasKnown := m.dead, m.known
	g.setZone(m, r.Zone)
	m.record = *r
	m.record.Revision = max(r.Revision, old.Revision)
	m.known = true
	m.accused = r.State == Suspected
	m.dead = false
	if m.accused {
		m.accusedAt = g.now
		m.record.State = old.State
	}
	if r.Incarnation == old.Incarnation {
		m.record.Loads = old.Loads
	} else {
		m.record.Loads = nil
		m.haveLoads = false
	}
	g.takeLoads(l, m, r)
	g.delayNextAccusation(m)
	if m.record.State == Left {
		m.endedAt = g.now
	}
	g.recordChanged(m)
	g.noteAdopted(m, &old, wasKnown, wasDead)
}

func (g *Group) noteAdopted(m *member, old *Record, wasKnown, wasDead bool) {
	switch {
	case !wasKnown:
		g.note(m.record.ID, "joined as "+m.record.State.String(), "first record")
	case old.Incarnation != m.record.Incarnation:
		g.note(m.record.ID, "restarted", "newer incarnation")
	case wasDead:
		g.note(m.record.ID, "alive again", "refuted the suspicion")
	case old.State != m.record.State:
		g.note(m.record.ID, "became "+m.record.State.String(), "its own word")
	}
}

// takeLoads takes the loads of a record that came from its own instance. Where
// it told its loads before, none mean that it owns nothing or stopped telling.
func (g *Group) takeLoads(l *link, m *member, r *Record) {
	if l.peer != r.ID || (r.Loads == nil && !m.haveLoads) {
		return
	}
	m.record.Loads = r.Loads
	m.haveLoads = true
	m.loadsAt = g.now
	m.reportedAt = g.now
	g.generation++
}
