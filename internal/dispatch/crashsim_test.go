package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// crashMode is how a server ends beneath a request that crashes it.
type crashMode struct {
	name    string
	silent  bool // resets no connection and refuses none
	accepts bool // accepts connections meanwhile, as a process that hangs
	resets  bool // accepts and resets connections meanwhile
	// begun servers have sent the head of the answer when they end.
	begun bool
	// downtime is how long the server is away.
	downtime time.Duration
	newID    bool // it comes back under another identifier
	// unlisted servers have no entry from the crash on; others until lapseDelay after their
	// return under another identifier.
	unlisted bool
}

var crashModes = []crashMode{
	{name: "reset", downtime: 3 * time.Second},
	{name: "silent", silent: true, downtime: 3 * time.Second},
	{name: "silent, another identifier", silent: true, downtime: 3 * time.Second, newID: true},
	{name: "hung", silent: true, accepts: true, downtime: 3 * time.Second},
	{name: "hung, another identifier", silent: true, accepts: true, downtime: 3 * time.Second, newID: true},
	{name: "hung, entry removed", silent: true, accepts: true, downtime: 3 * time.Second, newID: true, unlisted: true},
	{name: "hung for long, entry removed", silent: true, accepts: true, downtime: 30 * time.Second, newID: true, unlisted: true},
	{name: "silent, entry removed", silent: true, downtime: 3 * time.Second, newID: true, unlisted: true},
	{name: "reset, entry removed", downtime: 3 * time.Second, newID: true, unlisted: true},
	{name: "reset on accept", resets: true, downtime: 2 * time.Second, newID: true},
	{name: "reset on accept, entry removed", resets: true, downtime: 2 * time.Second, newID: true, unlisted: true},
	{name: "reset in the answer", begun: true, downtime: 3 * time.Second},
	{name: "silent in the answer", begun: true, silent: true, downtime: 3 * time.Second, newID: true},
	{name: "reset in the answer, entry removed", begun: true, downtime: 3 * time.Second, newID: true, unlisted: true},
	{name: "back at once", downtime: 20 * time.Millisecond},
	{name: "back at once, another identifier", downtime: 20 * time.Millisecond, newID: true},
}

// repeatPattern is when and where a request that crashes servers comes again.
type repeatPattern struct {
	name  string
	every time.Duration
	all   bool // at all instances at the same moment, otherwise at one of them
	// scattered requests concern no object, so that instances choose servers by load.
	scattered bool
}

func (p repeatPattern) route() catalog.Route {
	route := testRoute()
	route.Sticky = !p.scattered
	return route
}

var repeatPatterns = []repeatPattern{
	{name: "steady", every: 300 * time.Millisecond},
	{name: "bursts", every: 5 * time.Second, all: true},
	{name: "slow", every: 5 * time.Second},
	{name: "scattered", every: 300 * time.Millisecond, scattered: true},
	{name: "scattered bursts", every: 5 * time.Second, all: true, scattered: true},
}

const (
	poisonFingerprint = 4711
	poisonTimeout     = 3 * time.Second
	soundRunTime      = 100 * time.Millisecond
	dialTimeout       = 400 * time.Millisecond
	checkTimeout      = time.Second
	gossipInterval    = 100 * time.Millisecond
	// entryDelay is the time from the start of a server until instances have read its entry.
	entryDelay = 300 * time.Millisecond
	// lapseDelay is the time after which the entry of a server that is gone is removed.
	lapseDelay = 4 * time.Second
	// storeDelay is the time that a call of the store takes.
	storeDelay = 100 * time.Millisecond
	simStep    = 10 * time.Millisecond
)

// crashSim replays a fleet at which sound requests and one that crashes servers arrive.
type crashSim struct {
	mode      crashMode
	route     catalog.Route
	random    *rand.Rand
	instances []*Dispatcher
	members   []pacing.Member
	servers   map[model.BackendName]*crashServer
	events    map[model.Instant][]func()
	now       model.Instant
	lastID    model.RequestID
	lastBorn  int64
	crashes   []model.Instant
	reached   []model.Instant       // when the request reached a server that was up
	cut       map[int]bool          // instances whose links to the others are cut
	startedAt map[int]model.Instant // of instances that have started again
	sound     int
	blocked   int // sound requests
	// saved holds the suspects in the store, by fingerprint. It outlives the instances.
	saved map[uint64]membership.Suspect
}

type crashServer struct {
	entry    catalog.Server
	up       bool
	replaced bool
	running  []func(event.AttemptResult) // ends the attempts at the server
}

