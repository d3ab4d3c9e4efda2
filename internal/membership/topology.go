package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// probeEvery is how long one instance of a zone without live members is tried
// before the next one.
const probeEvery = 5 * time.Second

// updateTopology works out which peers this instance talks to: a fixed number
// in its zone, and, where it is a bridge, one a zone elsewhere.
func (g *Group) updateTopology() {
	if g.summaries.probing && g.summaries.probeRound != g.probeRound() {
		g.topologyDirty = true
	}
	if !g.topologyDirty {
		return
	}
	g.topologyDirty = false
	g.summaries.probing = false
	g.summaries.probeRound = g.probeRound()
	previous := g.heartbeats
	g.heartbeats = map[model.InstanceID]bool{}
	g.reports = map[model.InstanceID]bool{}
	g.addZonePeers()
	g.addBridgePeers()
	g.monitor(previous)
	g.openLinks()
	g.generation++
}

func (g *Group) probeRound() int64 { return int64(g.now) / int64(probeEvery) }

func (g *Group) addZonePeers() {
	all := g.inZone(g.self.record.Zone, (*member).present)
	live := g.inZone(g.self.record.Zone, (*member).live)
	g.zoneIsSmall = len(live) <= g.settings.SmallZone
	for _, list := range [][]*member{live, all} {
		for _, m := range ringPeers(list, g.self, g.settings.RingDegree) {
			g.heartbeats[m.record.ID] = true
		}
	}
	for _, m := range g.bridgesOf(g.self.record.Zone) {
		if m != g.self && !g.heartbeats[m.record.ID] {
			g.reports[m.record.ID] = true
		}
	}
}

// inZone lists the members of a zone that satisfy a condition, by identifier.
func (g *Group) inZone(zone model.ZoneName, match func(*member) bool) []*member {
	var list []*member
	for _, m := range g.zones[zone] {
		if match(m) {
			list = append(list, m)
		}
	}
	return list
}

// ringPeers picks degree peers of self: all where the list is short, otherwise
// those at growing distances both ways on a ring ordered by hash, so that news
// crosses the ring in few steps.
func ringPeers(list []*member, self *member, degree int) []*member {
	if len(list) <= degree+1 {
		return slices.DeleteFunc(slices.Clone(list), func(m *member) bool { return m == self })
	}
	ring := slices.Clone(list)
	slices.SortFunc(ring, byHash)
	at := slices.Index(ring, self)
	if at < 0 {
		return nil
	}
	var peers []*member
	steps := degree / 2
	for i := range steps {
		distance := int(math.Round(math.Pow(float64(len(ring)), float64(i)/float64(steps))))
		ahead := ring[(at+distance)%len(ring)]
		behind := ring[(at-distance+len(ring))%len(ring)]
		peers = append(peers, ahead, behind)
	}
	return peers
}

// addBridgePeers pairs the i-th bridge of this zone with the i-th bridge of each
// other zone. A zone without live instances is probed through one after another,
// also by instances that are no bridges where only they may know of it.
func (g *Group) addBridgePeers() {
	own := g.bridgesOf(g.self.record.Zone)
	for _, zone := range g.memberZones() {
		if zone == g.self.record.Zone {
			continue
		}
		theirs := g.bridgesOf(zone)
		if g.onlyListed(zone) {
			g.heartbeats[theirs[0].record.ID] = true
		}
		for i := range g.settings.Bridges {
			if len(own) == 0 || len(theirs) == 0 {
				break
			}
			if own[i%len(own)] == g.self {
				g.heartbeats[theirs[i%len(theirs)].record.ID] = true
			}
		}
	}
}

// onlyListed reports whether this instance knows a zone from lists and seeds
// alone.
func (g *Group) onlyListed(zone model.ZoneName) bool {
	list := g.inZone(zone, (*member).present)
	return len(list) > 0 && !slices.ContainsFunc(list, func(m *member) bool { return m.known })
}

func (g *Group) memberZones() []model.ZoneName {
	return sortedNames(slices.Collect(maps.Keys(g.zones)))
}

// bridgesOf lists the instances of a zone that talk to other zones.
func (g *Group) bridgesOf(zone model.ZoneName) []*member {
	for _, match := range []func(*member) bool{(*member).ready, (*member).live} {
		list := g.inZone(zone, match)
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, g.byBridgeRank)
		return list[:min(len(list), g.settings.Bridges)]
	}
	return g.probed(zone)
}

func (g *Group) probed(zone model.ZoneName) []*member {
	list := g.inZone(zone, (*member).present)
	if len(list) == 0 {
		return nil
	}
	g.summaries.probing = true
	var picked []*member
	for i := range min(len(list), g.settings.Bridges) {
		at := (g.summaries.probeRound + int64(i)) % int64(len(list))
		picked = append(picked, list[at])
	}
	return picked
}

func (g *Group) byBridgeRank(a, b *member) int {
	if g.settings.BridgeChoice == ByUptime {
		return cmp.Or(cmp.Compare(a.record.StartedAt, b.record.StartedAt), byHash(a, b))
	}
	return byHash(a, b)
}

// monitor starts the silence time-out of new heartbeat peers.
func (g *Group) monitor(previous map[model.InstanceID]bool) {
	for _, m := range g.order {
		id := m.record.ID
		switch {
		case !g.heartbeats[id]:
			m.monitoredAt = 0
		case !previous[id]:
			m.monitoredAt = g.now
			if l, ok := g.links[id]; ok && l.up {
				g.introduce(l)
			}
		}
	}
}

// openLinks asks for the links of the new topology and gives up the others.
func (g *Group) openLinks() {
	for _, m := range g.order {
		id := m.record.ID
		wanted := g.heartbeats[id] || g.reports[id]
		addr, open := g.opened[id]
		switch {
		case wanted && m.record.LinkAddr != "" && (!open || addr != m.record.LinkAddr):
			g.opened[id] = m.record.LinkAddr
			g.out.Open = append(g.out.Open, PeerAddr{ID: id, Addr: m.record.LinkAddr})
		case !wanted && open:
			delete(g.opened, id)
			g.out.Close = append(g.out.Close, id)
		}
	}
}
