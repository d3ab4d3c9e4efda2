package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Health is the health of a peer as seen by this instance.
type Health string

// The health values.
const (
	HealthListed    Health = "listed" // known only from a list or a seed
	HealthAlive     Health = "alive"
	HealthSuspected Health = "suspected"
	HealthDead      Health = "dead"
	HealthLeft      Health = "left"
)

// Peer is another instance as shown in status.
type Peer struct {
	Record    Record
	Health    Health
	Linked    bool // the link to it is up
	Heartbeat bool // it exchanges heartbeats with this instance
	Bridge    bool // it exchanges messages with other zones
	// Silence is the time since its last message to this instance, negative if it has
	// sent none.
	Silence time.Duration
}

// Peers returns the other instances, sorted by identifier.
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
			Heartbeat: g.heartbeatPeers[m.record.ID],
			Bridge:    slices.Contains(g.bridgesOf(m.record.Zone), m),
			Silence:   unknownAge,
		}
		if m.lastContact != 0 {
			peer.Silence = g.now.Sub(m.lastContact)
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
	case g.suspectedLocally(m):
		return HealthSuspected
	}
	return HealthAlive
}

// Self returns this instance's record.
func (g *Group) Self() Record { return g.self.record }

// Entry is an instance that callers may use.
type Entry struct {
	Instance   model.InstanceID
	Zone       model.ZoneName
	CallerAddr string
}

// AliveEntries returns the other instances that are ready for callers and not suspected,
// sorted by identifier.
func (g *Group) AliveEntries() []Entry {
	list := make([]Entry, 0, len(g.order))
	for _, m := range g.order {
		if m == g.self || m.record.State != Ready || m.record.CallerAddr == "" || g.health(m) != HealthAlive {
			continue
		}
		list = append(list, Entry{Instance: m.record.ID, Zone: m.record.Zone, CallerAddr: m.record.CallerAddr})
	}
	return list
}

// IsStarting reports whether another instance is alive but has not announced that it is ready.
func (g *Group) IsStarting(id model.InstanceID) bool {
	m, ok := g.members[id]
	return ok && m.record.State == Starting && g.health(m) == HealthAlive
}

// Entries returns the instances for a caller's lookup: those of its home zones
// first, then those of the same regions, then others. The list is limited to
// MaxEntries. Without home zones, this instance's zone and region are preferred. The
// order within a zone depends on the answering instance, so that the
// limit does not concentrate callers on a few instances.
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
	return !g.suspectedLocally(m) && !g.zoneCutOff(zone)
}

// entryRank returns the rank of m's zone in the order of preference, 0 for the most
// preferred.
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

// LinkAddress returns the host:port at which an instance accepts links, empty if it
// is unknown.
func (g *Group) LinkAddress(id model.InstanceID) string {
	m, ok := g.members[id]
	if !ok {
		return ""
	}
	return m.record.LinkAddr
}
