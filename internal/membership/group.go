package membership

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Group is one instance's view of all entry instances. It is not safe for
// concurrent use.
type Group struct {
	settings Settings
	self     *member
	wanted   State // as SetState last gave it
	stopped  bool  // a planned stop covers this instance
	now      model.Instant
	lastTick model.Instant
	out      Output

	text        *config.Text
	regions     map[model.ZoneName]model.RegionName
	stoppedZone map[model.ZoneName]bool // a planned stop covers the zone

	members map[model.InstanceID]*member
	order   []*member                    // by identifier
	zones   map[model.ZoneName][]*member // by identifier

	links     map[model.InstanceID]*link
	linkOrder []*link // by identifier of the peer

	topologyDirty bool
	zoneIsSmall   bool                      // the own zone has few enough instances to tell others each one's loads
	heartbeats    map[model.InstanceID]bool // peers that get heartbeats and are monitored
	reports       map[model.InstanceID]bool // bridges that only get this instance's loads
	opened        map[model.InstanceID]string

	hold      hold
	ownership ownership
	summaries summaries
	loads     ownLoads
	suspects  suspectSet

	revision      int64
	fetchedAt     model.Instant
	fetchRevision int64
	superseded    bool // a newer process uses the same identifier
	generation    uint64
}

// New returns a Group that knows this instance and the seeds. The record's
// State is where the instance starts; its Incarnation must be its start time.
func New(self Record, s Settings) *Group {
	g := &Group{
		settings:   s.withDefaults(),
		wanted:     self.State,
		members:    map[model.InstanceID]*member{},
		zones:      map[model.ZoneName][]*member{},
		links:      map[model.InstanceID]*link{},
		heartbeats: map[model.InstanceID]bool{},
		reports:    map[model.InstanceID]bool{},
		opened:     map[model.InstanceID]string{},
	}
	g.self = g.member(self.ID)
	g.self.known = true
	self.State = Starting
	self.Sequence = max(self.Sequence, 1)
	g.setZone(g.self, self.Zone)
	g.self.record = self
	g.revision = self.Revision
	g.suspects.init()
	g.summaries.init()
	g.ownership.init()
	g.topologyDirty = true
	for _, seed := range s.Seeds {
		g.listSeed(seed)
		if m, ok := g.members[seed.ID]; ok {
			m.seed = true
		}
	}
	return g
}

func (g *Group) listSeed(seed Seed) {
	if seed.ID == g.self.record.ID || seed.ID == "" {
		return
	}
	m := g.member(seed.ID)
	if m.known && !m.dead {
		return
	}
	if m.record.LinkAddr == seed.Addr && m.record.Zone == seed.Zone {
		return
	}
	g.setZone(m, seed.Zone)
	m.record.LinkAddr = seed.Addr
	g.topologyDirty = true
}

// begin notes the time of a call and starts its output.
func (g *Group) begin(now model.Instant) {
	g.out = Output{}
	g.observe(now)
}

// finish sends what must not wait and returns the output of a call.
func (g *Group) finish() Output {
	g.announce()
	g.updateTopology()
	g.updateOwnership()
	g.flush()
	out := g.out
	g.out = Output{}
	return out
}

// Configure takes a new text and the planned stops in force with it.
func (g *Group) Configure(now model.Instant, text *config.Text, stops []config.Stop) Output {
	g.begin(now)
	g.text = text
	g.regions = make(map[model.ZoneName]model.RegionName, len(text.Zones))
	for _, zone := range text.Zones {
		g.regions[zone.Name] = zone.Region
	}
	g.applyStops(stops)
	g.topologyDirty = true
	g.ownership.configure(text)
	return g.finish()
}

func (g *Group) applyStops(stops []config.Stop) {
	g.stopped = false
	g.stoppedZone = map[model.ZoneName]bool{}
	for _, stop := range stops {
		switch stop.Scope {
		case config.StopInstance:
			g.stopped = g.stopped || stop.Target == string(g.self.record.ID)
		case config.StopZone:
			g.stoppedZone[model.ZoneName(stop.Target)] = true
		case config.StopRegion:
			for zone, region := range g.regions {
				if string(region) == stop.Target {
					g.stoppedZone[zone] = true
				}
			}
		}
	}
}

