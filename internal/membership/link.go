package membership

import (
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// link is the state of the link to one peer and of the data sent on it.
type link struct {
	peer       model.InstanceID
	up         bool
	due        bool // send a message with the next tick
	replyDue   bool // answer a request for records even if the peer is not a heartbeat peer
	sendDigest bool // include a digest of the known records in the next message
	sentAt     model.Instant
	// incarnation identifies the peer process to which the fields below apply.
	incarnation uint64
	sent        map[model.InstanceID]version
	pending     []*member // changed since the last message, may contain duplicates
	loadsSent   uint64    // generation of this instance's loads last sent, 0 for none
	zonesSent   map[model.ZoneName]zoneSent
	suspectsGen uint64
	termsGen    uint64
	sharesGen   uint64
	redialAt    model.Instant // earliest time of the next replacement of a silent link
}

type zoneSent struct{ epoch, loadsEpoch uint64 }

func (g *Group) link(peer model.InstanceID) *link {
	if l, ok := g.links[peer]; ok {
		return l
	}
	l := &link{peer: peer}
	l.reset()
	g.links[peer] = l
	byPeer := func(a, b *link) int { return strings.Compare(string(a.peer), string(b.peer)) }
	at, _ := slices.BinarySearchFunc(g.linkOrder, l, byPeer)
	g.linkOrder = slices.Insert(g.linkOrder, at, l)
	return l
}

func (l *link) reset() {
	l.sent = map[model.InstanceID]version{}
	l.zonesSent = map[model.ZoneName]zoneSent{}
	l.pending = nil
	l.loadsSent = 0
	l.suspectsGen = 0
	l.termsGen = 0
	l.sharesGen = 0
}

// LinkUp records that the link to a peer works.
func (g *Group) LinkUp(now model.Instant, peer model.InstanceID) Output {
	g.begin(now)
	l := g.link(peer)
	l.incarnation = 0
	g.linkUp(l)
	return g.finish()
}

func (g *Group) linkUp(l *link) {
	l.up = true
	l.reset()
	if g.heartbeatPeers[l.peer] {
		g.scheduleFullSync(l)
	}
	g.generation++
}

// scheduleFullSync makes the next message on a link carry all records that the
// peer lacks and a digest of the known ones.
func (g *Group) scheduleFullSync(l *link) {
	l.sendDigest = true
	l.due = true
	l.pending = slices.Clone(g.order)
}

// LinkDown records that the link to a peer broke or could not be opened.
func (g *Group) LinkDown(now model.Instant, peer model.InstanceID) Output {
	g.begin(now)
	l := g.link(peer)
	l.up = false
	l.reset()
	if _, wanted := g.opened[peer]; !wanted {
		g.dropLink(peer)
	}
	g.generation++
	return g.finish()
}

func (g *Group) dropLink(peer model.InstanceID) {
	delete(g.links, peer)
	g.linkOrder = slices.DeleteFunc(g.linkOrder, func(l *link) bool { return l.peer == peer })
}

// replaceSilentLinks closes links that are reported as up but deliver no messages,
// and requests new ones: a middlebox may have dropped the state of the connection.
// It waits longer than a suspicion takes, because closing a link loses the requests
// in flight on it.
func (g *Group) replaceSilentLinks() {
	for _, l := range g.linkOrder {
		m, ok := g.members[l.peer]
		addr, open := g.opened[l.peer]
		if !ok || !open || !l.up || g.now < l.redialAt || g.silence(m) < g.settings.ReplaceAfter {
			continue
		}
		l.up = false
		l.reset()
		l.redialAt = g.now.Add(g.settings.RedialEvery)
		g.generation++
		g.out.Close = append(g.out.Close, l.peer)
		g.out.Open = append(g.out.Open, PeerAddr{ID: l.peer, Addr: addr})
		if !m.dead { // links to dead peers are replaced repeatedly
			g.note(l.peer, "replaced link", "silent")
		}
	}
}

func (g *Group) linkIsUp(peer model.InstanceID) bool {
	l, ok := g.links[peer]
	return ok && l.up
}

// flush sends changed records immediately, along with anything else that is due.
func (g *Group) flush() {
	for _, l := range g.linkOrder {
		active := l.up && (g.heartbeatPeers[l.peer] || l.replyDue)
		if !active {
			l.pending = l.pending[:0]
			continue
		}
		records := g.drainPending(l)
		if len(records) > 0 || (l.sendDigest && l.due) {
			g.send(l, records)
		}
		l.replyDue = false
	}
}

// heartbeat sends a message to each heartbeat peer when HeartbeatEvery has passed
// or a message is due, and changed loads to each load receiver at most every
// ZoneLoadEvery.
func (g *Group) heartbeat() {
	for _, l := range g.linkOrder {
		since := g.now.Sub(l.sentAt)
		switch {
		case !l.up:
		case g.heartbeatPeers[l.peer]:
			if l.due || since >= g.settings.HeartbeatEvery {
				g.send(l, g.drainPending(l))
			}
		case g.loadReceivers[l.peer]:
			if since >= g.settings.ZoneLoadEvery && g.needsLoads(l) {
				g.send(l, nil)
			}
		}
	}
}

// drainPending empties the pending list and returns the records in it that the
// peer lacks.
func (g *Group) drainPending(l *link) []Record {
	var records []Record
	for _, m := range l.pending {
		if !m.known || !l.sent[m.record.ID].less(m.version()) {
			continue
		}
		l.sent[m.record.ID] = m.version()
		records = append(records, g.recordFor(l, m))
	}
	l.pending = l.pending[:0]
	return records
}

// recordFor returns m's record as it is sent to a peer: Suspected if m is
// suspected, and with loads only for this instance itself.
func (g *Group) recordFor(l *link, m *member) Record {
	r := m.record
	if m.suspected {
		r.State = Suspected
	}
	if m != g.self {
		r.Loads = nil
		return r
	}
	l.loadsSent = g.loads.generation
	if !g.sendsLoadsTo(l.peer) {
		l.loadsSent = 0
		r.Loads = nil
	}
	return r
}

// sendsLoadsTo reports whether a peer receives this instance's loads: always
// within the zone, and outside it only if the zone is small enough that a record
// costs no more than the zone's summary.
func (g *Group) sendsLoadsTo(peer model.InstanceID) bool {
	m, ok := g.members[peer]
	if !ok {
		return false
	}
	return m.record.Zone == g.self.record.Zone || g.zoneIsSmall
}

func (g *Group) send(l *link, records []Record) {
	if g.needsLoads(l) && !slices.ContainsFunc(records, g.isOwn) {
		records = append(records, g.recordFor(l, g.self))
	}
	message := &Message{
		From:        g.self.record.ID,
		Incarnation: g.self.record.Incarnation,
		Revision:    g.revision,
		Records:     records,
		Zones:       g.zonesFor(l),
		Suspects:    g.suspects.since(l.suspectsGen),
		Terms:       g.terms.since(l.termsGen),
		LimitShares: g.limitShares.since(l.sharesGen),
	}
	if l.sendDigest {
		message.Known = g.digest()
	}
	l.suspectsGen = g.suspects.generation
	l.termsGen = g.terms.generation
	l.sharesGen = g.limitShares.generation
	l.sendDigest = false
	l.due = false
	l.sentAt = g.now
	g.out.Messages = append(g.out.Messages, Addressed{To: l.peer, Message: message})
}

func (g *Group) isOwn(r Record) bool { return r.ID == g.self.record.ID }

// needsLoads reports whether this instance's own record must be sent to a peer
// because its loads have changed, or without loads because the peer no longer
// receives them.
func (g *Group) needsLoads(l *link) bool {
	if g.sendsLoadsTo(l.peer) {
		return l.loadsSent != g.loads.generation
	}
	return l.loadsSent != 0
}

// digest returns the versions of the known records. Those of suspected instances
// are left out.
func (g *Group) digest() []RecordVersion {
	var list []RecordVersion
	for _, m := range g.order {
		if m.known && !m.suspected {
			r := &m.record
			list = append(list, RecordVersion{ID: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence})
		}
	}
	return list
}
