package membership

import (
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// link is what this instance knows of the link to one peer and of what the peer
// has been told on it.
type link struct {
	peer   model.InstanceID
	up     bool
	due    bool // a message is wanted with the next tick
	reply  bool // the peer asked for records although it is no heartbeat peer
	ask    bool // the next message carries a digest of what is known
	sentAt model.Instant
	// incarnation is the peer process that the rest is about.
	incarnation uint64
	sent        map[model.InstanceID]version
	pending     []*member // changed since the last message, maybe repeated
	loadsSent   uint64    // generation of the own loads
	zonesSent   map[model.ZoneName]zoneSent
	suspectsGen uint64
	redialAt    model.Instant // earliest next replacement of a silent link
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
}

// LinkUp reports that the link to a peer works.
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
	if g.heartbeats[l.peer] {
		g.introduce(l)
	}
	g.generation++
}

// introduce makes the next message on a link carry everything.
func (g *Group) introduce(l *link) {
	l.ask = true
	l.due = true
	l.pending = slices.Clone(g.order)
}

// LinkDown reports that the link to a peer broke or could not be opened.
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

// replaceSilentLinks gives up links that work by their own account but carry
// nothing, and asks for new ones: something between the two ends may have lost
// track of the connection. It waits longer than a suspicion takes, since requests
// in flight on the link are lost with it.
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
		if !m.dead { // of a dead peer it would be said again and again
			g.note(l.peer, "replaced link", "silent")
		}
	}
}

func (g *Group) linkIsUp(peer model.InstanceID) bool {
	l, ok := g.links[peer]
	return ok && l.up
}

// flush sends changed records at once, and whatever else is due with them.
func (g *Group) flush() {
	for _, l := range g.linkOrder {
		talks := l.up && (g.heartbeats[l.peer] || l.reply)
		if !talks {
			l.pending = l.pending[:0]
			continue
		}
		records := g.takePending(l)
		if len(records) > 0 || (l.ask && l.due) {
			g.send(l, records)
		}
		l.reply = false
	}
}

// heartbeat sends to each peer whose last message is old enough; to bridges that
// only sum loads, less often.
func (g *Group) heartbeat() {
	for _, l := range g.linkOrder {
		since := g.now.Sub(l.sentAt)
		switch {
		case !l.up:
		case g.heartbeats[l.peer]:
			if l.due || since >= g.settings.HeartbeatEvery {
				g.send(l, g.takePending(l))
			}
		case g.reports[l.peer]:
			if since >= g.settings.ZoneLoadEvery && g.lacksLoads(l) {
				g.send(l, nil)
			}
		}
	}
}

// takePending returns the records that the peer lacks.
func (g *Group) takePending(l *link) []Record {
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

// recordFor returns a member's record as it travels to a peer.
func (g *Group) recordFor(l *link, m *member) Record {
	r := m.record
	if m.accused {
		r.State = Suspected
	}
	if m != g.self {
		r.Loads = nil
		return r
	}
	l.loadsSent = g.loads.generation
	if !g.tellsLoads(l.peer) {
		l.loadsSent = 0
		r.Loads = nil
	}
	return r
}

// tellsLoads reports whether a peer gets the own loads: within the zone always,
// outside only where a record costs no more than the zone's summary.
func (g *Group) tellsLoads(peer model.InstanceID) bool {
	m, ok := g.members[peer]
	if !ok {
		return false
	}
	return m.record.Zone == g.self.record.Zone || g.zoneIsSmall
}

func (g *Group) send(l *link, records []Record) {
	if g.lacksLoads(l) && !slices.ContainsFunc(records, g.isOwn) {
		records = append(records, g.recordFor(l, g.self))
	}
	message := &Message{
		From:        g.self.record.ID,
		Incarnation: g.self.record.Incarnation,
		Revision:    g.revision,
		Records:     records,
		Zones:       g.zonesFor(l),
		Suspects:    g.suspects.since(l.suspectsGen),
	}
	if l.ask {
		message.Known = g.digest()
	}
	l.suspectsGen = g.suspects.generation
	l.ask = false
	l.due = false
	l.sentAt = g.now
	g.out.Messages = append(g.out.Messages, Addressed{To: l.peer, Message: message})
}

func (g *Group) isOwn(r Record) bool { return r.ID == g.self.record.ID }

// lacksLoads reports whether a peer must get the own record for its loads, or
// without them where it is not told them any more.
func (g *Group) lacksLoads(l *link) bool {
	if g.tellsLoads(l.peer) {
		return l.loadsSent != g.loads.generation
	}
	return l.loadsSent != 0
}

// digest lists the versions of the records that this instance has.
func (g *Group) digest() []RecordVersion {
	var list []RecordVersion
	for _, m := range g.order {
		if m.known && !m.accused {
			r := &m.record
			list = append(list, RecordVersion{ID: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence})
		}
	}
	return list
}
