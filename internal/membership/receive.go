package membership

import (
	"math"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Receive processes a message from a peer.
func (g *Group) Receive(now model.Instant, from model.InstanceID, message *Message) Output {
	g.begin(now)
	if from == g.self.record.ID {
		return g.finish()
	}
	m := g.member(from)
	if m.known && message.Incarnation < m.record.Incarnation {
		return g.finish() // sent by an earlier process of the peer
	}
	l := g.link(from)
	if l.incarnation != 0 && l.incarnation != message.Incarnation {
		l.reset()
		l.pending = append(l.pending, g.order...)
	}
	l.incarnation = message.Incarnation
	if !l.up {
		g.linkUp(l) // the link was closed here, or its LinkUp was lost
	}
	g.recordContact(m)
	for i := range message.Records {
		g.merge(l, &message.Records[i])
	}
	for i := range message.Zones {
		g.mergeZone(l, &message.Zones[i])
	}
	g.out.Suspects = g.suspects.merge(message.Suspects, g.now)
	g.out.Terms = g.terms.merge(message.Terms, g.now)
	g.out.LimitShares = g.limitShares.merge(message.LimitShares, g.now)
	if len(g.out.Suspects) > 0 || len(g.out.Terms) > 0 || len(g.out.LimitShares) > 0 {
		g.ScheduleMessages()
	}
	g.answerDigest(l, message.Known)
	g.compareRevision(m, message.Revision)
	g.releaseHold()
	return g.finish()
}

// recordContact records direct evidence that m is alive. If m is suspected, the
// suspicion is sent to it, because only m can refute it, with a higher sequence.
func (g *Group) recordContact(m *member) {
	m.lastContact = g.now
	m.nextSuspicionAt = 0
	m.suspicionBackoff = 0
	if m.haveLoads {
		m.loadsConfirmedAt = g.now
	}
	if m.suspected {
		l := g.link(m.record.ID)
		l.pending = append(l.pending, m)
	}
}

// answerDigest queues the records that are newer than the digest of a peer.
func (g *Group) answerDigest(l *link, known []RecordVersion) {
	if len(known) == 0 {
		return
	}
	for _, v := range known {
		peerVersion := version{v.Incarnation, v.Sequence, false}
		if l.sent[v.ID].less(peerVersion) {
			l.sent[v.ID] = peerVersion
		}
	}
	l.pending = append(l.pending, g.order...)
	l.replyDue = true
}

// compareRevision stores the configuration revision of m and requests a fetch from m
// if it is after this instance's.
func (g *Group) compareRevision(m *member, revision config.Order) {
	m.record.Revision = revision.Number
	if !revision.After(g.revision) {
		return
	}
	repeated := !revision.After(g.fetchRevision) && g.now.Sub(g.fetchedAt) < g.settings.FetchEvery
	if repeated {
		return
	}
	g.fetchRevision = revision
	g.fetchedAt = g.now
	g.out.FetchFrom = m.record.ID
}

// merge applies a record received on a link.
func (g *Group) merge(l *link, r *Record) {
	received := versionOf(r)
	if l.sent[r.ID].less(received) {
		l.sent[r.ID] = received
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
	case m.known && received.less(current):
		l.pending = append(l.pending, m)
	case m.known && received == current:
		g.updateLoads(l, m, r)
	case received.suspected && m.known && r.Incarnation == m.record.Incarnation && r.Sequence == m.record.Sequence:
		g.markSuspected(m, "suspected by "+string(l.peer))
	default:
		g.adopt(l, m, r)
	}
}

// mergeSelf handles a received record of this instance.
func (g *Group) mergeSelf(l *link, r *Record) {
	self := &g.self.record
	switch {
	case r.Incarnation > self.Incarnation:
		g.handleNewerIncarnation(r)
	case r.Incarnation < self.Incarnation || r.Sequence < self.Sequence:
		l.pending = append(l.pending, g.self)
	case r.State == Suspected:
		self.Sequence = r.Sequence
		g.self.suspected = true // announce refutes it
		g.hold.suspected = g.hold.suspected || g.holding()
	}
}

// handleNewerIncarnation handles a record of this instance's identifier with a
// higher incarnation. A process that is still starting assumes that the record is
// from its predecessor, before the clock was set back, and raises its own
// incarnation above it. Any other process is superseded by the newer one.
func (g *Group) handleNewerIncarnation(r *Record) {
	if g.hold.reason == holdStart && r.Incarnation < math.MaxUint64 {
		g.self.record.Incarnation = r.Incarnation + 1
		g.self.record.Sequence = 1
		g.recordChanged(g.self)
		g.note(r.ID, "raised its incarnation", "an earlier process had a higher incarnation")
		return
	}
	g.superseded = true
	g.ownership.dirty = true
}

// adopt replaces the record of m with a newer one.
func (g *Group) adopt(l *link, m *member, r *Record) {
	old := m.record
	wasDead, wasKnown := m.dead, m.known
	g.setZone(m, r.Zone)
	m.record = *r
	m.record.Revision = max(r.Revision, old.Revision)
	m.known = true
	m.suspected = r.State == Suspected
	m.dead = false
	if m.suspected {
		m.suspectedAt = g.now
		m.record.State = old.State
	}
	if r.Incarnation == old.Incarnation {
		m.record.Loads = old.Loads
	} else {
		m.record.Loads = nil
		m.haveLoads = false
	}
	g.updateLoads(l, m, r)
	g.extendSuspicionBackoff(m)
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
		g.note(m.record.ID, "restarted", restartReason(old))
	case wasDead:
		g.note(m.record.ID, "alive again", "refuted the suspicion")
	case old.State != m.record.State:
		g.note(m.record.ID, "became "+m.record.State.String(), "announced by the instance")
	}
}

// restartReason says whether an earlier process had announced that it stops: one that ends by
// itself or is killed writes no such line in its own log.
func restartReason(earlier *Record) string {
	if earlier.State == Leaving || earlier.State == Left {
		return "newer incarnation; the earlier process had announced its stop"
	}
	return "newer incarnation; the earlier process ended without a planned stop, last known as " + earlier.State.String()
}

// updateLoads stores the loads of a record if it was sent by the instance that it
// describes. If that instance has sent loads before, a record without loads means
// that it owns nothing or no longer sends loads to this instance.
func (g *Group) updateLoads(l *link, m *member, r *Record) {
	if l.peer != r.ID || (r.Loads == nil && !m.haveLoads) {
		return
	}
	m.record.Loads = r.Loads
	m.haveLoads = true
	m.loadsConfirmedAt = g.now
	m.loadsReceivedAt = g.now
	g.generation++
}
