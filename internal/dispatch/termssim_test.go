package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// termsSim replays a fleet at which requests arrive for servers that say what they take.
type termsSim struct {
	t         *testing.T
	random    *rand.Rand
	fleet     []*Dispatcher
	callers   []int // instances, as often as callers are sent to them
	servers   []model.BackendName
	limits    map[model.BackendName]float64 // that servers name in their answers
	events    map[model.Instant][]func()
	now       model.Instant
	lastID    model.RequestID
	arrivals  map[model.BackendName][]arrival
	told      map[toldKey]model.Instant // when an instance first passed such an answer on
	served    int
	refused   []*Refuse
	frozen    map[int]bool
	cut       map[int]bool // from the store and from the other instances
	knownAt   map[int]model.Instant
	exchanged map[exchangeKey]membership.ServerTerms
	perSecond int
	listed    int // instances that callers know
	// callersChange is the time after which callers turn to another instance that runs and is
	// not cut off, 0 for never.
	callersChange time.Duration
	pathAt        func(instance int) string      // of a request, nil for all routes in turn
	stated        map[statementKey]model.Instant // number of the latest statement that was sent
	statements    int
	tellDelay     time.Duration // of a statement at most, over several hops
}

type arrival struct {
	at       model.Instant
	instance int
	priority int
}

type exchangeKey struct {
	cut         bool
	incarnation string
}

type statementKey struct {
	instance    model.InstanceID
	incarnation string
}

type toldKey struct {
	instance int
	server   model.BackendName
}

const (
	toldDelay    = 500 * time.Millisecond // after which the requests of an instance count
	limitPeriod  = 4 * time.Second        // in which they are counted
	termsRunTime = 200 * time.Millisecond
)

func newTermsSim(t *testing.T, instances, servers int, routes ...catalog.Route) *termsSim {
	s := &termsSim{
		t: t, random: rand.New(rand.NewPCG(uint64(instances), uint64(servers))), now: start, perSecond: 150, tellDelay: 700 * time.Millisecond, listed: instances,
		limits: map[model.BackendName]float64{}, events: map[model.Instant][]func(){}, arrivals: map[model.BackendName][]arrival{},
		told: map[toldKey]model.Instant{}, stated: map[statementKey]model.Instant{}, frozen: map[int]bool{}, cut: map[int]bool{}, knownAt: map[int]model.Instant{}, exchanged: map[exchangeKey]membership.ServerTerms{},
	}
	if len(routes) == 0 {
		routes = []catalog.Route{testRoute()}
	}
	fleet, weights := largeFleet(instances, configuration(1, routes...))
	s.fleet = fleet
	for i, weight := range weights {
		s.callers = append(s.callers, slices.Repeat([]int{i}, weight)...)
	}
	zones := []model.ZoneName{"north-a", "north-b", "south-a", "south-b"}
	for i := range servers {
		entry := testServer(fmt.Sprint("s-", i), zones[i%len(zones)], "shop")
		entry.Slots = 12
		s.servers = append(s.servers, entry.ID)
		for _, d := range s.fleet {
			d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: entry}})
		}
	}
	return s
}

func (s *termsSim) after(d time.Duration, do func()) {
	at := s.now.Add(max(d, simStep).Truncate(simStep))
	s.events[at] = append(s.events[at], do)
}

func (s *termsSim) step(i int, ev Event) {
	for _, effect := range slices.Clone(s.fleet[i].Step(ev)) {
		switch f := effect.(type) {
		case *Send:
			s.attempt(i, f)
		case *Refuse:
			s.refused = append(s.refused, f)
		}
	}
}

func (s *termsSim) attempt(i int, f *Send) {
	d := s.fleet[i]
	priority := d.requests[f.Request].route.Priority
	s.after(time.Duration(s.random.Int64N(int64(50*time.Millisecond))), func() {
		s.arrivals[f.Server.ID] = append(s.arrivals[f.Server.ID], arrival{at: s.now, instance: i, priority: priority})
	})
	s.after(termsRunTime, func() { s.answer(i, d, f) })
}

// answer ends an attempt at an instance, once it runs again if it is frozen.
func (s *termsSim) answer(i int, d *Dispatcher, f *Send) {
	if s.fleet[i] != d {
		return
	}
	if s.frozen[i] {
		s.after(simStep, func() { s.answer(i, d, f) })
		return
	}
	var report ServerReport
	if limit, ok := s.limits[f.Server.ID]; ok {
		report = ServerReport{HasLimit: true, Limit: limit, LimitNamed: true}
		s.step(i, &TermsNamed{At: s.now, Server: *f.Server, Report: report})
		key := toldKey{i, f.Server.ID}
		if _, ok := s.told[key]; !ok {
			s.told[key] = s.now
		}
	}
	s.served++
	s.step(i, &AttemptEnded{At: s.now, Request: f.Request, Attempt: f.Attempt, Result: event.AttemptComplete, Report: report})
	s.step(i, &RequestEnded{At: s.now, Request: f.Request})
}

func (s *termsSim) run(length time.Duration) {
	for end := s.now.Add(length); s.now < end; s.now = s.now.Add(simStep) {
		due := s.events[s.now]
		delete(s.events, s.now)
		for _, do := range due {
			do()
		}
		if s.now.Sub(start)%gossipInterval == 0 {
			s.tick()
		}
		for range s.perSecond * int(simStep/time.Millisecond) / 1000 {
			s.arrive()
		}
		if rest := s.perSecond * int(simStep/time.Millisecond) % 1000; s.random.IntN(1000) < rest {
			s.arrive()
		}
	}
}

