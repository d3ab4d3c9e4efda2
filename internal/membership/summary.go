package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// summaries holds the loads of whole zones. The first bridge of a zone computes its
// summary; other instances forward it.
type summaries struct {
	zones       map[model.ZoneName]*zoneSummary
	order       []*zoneSummary // sorted by zone
	summarizeAt model.Instant  // earliest next summary of this instance's zone

	probing    bool  // a zone has no live instance; its instances are probed in turn
	probeRound int64 // number of the probe period
}

type zoneSummary struct {
	zone       model.ZoneName
	epoch      uint64
	loads      []ServiceLoad
	loadsEpoch uint64        // epoch at which loads last changed
	updatedAt  model.Instant // when epoch last changed
	changedAt  model.Instant // when this instance last changed loads as the zone's first bridge
	cutOff     bool          // no summary for ZoneSilence, and an instance of the zone died since
}

func (s *summaries) init() { s.zones = map[model.ZoneName]*zoneSummary{} }

func (s *summaries) get(zone model.ZoneName) *zoneSummary {
	if z, ok := s.zones[zone]; ok {
		return z
	}
	z := &zoneSummary{zone: zone}
	s.zones[zone] = z
	s.order = append(s.order, z)
	slices.SortFunc(s.order, func(a, b *zoneSummary) int { return strings.Compare(string(a.zone), string(b.zone)) })
	return z
}

// extendTimeouts extends every timeout by the length of a pause.
func (s *summaries) extendTimeouts(gap time.Duration) {
	for _, z := range s.order {
		z.updatedAt = z.updatedAt.Add(gap)
	}
}

// checkSilence updates which zones are cut off: those without a summary for
// ZoneSilence in which an instance died since.
func (s *summaries) checkSilence(g *Group) {
	for _, z := range s.order {
		cutOff := z.zone != g.self.record.Zone && g.now.Sub(z.updatedAt) >= g.settings.ZoneSilence && g.diedSince(z)
		if cutOff == z.cutOff {
			continue
		}
		z.cutOff = cutOff
		g.ownership.dirty = true
		g.generation++
		if cutOff {
			g.out.Notes = append(g.out.Notes, Note{Subject: string(z.zone), Message: "cut off", Reason: "no summary, instances died"})
		}
	}
}

func (g *Group) diedSince(z *zoneSummary) bool {
	for _, m := range g.zones[z.zone] {
		if m.dead && m.endedAt >= z.updatedAt {
			return true
		}
	}
	return false
}

func (g *Group) zoneCutOff(zone model.ZoneName) bool {
	z, ok := g.summaries.zones[zone]
	return ok && z.cutOff
}

// summarize publishes this instance's loads and, if it is the aggregator of its zone,
// updates the zone's summary.
func (g *Group) summarize() {
	g.publishLoads(g.now)
	bridges := g.bridgesOf(g.self.record.Zone)
	aggregator := len(bridges) > 0 && bridges[0] == g.self && g.self.record.State == Ready
	if !aggregator || g.now < g.summaries.summarizeAt {
		return
	}
	g.summaries.summarizeAt = g.now.Add(g.settings.ZoneEvery)
	z := g.summaries.get(g.self.record.Zone)
	z.epoch = max(z.epoch+1, uint64(g.now)/uint64(time.Millisecond))
	z.updatedAt = g.now
	sum := g.sumZone(g.self.record.Zone)
	publishDue := g.now.Sub(z.changedAt) >= g.settings.ZoneLoadEvery
	if publishDue && (z.loadsEpoch == 0 || loadsDiffer(z.loads, sum)) {
		z.changedAt = g.now
		z.loads = sum
		z.loadsEpoch = z.epoch
		g.generation++
	}
}

// sumZone returns the sum of the loads reported by the ready instances of a zone.
func (g *Group) sumZone(zone model.ZoneName) []ServiceLoad {
	var sum []ServiceLoad
	for _, m := range g.inZone(zone, (*member).ready) {
		for i := range m.record.Loads {
			sum = addLoad(sum, &m.record.Loads[i])
		}
	}
	return sum
}