// SetState tells the group the state that this instance is in. Ready is
// announced only once the instance may own backend servers.
func (g *Group) SetState(now model.Instant, state State) Output {
	g.begin(now)
	g.wanted = state
	return g.finish()
}

// SetRevision tells the group the configuration revision in force here. Peers
// learn it with the next tick.
func (g *Group) SetRevision(n int64) {
	if n == g.revision {
		return
	}
	g.revision = n
	g.self.record.Revision = n
	g.hurry()
}

// Listed takes the platform's list of instances, which lags and may be short.
func (g *Group) Listed(now model.Instant, list []platform.ListedInstance) Output {
	g.begin(now)
	for _, m := range g.order {
		m.listed = false
		m.listedLeaving = false
	}
	for _, line := range list {
		if line.ID == "" {
			continue
		}
		g.listSeed(Seed{ID: line.ID, Zone: line.Zone, Addr: line.Link})
		m := g.member(line.ID)
		m.listed = true
		m.listedLeaving = line.Leaving
	}
	g.forgetUnlisted()
	g.generation++
	return g.finish()
}

// forgetUnlisted drops instances that only earlier lists named.
func (g *Group) forgetUnlisted() {
	gone := func(m *member, _ int) bool { return !m.known && !m.listed && !m.seed }
	for _, m := range lo.Filter(g.order, gone) {
		g.forget(m)
	}
}

// Tick does what depends on time alone. It must be called more often than
// HeartbeatEvery.
func (g *Group) Tick(now model.Instant) Output {
	g.begin(now)
	g.lastTick = now
	g.detect()
	g.replaceSilentLinks()
	g.forgetOld()
	g.summarize()
	g.suspects.expire(now)
	g.heartbeat()
	return g.finish()
}

func (g *Group) forgetOld() {
	var old []*member
	for _, m := range g.order {
		ended := m.dead || m.record.State == Left
		if ended && g.now.Sub(m.endedAt) > g.settings.RetainDead {
			old = append(old, m)
		}
	}
	for _, m := range old {
		g.forget(m)
	}
}

// announce brings the own record in line with the state that this instance is
// in and with accusations against it.
func (g *Group) announce() {
	state := g.announcedState()
	refute := g.self.accused && !g.holding()
	if state == g.self.record.State && !refute {
		return
	}
	takesBack := g.self.record.State != Ready || g.hold.accused
	if state == Ready && takesBack {
		g.hold.ownsFrom = g.now.Add(g.settings.JoinDelay)
	}
	g.hold.accused = false
	g.self.accused = false
	g.self.record.State = state
	g.self.record.Sequence++
	g.recordChanged(g.self)
	why := "state"
	if refute {
		why = "refuted a suspicion"
	}
	g.note(g.self.record.ID, "announced "+state.String(), why)
}

func (g *Group) announcedState() State {
	state := g.wanted
	leaving := g.stopped || g.self.listedLeaving || g.superseded
	if leaving && state < Leaving {
		state = Leaving
	}
	if state == Ready && g.hold.reason == holdStart {
		state = Starting
	}
	return state
}

// recordChanged makes a member's new version travel and ownership follow it.
func (g *Group) recordChanged(m *member) {
	g.generation++
	g.topologyDirty = true
	g.ownership.dirty = true
	for _, l := range g.linkOrder {
		l.pending = append(l.pending, m)
	}
}

// Generation grows whenever an answer of the Group other than an age may have
// changed.
func (g *Group) Generation() uint64 { return g.generation }

func sortedNames[N ~string](names []N) []N {
	slices.SortFunc(names, func(a, b N) int { return strings.Compare(string(a), string(b)) })
	return slices.Compact(names)
}
