package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// version orders what is said of one instance. At the same incarnation and
// sequence an accusation replaces the instance's own word.
type version struct {
	incarnation uint64
	sequence    uint64
	accused     bool
}

func (v version) less(other version) bool {
	if v.incarnation != other.incarnation {
		return v.incarnation < other.incarnation
	}
	if v.sequence != other.sequence {
		return v.sequence < other.sequence
	}
	return !v.accused && other.accused
}

func versionOf(r *Record) version {
	return version{r.Incarnation, r.Sequence, r.State == Suspected}
}

// member is what this instance knows of one instance, itself included.
type member struct {
	record Record // State is the last one announced by the instance itself
	hash   uint64 // of the identifier
	known  bool   // false where only a list or a seed names it
	seed   bool   // named by the settings
	listed bool   // named by the platform's last list
	// listedLeaving reports that the platform's list has it as leaving.
	listedLeaving bool

	accused   bool // some peer lost contact; not refuted yet
	accusedAt model.Instant
	dead      bool
	endedAt   model.Instant // when it died or left

	heardAt     model.Instant // last message from it
	monitoredAt model.Instant // when it became a heartbeat peer, 0 where it is none
	loadsAt     model.Instant // last message that vouches for record.Loads
	reportedAt  model.Instant // when record.Loads was received
	nextAccuse  model.Instant // earliest next accusation after a refutation
	accuseDelay time.Duration
	haveLoads   bool
}

func newMember(id model.InstanceID) *member {
	return &member{record: Record{ID: id}, hash: xxh3.HashString(string(id))}
}

func (m *member) version() version {
	return version{m.record.Incarnation, m.record.Sequence, m.accused}
}

// live reports whether the instance takes part: known, neither dead nor left.
func (m *member) live() bool {
	return m.known && !m.dead && m.record.State != Left
}

// ready reports whether the instance may own backend servers.
func (m *member) ready() bool {
	return m.live() && m.record.State == Ready
}

// present reports whether the instance is worth a link: it may be alive.
func (m *member) present() bool { return m.record.State != Left }

func byID(a, b *member) int { return strings.Compare(string(a.record.ID), string(b.record.ID)) }

func byHash(a, b *member) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), byID(a, b))
}

// member returns the entry of an instance and adds it where it is new.
func (g *Group) member(id model.InstanceID) *member {
	if m, ok := g.members[id]; ok {
		return m
	}
	m := newMember(id)
	g.members[id] = m
	at, _ := slices.BinarySearchFunc(g.order, m, byID)
	g.order = slices.Insert(g.order, at, m)
	g.setZone(m, "")
	return m
}

// setZone moves a member to another zone's list.
func (g *Group) setZone(m *member, zone model.ZoneName) {
	g.leaveZone(m)
	m.record.Zone = zone
	list := g.zones[zone]
	at, _ := slices.BinarySearchFunc(list, m, byID)
	g.zones[zone] = slices.Insert(list, at, m)
}

func (g *Group) leaveZone(m *member) {
	zone := m.record.Zone
	g.zones[zone] = slices.DeleteFunc(g.zones[zone], func(other *member) bool { return other == m })
	if len(g.zones[zone]) == 0 {
		delete(g.zones, zone)
	}
}

func (g *Group) forget(m *member) {
	if _, open := g.opened[m.record.ID]; open {
		delete(g.opened, m.record.ID)
		g.out.Close = append(g.out.Close, m.record.ID)
	}
	delete(g.members, m.record.ID)
	g.leaveZone(m)
	g.order = slices.DeleteFunc(g.order, func(other *member) bool { return other == m })
	for _, l := range g.linkOrder {
		delete(l.sent, m.record.ID)
	}
	g.topologyDirty = true
}
