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
	settings       Settings
	self           *member
	requestedState State // set by SetState
	stopped        bool  // a planned stop of this instance is in force
	now            model.Instant
	lastTick       model.Instant
	out            Output

	text        *config.Text
	regions     map[model.ZoneName]model.RegionName
	stoppedZone map[model.ZoneName]bool // zones with a planned stop in force

	members map[model.InstanceID]*member
	order   []*member                    // sorted by identifier
	zones   map[model.ZoneName][]*member // sorted by identifier

	links     map[model.InstanceID]*link
	linkOrder []*link // sorted by identifier of the peer

	startedAt      model.Instant
	topologyDirty  bool
	zoneAwaited    bool                        // links to other zones wait for the peers of this zone
	zoneIsSmall    bool                        // instances of this zone send their own loads to other zones
	heartbeatPeers map[model.InstanceID]bool   // peers that exchange heartbeats with this instance and are monitored
	loadReceivers  map[model.InstanceID]bool   // bridges that only receive this instance's loads
	opened         map[model.InstanceID]string // address of each peer to which a link was requested

	hold        hold
	ownership   ownership
	summaries   summaries
	loads       ownLoads
	suspects    suspectSet
	terms       termsSet
	limitShares limitShareSet

	revision      config.Order
	fetchedAt     model.Instant
	fetchRevision config.Order
	superseded    bool // a newer process uses this instance's identifier
	generation    uint64
}

// New returns a Group that contains this instance and the seeds. The State of
// self is the requested state; the instance begins as Starting. The Incarnation of
// self must be the start time of the process.
func New(self Record, s Settings) *Group {
	g := &Group{
		settings:       s.withDefaults(),
		requestedState: self.State,
		members:        map[model.InstanceID]*member{},
		zones:          map[model.ZoneName][]*member{},
		links:          map[model.InstanceID]*link{},
		heartbeatPeers: map[model.InstanceID]bool{},
		loadReceivers:  map[model.InstanceID]bool{},
		opened:         map[model.InstanceID]string{},
	}
	g.self = g.member(self.ID)
	g.self.known = true
	self.State = Starting
	self.Sequence = max(self.Sequence, 1)
	g.setZone(g.self, self.Zone)
	g.self.record = self
	g.revision = config.Order{Number: self.Revision}
	g.suspects.init()
	g.summaries.init()
	g.ownership.init()
	g.topologyDirty = true
	for _, seed := range s.Seeds {
		g.addSeed(seed)
		if m, ok := g.members[seed.ID]; ok {
			m.seed = true
		}
	}
	return g
}

func (g *Group) addSeed(seed Seed) {
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

// begin updates the clock and resets the output for a call.
func (g *Group) begin(now model.Instant) {
	g.out = Output{}
	g.observe(now)
}

// finish applies pending changes of state, topology and ownership, sends changed
// records, and returns the output of the call.
func (g *Group) finish() Output {
	g.announce()
	g.updateTopology()
	g.updateOwnership()
	g.flush()
	out := g.out
	g.out = Output{}
	return out
}

// Configure applies a new configuration text and the planned stops in force.
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

// SetState requests the state that this instance should announce. Ready is
// announced only once the start hold has ended.
func (g *Group) SetState(now model.Instant, state State) Output {
	g.begin(now)
	g.requestedState = state
	return g.finish()
}

// SetRevision sets the configuration revision in force on this instance. It is
// sent to the peers with the next tick.
func (g *Group) SetRevision(revision config.Order) {
	if revision == g.revision {
		return
	}
	g.revision = revision
	g.self.record.Revision = revision.Number
	g.ScheduleMessages()
}

// SetListed applies the platform's list of instances. The list lags and may be
// incomplete.
func (g *Group) SetListed(now model.Instant, list []platform.ListedInstance) Output {
	g.begin(now)
	for _, m := range g.order {
		m.listed = false
		m.listedLeaving = false
	}
	for _, instance := range list {
		if instance.ID == "" {
			continue
		}
		g.addSeed(Seed{ID: instance.ID, Zone: instance.Zone, Addr: instance.LinkAddr})
		m := g.member(instance.ID)
		m.listed = true
		m.listedLeaving = instance.Leaving
	}
	g.removeUnlisted()
	g.generation++
	return g.finish()
}

// removeUnlisted removes instances that are known only from earlier lists.
func (g *Group) removeUnlisted() {
	unlisted := func(m *member, _ int) bool { return !m.known && !m.listed && !m.seed }
	for _, m := range lo.Filter(g.order, unlisted) {
		g.remove(m)
	}
}

// Tick runs the time-driven work: failure detection, heartbeats, summaries and
// expiry. It must be called at least every 100 ms with DefaultSettings; a gap above
// MaxTickGap counts as a pause of the process.
func (g *Group) Tick(now model.Instant) Output {
	g.begin(now)
	g.lastTick = now
	g.detect()
	g.replaceSilentLinks()
	g.removeExpired()
	g.summarize()
	g.suspects.expire(now)
	g.terms.expire(now)
	g.limitShares.expire(now)
	g.heartbeat()
	return g.finish()
}

func (g *Group) removeExpired() {
	var expired []*member
	for _, m := range g.order {
		ended := m.dead || m.record.State == Left
		if ended && g.now.Sub(m.endedAt) > g.settings.RetainDead {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		g.remove(m)
	}
}

// announce updates this instance's own record when its state has changed or a
// suspicion has to be refuted.
func (g *Group) announce() {
	state := g.announcedState()
	refute := g.self.suspected && !g.holding()
	if state == g.self.record.State && !refute {
		return
	}
	regainsOwnership := g.self.record.State != Ready || g.hold.suspected
	if state == Ready && regainsOwnership {
		g.hold.ownsFrom = g.now.Add(g.settings.JoinDelay)
	}
	g.hold.suspected = false
	g.self.suspected = false
	g.self.record.State = state
	g.self.record.Sequence++
	g.recordChanged(g.self)
	why := "state changed"
	if refute {
		why = "refuted a suspicion"
	}
	g.note(g.self.record.ID, "announced "+state.String(), why)
}

func (g *Group) announcedState() State {
	state := g.requestedState
	leaving := g.stopped || g.self.listedLeaving || g.superseded
	if leaving && state < Leaving {
		state = Leaving
	}
	if state == Ready && g.hold.reason == holdStart {
		state = Starting
	}
	return state
}

// recordChanged queues m's new version for every link and marks topology and
// ownership for recalculation.
func (g *Group) recordChanged(m *member) {
	g.generation++
	g.topologyDirty = true
	g.ownership.dirty = true
	for _, l := range g.linkOrder {
		l.pending = append(l.pending, m)
	}
}

// Generation returns a counter that grows whenever a result of the Group's other
// methods may have changed, apart from ages.
func (g *Group) Generation() uint64 { return g.generation }

func sortedNames[N ~string](names []N) []N {
	slices.SortFunc(names, func(a, b N) int { return strings.Compare(string(a), string(b)) })
	return slices.Compact(names)
}
