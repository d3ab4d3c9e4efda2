package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Health is what this instance holds of a peer.
type Health string

// The healths.
const (
	HealthListed    Health = "listed" // only a list names it
	HealthAlive     Health = "alive"
	HealthSuspected Health = "suspected"
	HealthDead      Health = "dead"
	HealthLeft      Health = "left"
)

// Peer is one instance as status shows it.
type Peer struct {
	Record    Record
	Health    Health
	Linked    bool // the link to it works
	Heartbeat bool // it exchanges heartbeats with this instance
	Bridge    bool // it talks to other zones
	// Silence is the time since its last message to this instance, negative where
	// it sent none.
	Silence time.Duration
}

// Peers lists the other instances by identifier.
func (g *Group) Peers() []Peer {
	var list []Peer
	for _, m := range g.order {
		if m == g.self {
			continue
		}
		peer := Peer{
			Record:    m.record,
			Health:    g.health(m),
			Linked:    g.linkIsUp(m.record.ID),
			Heartbeat: g.heartbeats[m.record.ID],
			Bridge:    slices.Contains(g.bridgesOf(m.record.Zone), m),
			Silence:   unknownAge,
		}
		if m.heardAt != 0 {
			peer.Silence = g.now.Sub(m.heardAt)
		}
		list = append(list, peer)
	}
	return list
}

func (g *Group) health(m *member) Health {
	switch {
	case !m.known:
		return HealthListed
	case m.record.State == Left:
		return HealthLeft
	case m.dead:
		return HealthDead
	case g.suspect(m):
		return HealthSuspected
	}
	return HealthAlive
}

// Self returns this instance's own record.
func (g *Group) Self() Record { return g.self.record }

// Entry is an instance that callers may use.
type Entry struct {
	Instance   model.InstanceID
	Zone       model.ZoneName
	CallerAddr string
}

// Alive lists the other instances that are ready for callers and not suspected, by
// identifier.
func (g *Group) Alive() []Entry {
	list := make([]Entry, 0, len(g.order))
	for _, m := range g.order {
		if m == g.self || m.record.State != Ready || m.record.CallerAddr == "" || g.health(m) != HealthAlive {
			continue
		}
		list = append(list, Entry{Instance: m.record.ID, Zone: m.record.Zone, CallerAddr: m.record.CallerAddr})
	}
	return list
}

// Entries lists instances for a caller's look-up: those of its home zones first,
// then those of the same regions, then others. Inside a zone the order differs
// between the instances that answer, so that a bounded list spreads callers.
func (g *Group) Entries(home []model.ZoneName) []Entry {
	var usable []*member
	for _, m := range g.order {
		if g.usable(m) {
			usable = append(usable, m)
		}
	}
	slices.SortStableFunc(usable, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(g.entryRank(a, home), g.entryRank(b, home)),
			cmp.Compare(pairHash(a.hash, g.self.hash), pairHash(b.hash, g.self.hash)),
		)
	})
	usable = usable[:min(len(usable), g.settings.MaxEntries)]
	list := make([]Entry, 0, len(usable))
	for _, m := range usable {
		list = append(list, Entry{Instance: m.record.ID, Zone: m.record.Zone, CallerAddr: m.record.CallerAddr})
	}
	return list
}

func (g *Group) usable(m *member) bool {
	zone := m.record.Zone
	if !m.ready() || m.listedLeaving || g.stoppedZone[zone] || m.record.CallerAddr == "" {
		return false
	}
	if m == g.self {
		return true
	}
	return !g.suspect(m) && !g.zoneCut(zone)
}

// entryRank is the position of an instance's zone in the order of preference.
func (g *Group) entryRank(m *member, home []model.ZoneName) int {
	if at := slices.Index(home, m.record.Zone); at >= 0 {
		return at
	}
	if len(home) == 0 && m.record.Zone == g.self.record.Zone {
		return 0
	}
	region := g.regions[m.record.Zone]
	for _, zone := range home {
		if g.regions[zone] == region {
			return len(home)
		}
	}
	if len(home) == 0 && g.regions[g.self.record.Zone] == region {
		return 1
	}
	return len(home) + 2
}

// LinkAddress returns where an instance takes links, "" where that is unknown.
func (g *Group) LinkAddress(id model.InstanceID) string {
	m, ok := g.members[id]
	if !ok {
		return ""
	}
	return m.record.LinkAddr
}
