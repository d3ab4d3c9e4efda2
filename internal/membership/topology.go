package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// probeEvery is how long one instance of a zone without live members is probed
// before the next one.
const probeEvery = 5 * time.Second

// updateTopology selects the peers with which this instance exchanges messages: a
// fixed number in its zone and, if it is a bridge, one in each other zone.
func (g *Group) updateTopology() {
	if g.summaries.probing && g.summaries.probeRound != g.probeRound() {
		g.topologyDirty = true
	}
	if g.zoneAwaited && !g.awaitsZone() {
		g.topologyDirty = true
	}
	if !g.topologyDirty {
		return
	}
	g.topologyDirty = false
	g.summaries.probing = false
	g.summaries.probeRound = g.probeRound()
	previous := g.heartbeatPeers
	g.heartbeatPeers = map[model.InstanceID]bool{}
	g.loadReceivers = map[model.InstanceID]bool{}
	g.addZonePeers()
	g.zoneAwaited = g.awaitsZone()
	if !g.zoneAwaited {
		g.addBridgePeers()
	}
	g.monitor(previous)
	g.openLinks()
	g.generation++
}

func (g *Group) probeRound() int64 { return int64(g.now) / int64(probeEvery) }

func (g *Group) addZonePeers() {
	all := g.inZone(g.self.record.Zone, (*member).notLeft)
	live := g.inZone(g.self.record.Zone, (*member).live)
	g.zoneIsSmall = len(live) <= g.settings.SmallZoneSize
	for _, list := range [][]*member{live, all} {
		for _, m := range ringPeers(list, g.self, g.settings.RingDegree) {
			g.heartbeatPeers[m.record.ID] = true
		}
	}
	for _, m := range g.bridgesOf(g.self.record.Zone) {
		if m != g.self && !g.heartbeatPeers[m.record.ID] {
			g.loadReceivers[m.record.ID] = true
		}
	}
}

// inZone returns the members of a zone that satisfy match, sorted by identifier.
func (g *Group) inZone(zone model.ZoneName, match func(*member) bool) []*member {
	var list []*member
	for _, m := range g.zones[zone] {
		if match(m) {
			list = append(list, m)
		}
	}
	return list
}

// ringPeers selects degree peers of self: all members if the list is short, otherwise
// those at growing distances in both directions on a ring ordered by hash, so that
// updates cross the ring in few hops.
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

// zonePatience is the time after its start for which an instance waits for the peers of its
// zone before it connects to other zones.
const zonePatience = 600 * time.Millisecond

// awaitsZone reports whether this instance has just started and has not heard all heartbeat
// peers of its zone yet. It knows them from the list only, so it would take itself for a
// bridge and exchange all records with two instances of every zone.
func (g *Group) awaitsZone() bool {
	if g.now.Sub(g.startedAt) >= zonePatience {
		return false
	}
	return slices.ContainsFunc(g.zones[g.self.record.Zone], func(m *member) bool {
		return m != g.self && m.lastContact == 0 && m.notLeft() && !m.dead && g.heartbeatPeers[m.record.ID]
	})
}

// addBridgePeers pairs the i-th bridge of this zone with the i-th bridge of each
// other zone. The instances of a zone without live members are probed one after
// another. If the zone is known only from lists and seeds, instances that are not
// bridges probe it too, because the bridges may not know of it.
func (g *Group) addBridgePeers() {
	ownBridges := g.bridgesOf(g.self.record.Zone)
	for _, zone := range g.memberZones() {
		if zone == g.self.record.Zone {
			continue
		}
		remoteBridges := g.bridgesOf(zone)
		if g.onlyListed(zone) {
			g.heartbeatPeers[remoteBridges[0].record.ID] = true
		}
		for i := range g.settings.Bridges {
			if len(ownBridges) == 0 || len(remoteBridges) == 0 {
				break
			}
			if ownBridges[i%len(ownBridges)] == g.self {
				g.heartbeatPeers[remoteBridges[i%len(remoteBridges)].record.ID] = true
			}
		}
	}
}

// onlyListed reports whether this instance knows a zone only from lists and seeds.
func (g *Group) onlyListed(zone model.ZoneName) bool {
	list := g.inZone(zone, (*member).notLeft)
	return len(list) > 0 && !slices.ContainsFunc(list, func(m *member) bool { return m.known })
}

func (g *Group) memberZones() []model.ZoneName {
	return sortedNames(slices.Collect(maps.Keys(g.zones)))
}

// bridgesOf returns the instances of a zone that exchange messages with other zones:
// ready ones if there are any, otherwise live ones, otherwise those to probe.
func (g *Group) bridgesOf(zone model.ZoneName) []*member {
	for _, match := range []func(*member) bool{(*member).ready, (*member).live} {
		list := g.inZone(zone, match)
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, g.byBridgeRank)
		return list[:min(len(list), g.settings.Bridges)]
	}
	return g.probeTargets(zone)
}

// probeTargets returns the instances of a zone to probe in the current probe round.
func (g *Group) probeTargets(zone model.ZoneName) []*member {
	list := g.inZone(zone, (*member).notLeft)
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

// monitor starts the silence timeout and a full sync for new heartbeat peers and
// stops monitoring former ones.
func (g *Group) monitor(previous map[model.InstanceID]bool) {
	for _, m := range g.order {
		id := m.record.ID
		switch {
		case !g.heartbeatPeers[id]:
			m.monitoredAt = 0
		case !previous[id]:
			m.monitoredAt = g.now
			if l, ok := g.links[id]; ok && l.up {
				g.scheduleFullSync(l)
			}
		}
	}
}

// openLinks requests the links of the new topology and closes the others.
func (g *Group) openLinks() {
	for _, m := range g.order {
		id := m.record.ID
		wanted := g.heartbeatPeers[id] || g.loadReceivers[id]
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
