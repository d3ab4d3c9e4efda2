package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// version orders the records of one instance. At the same incarnation and sequence
// a suspicion supersedes the record announced by the instance itself.
type version struct {
	incarnation uint64
	sequence    uint64
	suspected   bool
}

func (v version) less(other version) bool {
	if v.incarnation != other.incarnation {
		return v.incarnation < other.incarnation
	}
	if v.sequence != other.sequence {
		return v.sequence < other.sequence
	}
	return !v.suspected && other.suspected
}

func versionOf(r *Record) version {
	return version{r.Incarnation, r.Sequence, r.State == Suspected}
}

// member is this instance's view of one instance, itself included.
type member struct {
	record Record // State is the last state announced by the instance itself
	hash   uint64 // hash of the identifier
	known  bool   // false if only a list or a seed names it
	seed   bool   // named by the settings
	listed bool   // in the platform's last list
	// listedLeaving reports that the platform's last list marks it as leaving.
	listedLeaving bool

	suspected   bool // an instance lost contact with it, not refuted yet
	suspectedAt model.Instant
	dead        bool
	endedAt     model.Instant // when it died or left

	lastContact      model.Instant // time of its last message
	monitoredAt      model.Instant // when it became a heartbeat peer, 0 if it is none
	loadsConfirmedAt model.Instant // last message that confirmed record.Loads
	loadsReceivedAt  model.Instant // when record.Loads was received
	nextSuspicionAt  model.Instant // earliest next suspicion after a refutation
	suspicionBackoff time.Duration
	haveLoads        bool
}

func newMember(id model.InstanceID) *member {
	return &member{record: Record{ID: id}, hash: xxh3.HashString(string(id))}
}

func (m *member) version() version {
	return version{m.record.Incarnation, m.record.Sequence, m.suspected}
}

// live reports whether the instance is known and neither dead nor left.
func (m *member) live() bool {
	return m.known && !m.dead && m.record.State != Left
}

// ready reports whether the instance may own backend servers.
func (m *member) ready() bool {
	return m.live() && m.record.State == Ready
}

// notLeft reports whether the instance has not left. A link to a dead one is kept,
// because it may only be cut off.
func (m *member) notLeft() bool { return m.record.State != Left }

func byID(a, b *member) int { return strings.Compare(string(a.record.ID), string(b.record.ID)) }

func byHash(a, b *member) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), byID(a, b))
}

// member returns the member with an identifier and adds it if it is new.
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

// setZone moves m to the member list of another zone.
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

func (g *Group) remove(m *member) {
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