func (s *termsSim) tick() {
	for i := range s.fleet {
		if !s.cut[i] {
			s.knownAt[i] = s.now
		}
		if !s.frozen[i] {
			s.step(i, &Tick{At: s.now, InstancesKnownAt: s.knownAt[i]})
			s.tellShares(i)
		}
	}
	for _, cut := range []bool{false, true} {
		news := s.newTerms(cut)
		for to := range s.fleet {
			if len(news) > 0 && s.cut[to] == cut && !s.frozen[to] {
				s.step(to, &TermsReceived{At: s.now, Terms: news})
			}
		}
	}
}

// tellShares sends an instance's new statements to the others on its side of a cut. They arrive
// late, and out of order.
func (s *termsSim) tellShares(from int) {
	for _, t := range s.fleet[from].LimitShares(s.now) {
		key := statementKey{t.Instance, t.Incarnation}
		if s.stated[key] == t.Number {
			continue
		}
		s.stated[key] = t.Number
		s.statements++
		cut := s.cut[from]
		for to := range s.fleet {
			if to != from && s.cut[to] == cut {
				s.after(time.Duration(s.random.Int64N(int64(s.tellDelay))), func() { s.tellShare(to, cut, t) })
			}
		}
	}
}

func (s *termsSim) tellShare(to int, cut bool, t membership.LimitShare) {
	if s.frozen[to] {
		s.after(gossipInterval, func() { s.tellShare(to, cut, t) })
		return
	}
	if s.cut[to] == cut {
		s.step(to, &LimitSharesReceived{At: s.now, Shares: []membership.LimitShare{t}})
	}
}

// newTerms returns the terms that instances on one side of a cut know and have not exchanged.
func (s *termsSim) newTerms(cut bool) []membership.ServerTerms {
	latest := map[string]membership.ServerTerms{}
	for from, d := range s.fleet {
		if s.cut[from] != cut || s.frozen[from] {
			continue
		}
		for _, t := range d.Terms(s.now) {
			if known, ok := latest[t.Incarnation]; !ok || t.At > known.At {
				latest[t.Incarnation] = t
			}
		}
	}
	var news []membership.ServerTerms
	for incarnation, t := range latest {
		key := exchangeKey{cut, incarnation}
		known, ok := s.exchanged[key]
		if ok && t.Terms == known.Terms && t.At.Sub(known.At) < 2*time.Second {
			continue
		}
		s.exchanged[key] = t
		news = append(news, t)
	}
	return news
}

func (s *termsSim) arrive() {
	i := s.callers[s.random.IntN(len(s.callers))]
	if s.callersChange > 0 {
		for i = int(s.now.Sub(start)/s.callersChange) * 5 % len(s.fleet); s.frozen[i] || s.cut[i]; {
			i = (i + 1) % len(s.fleet)
		}
	}
	if s.frozen[i] || i >= s.listed {
		return
	}
	s.lastID++
	path := "/browse/x"
	if s.lastID%2 == 0 && len(s.fleet[i].config.Routes) > 1 {
		path = "/order/x"
	}
	if s.pathAt != nil {
		path = s.pathAt(i)
	}
	s.step(i, &RequestArrived{At: s.now, Request: s.lastID, Host: "shop.example", Path: path, Affinity: fmt.Sprint(s.random.IntN(300)), CallerTimeout: 3 * time.Second})
}

// most returns the largest number of requests in limitPeriod, from a time on, that came from
// instances that the server had told of its limit.
func (s *termsSim) most(server model.BackendName, from model.Instant) int {
	var counted []model.Instant
	for _, a := range s.arrivals[server] {
		told, ok := s.told[toldKey{a.instance, server}]
		if ok && a.at >= from && a.at.Sub(told) >= toldDelay {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) >= limitPeriod {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (s *termsSim) since(server model.BackendName, from model.Instant) int {
	n := 0
	for _, a := range s.arrivals[server] {
		if a.at >= from {
			n++
		}
	}
	return n
}

func allowed(limit float64) int { return int(1.5*limit*limitPeriod.Seconds() + 5) }

func (s *termsSim) busiest() model.BackendName {
	return slices.MaxFunc(s.servers, func(a, b model.BackendName) int { return len(s.arrivals[a]) - len(s.arrivals[b]) })
}

// relist changes the number of listed instances, of which each learns within seven seconds.
func (s *termsSim) relist(listed int) {
	s.listed = listed
	for i := range s.fleet {
		s.after(time.Duration(s.random.Int64N(int64(7*time.Second))), func() {
			s.step(i, &InstancesCounted{At: s.now, Instances: listed, Members: fleetMembers(listed), RegionShare: 0.5})
		})
	}
}

// restarted returns an instance that has read the tables and knows nothing else.
func restarted(s *termsSim, old *Dispatcher) *Dispatcher { return joined(s, old, len(s.fleet)) }

// joined is restarted for an instance whose list holds the first ones only.
func joined(s *termsSim, old *Dispatcher, listed int) *Dispatcher {
	settings := old.settings
	settings.StartedAt = s.now
	d := New(settings)
	d.Step(&InstancesCounted{At: s.now, Instances: listed, Members: fleetMembers(listed), RegionShare: 0.5})
	d.Step(&CatalogChanged{At: s.now, Change: &catalog.ConfigurationChange{Configuration: old.config}})
	for _, id := range s.servers {
		d.Step(&CatalogChanged{At: s.now, Change: &catalog.ServerChange{Server: old.servers[id].entry}})
	}
	return d
}

// list lists an entry at every instance.
func (s *termsSim) list(entry catalog.Server) {
	for i := range s.fleet {
		s.step(i, &CatalogChanged{At: s.now, Change: &catalog.ServerChange{Server: entry}})
	}
}