func newCrashSim(mode crashMode, route catalog.Route, instances, servers int, seed uint64) *crashSim {
	s := &crashSim{
		mode: mode, route: route, random: rand.New(rand.NewPCG(seed, 1)), now: start,
		servers: map[model.BackendName]*crashServer{}, events: map[model.Instant][]func(){}, cut: map[int]bool{}, startedAt: map[int]model.Instant{},
		saved: map[uint64]membership.Suspect{},
	}
	for i := range instances {
		s.members = append(s.members, pacing.Member{ID: model.InstanceID(fmt.Sprint("edge-", i)), Region: "north", Weight: 1})
	}
	zones := []model.ZoneName{"north-a", "north-b", "south-a", "south-b"}
	for i := range servers {
		s.startServer(testServer(fmt.Sprint("s-", i), zones[i%len(zones)], "shop"), 0)
	}
	for i := range instances {
		s.instances = append(s.instances, s.newInstance(i))
	}
	return s
}

func (s *crashSim) newInstance(i int) *Dispatcher {
	settings := testSettings("north")
	settings.Self, settings.InstancesMaxAge = s.members[i].ID, 7*time.Second
	d := New(settings)
	d.Step(&InstancesCounted{At: s.now.Add(-time.Minute), Instances: len(s.members), Members: s.members, RegionShare: 1})
	d.Step(&CatalogChanged{At: s.now, Change: &catalog.ConfigurationChange{Configuration: configuration(1, s.route)}})
	for _, id := range sortedKeys(s.servers) {
		d.Step(&CatalogChanged{At: s.now, Change: &catalog.ServerChange{Server: s.servers[id].entry}})
	}
	return d
}