// addLoad adds a load to the entry of its service in sum, which is sorted by
// service. MeanRun is averaged, weighted by slots; the earliest BaselineSince is kept.
func addLoad(sum []ServiceLoad, load *ServiceLoad) []ServiceLoad {
	at, found := slices.BinarySearchFunc(sum, load.Service, func(s ServiceLoad, name model.ServiceName) int {
		return cmp.Compare(s.Service, name)
	})
	if !found {
		return slices.Insert(sum, at, *load)
	}
	s := &sum[at]
	if total := s.Slots + load.Slots; total > 0 {
		weighted := s.MeanRun*time.Duration(s.Slots) + load.MeanRun*time.Duration(load.Slots)
		s.MeanRun = weighted / time.Duration(total)
	}
	s.Slots += load.Slots
	s.InUse += load.InUse
	s.SpillLevel += load.SpillLevel
	s.SpillInUse += load.SpillInUse
	for i := range s.Queued {
		s.Queued[i] += load.Queued[i]
	}
	if s.BaselineSince == 0 || (load.BaselineSince != 0 && load.BaselineSince < s.BaselineSince) {
		s.BaselineSince = load.BaselineSince
	}
	return sum
}

// zonesFor returns the summaries that a peer may lack: those of all zones for a peer
// in the same zone, only that of this zone for others.
func (g *Group) zonesFor(l *link) []ZoneSummary {
	peer, ok := g.members[l.peer]
	if !ok || !g.heartbeatPeers[l.peer] {
		return nil
	}
	inZone := peer.record.Zone == g.self.record.Zone
	var list []ZoneSummary
	for _, z := range g.summaries.order {
		sent := l.zonesSent[z.zone]
		if z.epoch <= sent.epoch || (!inZone && z.zone != g.self.record.Zone) {
			continue
		}
		summary := ZoneSummary{Zone: z.zone, Epoch: z.epoch}
		if z.loadsEpoch > sent.loadsEpoch {
			summary.Loads = z.loads
		}
		l.zonesSent[z.zone] = zoneSent{z.epoch, z.loadsEpoch}
		list = append(list, summary)
	}
	return list
}

func (g *Group) mergeZone(l *link, summary *ZoneSummary) {
	z := g.summaries.get(summary.Zone)
	if summary.Epoch <= z.epoch {
		return
	}
	z.epoch = summary.Epoch
	z.updatedAt = g.now
	if len(summary.Loads) > 0 {
		z.loads = summary.Loads
		z.loadsEpoch = summary.Epoch
		g.generation++
	}
	l.zonesSent[z.zone] = zoneSent{z.epoch, z.loadsEpoch}
}

func (s *summaries) load(g *Group, zone model.ZoneName, service model.ServiceName) (ServiceLoad, time.Duration, bool) {
	z, ok := s.zones[zone]
	if !ok || z.loadsEpoch == 0 {
		return ServiceLoad{}, 0, false
	}
	for i := range z.loads {
		if z.loads[i].Service == service {
			return z.loads[i], g.now.Sub(z.updatedAt), true
		}
	}
	return ServiceLoad{}, 0, false
}

// ZoneLoad returns the load of a service in a whole zone and the time since it was
// last confirmed, or false if it is unknown. It is the sum of the owners' reported
// loads if all of them have reported, the zone's summary otherwise.
func (g *Group) ZoneLoad(zone model.ZoneName, service model.ServiceName) (ServiceLoad, time.Duration, bool) {
	if load, age, ok := g.sumOwners(zone, service); ok {
		return load, age, true
	}
	return g.summaries.load(g, zone, service)
}

func (g *Group) sumOwners(zone model.ZoneName, service model.ServiceName) (ServiceLoad, time.Duration, bool) {
	owners := g.Owners(service, zone)
	group := g.ownership.groups[ownerKey{service, zone}]
	var sum []ServiceLoad
	var oldest time.Duration
	for i := range owners {
		_, age, ok := g.reportedLoad(group.members[i], service)
		if !ok {
			return ServiceLoad{}, 0, false
		}
		oldest = max(oldest, age)
		sum = addLoad(sum, &owners[i].Load)
	}
	if len(sum) == 0 {
		return ServiceLoad{}, 0, false
	}
	return sum[0], oldest, true
}