func sortedKeys(m map[model.BackendName]*crashServer) []model.BackendName {
	var keys []model.BackendName
	for id := range m {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return keys
}

func (s *crashSim) after(d time.Duration, do func()) {
	at := s.now.Add(max(d, simStep).Truncate(simStep))
	s.events[at] = append(s.events[at], do)
}

func (s *crashSim) startServer(entry catalog.Server, delay time.Duration) {
	s.lastBorn++
	entry.StartedMillis = s.lastBorn
	s.servers[entry.ID] = &crashServer{entry: entry, up: true}
	list := func() {
		for i := range s.instances {
			s.step(i, &CatalogChanged{At: s.now, Change: &catalog.ServerChange{Server: entry}})
		}
	}
	if delay > 0 {
		s.after(delay, list)
	}
}

func (s *crashSim) crash(server *crashServer) {
	server.up = false
	s.crashes = append(s.crashes, s.now)
	if !s.mode.silent {
		for _, end := range server.running {
			s.after(simStep, func() { end(event.AttemptBroken) })
		}
	}
	server.running = nil
	unlist := func() {
		for i := range s.instances {
			s.step(i, &CatalogChanged{At: s.now, Change: &catalog.ServerRemoved{ID: server.entry.ID}})
		}
	}
	if s.mode.unlisted {
		unlist()
	}
	s.after(s.mode.downtime, func() {
		entry := server.entry
		server.replaced = true
		if s.mode.newID {
			entry.ID += "'"
			s.after(lapseDelay, unlist)
		}
		s.startServer(entry, entryDelay)
	})
}

// step applies an event at an instance and carries out the effects.
func (s *crashSim) step(i int, ev Event) {
	d := s.instances[i]
	for _, effect := range slices.Clone(d.Step(ev)) {
		switch f := effect.(type) {
		case *Send:
			s.attempt(i, d, f)
		case *Hedge:
			s.attempt(i, d, f.Send)
		case *Probe:
			s.probe(i, d, f.Server.ID)
		case *SaveSuspects:
			s.save(i, d, f.Suspects)
		case *Refuse:
			if f.Request%2 == 1 && f.Cause == model.CauseCrashSuspect {
				s.blocked++
			}
		}
	}
}

// attempt sends a request to a server. Requests with even identifiers crash it.
func (s *crashSim) attempt(i int, d *Dispatcher, f *Send) {
	ended := false
	var headAt model.Instant
	end := func(ev *AttemptEnded) {
		if ended || s.instances[i] != d {
			return
		}
		ended = true
		if headAt != 0 {
			ev.Result, ev.HeadAt, ev.Report = event.AttemptTruncated, headAt, ServerReport{HasLoad: true}
		}
		ev.At, ev.Request, ev.Attempt = s.now, f.Request, f.Attempt
		s.step(i, ev)
		if ev.Result == event.AttemptComplete {
			s.step(i, &RequestEnded{At: s.now, Request: f.Request})
		}
	}
	s.after(f.TimeLeft, func() { end(&AttemptEnded{Result: event.AttemptTimeout}) })
	server := s.servers[f.Server.ID]
	switch {
	case server.replaced:
		s.after(simStep, func() { end(&AttemptEnded{Result: event.AttemptShed, Misdirected: true}) })
	case !server.up && s.mode.accepts:
	case !server.up && s.mode.resets:
		s.after(simStep, func() { end(&AttemptEnded{Result: event.AttemptBroken}) })
	case !server.up && s.mode.silent:
		s.after(dialTimeout, func() { end(&AttemptEnded{Result: event.AttemptNotSent}) })
	case !server.up:
		s.after(simStep, func() { end(&AttemptEnded{Result: event.AttemptNotSent, Refused: true}) })
	case f.Request%2 == 0:
		if since, ok := s.startedAt[i]; !ok || s.now.Sub(since) > inTouchAfter {
			s.reached = append(s.reached, s.now)
		}
		server.running = append(server.running, func(r event.AttemptResult) { s.endBroken(end, r) })
		if !s.mode.begun {
			s.crash(server)
			return
		}
		headAt = s.now
		s.after(simStep, func() {
			if server.up {
				s.crash(server)
			}
		})
	default:
		server.running = append(server.running, func(r event.AttemptResult) { s.endBroken(end, r) })
		s.after(soundRunTime, func() {
			if server.up {
				end(&AttemptEnded{Result: event.AttemptComplete})
			}
		})
	}
}

// endBroken ends an attempt whose request its instance may send again.
func (s *crashSim) endBroken(end func(*AttemptEnded), r event.AttemptResult) {
	end(&AttemptEnded{Result: r})
}

func (s *crashSim) probe(i int, d *Dispatcher, id model.BackendName) {
	delay := simStep
	if s.mode.silent && !s.servers[id].up {
		delay = dialTimeout
	}
	if s.mode.accepts && !s.servers[id].up {
		delay = checkTimeout
	}
	s.after(delay, func() {
		if s.instances[i] != d {
			return
		}
		server := s.servers[id]
		healthy := server.up && !server.replaced
		s.step(i, &ServerProbed{
			At: s.now, Server: id, Healthy: healthy, Reached: server.up || server.replaced || s.mode.accepts || s.mode.resets,
			Refused: !server.up && !server.replaced && !s.mode.silent && !s.mode.resets, Misdirected: server.replaced,
		})
	})
}

func (s *crashSim) arrive(i int, crashes bool) {
	s.lastID += 2
	id, key := s.lastID+1, s.random.Uint64()%200
	if crashes {
		id, key = s.lastID, poisonFingerprint
	} else {
		s.sound++
	}
	fingerprint := uint64(id)
	if crashes {
		fingerprint = poisonFingerprint
	}
	s.step(i, &RequestArrived{
		At: s.now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: fmt.Sprint(key),
		CallerTimeout: poisonTimeout, Replayable: true, Fingerprint: fingerprint,
	})
}

// save writes suspects to the store, also if the instance ends meanwhile.
func (s *crashSim) save(i int, d *Dispatcher, list []membership.Suspect) {
	s.after(storeDelay, func() {
		for _, suspect := range list {
			s.saved[suspect.Fingerprint] = suspect
		}
		if s.instances[i] == d {
			s.step(i, &SuspectsSaved{OK: true, Suspects: list})
		}
	})
}

// restart replaces an instance by one that knows only what its peers tell and what the store
// holds.
func (s *crashSim) restart(i int) {
	d := s.newInstance(i)
	s.instances[i] = d
	s.startedAt[i] = s.now
	s.after(storeDelay, func() {
		if s.instances[i] == d {
			s.step(i, &SuspectsReceived{At: s.now, Suspects: lo.Values(s.saved)})
		}
	})
}

func (s *crashSim) gossip() {
	for from := range s.instances {
		suspects := s.instances[from].Suspects(s.now)
		for to := range s.instances {
			if len(suspects) > 0 && to != from && s.cut[from] == s.cut[to] {
				s.step(to, &SuspectsReceived{At: s.now, Suspects: suspects})
			}
		}
	}
}

func (s *crashSim) run(length time.Duration, p repeatPattern) {
	for end := s.now.Add(length); s.now < end; s.now = s.now.Add(simStep) {
		for len(s.events[s.now]) > 0 {
			due := s.events[s.now]
			delete(s.events, s.now)
			for _, do := range due {
				do()
			}
		}
		elapsed := s.now.Sub(start)
		if elapsed%gossipInterval == 0 {
			for i := range s.instances {
				s.step(i, &Tick{At: s.now, InstancesKnownAt: s.now})
			}
			s.gossip()
		}
		s.arrive(s.random.IntN(len(s.instances)), false)
		if elapsed%p.every != 0 {
			continue
		}
		for i := range s.instances {
			if p.all {
				s.arrive(i, true)
			}
		}
		if !p.all {
			s.arrive(s.random.IntN(len(s.instances)), true)
		}
	}
}

// lateSends returns how many sends reached a server later than a time after the third crash.
func (s *crashSim) lateSends() int {
	if len(s.crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range s.reached {
		if at.Sub(s.crashes[2]) > crashGrace {
			late++
		}
	}
	return late
}
