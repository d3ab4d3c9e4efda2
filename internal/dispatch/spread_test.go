package dispatch

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

const (
	slowRunFactor    = 7
	slowServerFactor = 2.5
	speedPeriod      = 600 * time.Millisecond
)

// unevenKind is a kind of request with the servers of its service. A region with a third of
// the callers has a tenth of the servers.
type unevenKind struct {
	name                         string
	instances, servers, slots    int
	queueCap, cacheSize, objects int
	rate                         float64
	run, objective, timeout      time.Duration
	slowRuns, slowServers        float64
}

// The four kinds of a deployment of 28 instances, and one of a deployment of 128 instances
// whose servers' speed changes. Rate, run time and objects of the latter are assumed.
var unevenKinds = []unevenKind{
	{name: "first", instances: 28, servers: 58, slots: 6, queueCap: 18, cacheSize: 48, objects: 221, rate: 888, run: 480 * time.Millisecond, objective: 400 * time.Millisecond, timeout: 2500 * time.Millisecond},
	{name: "second", instances: 28, servers: 28, slots: 6, queueCap: 18, cacheSize: 37, objects: 83, rate: 333, run: 640 * time.Millisecond, objective: 500 * time.Millisecond, timeout: 3 * time.Second},
	{name: "third", instances: 28, servers: 72, slots: 6, queueCap: 18, cacheSize: 19, objects: 110, rate: 444, run: 1200 * time.Millisecond, objective: 800 * time.Millisecond, timeout: 6 * time.Second},
	{name: "fourth", instances: 28, servers: 42, slots: 6, queueCap: 18, cacheSize: 12, objects: 41, rate: 165, run: 1920 * time.Millisecond, objective: 2500 * time.Millisecond, timeout: 10 * time.Second},
	{name: "speeds", instances: 128, servers: 204, slots: 3, queueCap: 9, cacheSize: 21, objects: 357, rate: 700, run: 880 * time.Millisecond, objective: 800 * time.Millisecond, timeout: 4 * time.Second, slowRuns: 0.03, slowServers: 0.15},
}

var unevenZones = []model.ZoneName{"north-a", "north-b", "south-a", "south-b", "west-a", "west-b"}

// newUnevenSimulation returns a simulation of one kind. change adapts the settings of each
// instance.
func newUnevenSimulation(k unevenKind, seed uint64, change func(*Settings)) *simulation {
	route := testRoute()
	route.Timeout, route.Objective = k.timeout, k.objective
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 2)),
		servers: map[model.BackendName]*simServer{},
		now:     start,
		inTime:  map[time.Duration]int{},
		arrived: map[time.Duration]int{},
		moved:   map[int64][2]int{},
		load: simLoad{
			route: route, slots: k.slots, queueCap: k.queueCap, cacheSize: k.cacheSize, runTime: k.run, slowRuns: k.slowRuns, slowServers: k.slowServers,
			keyOf: func(s *simulation, _ model.RegionName) string { return fmt.Sprint(s.random.IntN(k.objects)) },
		},
	}
	inRegion := map[model.ZoneName]model.RegionName{}
	for i, zone := range unevenZones {
		inRegion[zone] = []model.RegionName{"north", "south", "west"}[i/2]
	}
	var members []pacing.Member
	for i := range k.instances {
		members = append(members, pacing.Member{ID: model.InstanceID(fmt.Sprint("edge-", i)), Region: inRegion[unevenZones[i%6]], Weight: 1})
	}
	for _, m := range members {
		settings := testSettings(m.Region)
		settings.Self, settings.Regions = m.ID, inRegion
		change(&settings)
		d := New(settings)
		d.Step(&InstancesCounted{At: start, Instances: k.instances, Members: members, RegionShare: 1.0 / 3})
		d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: configuration(1, route)}})
		s.instances = append(s.instances, d)
	}
	for i := range k.servers {
		zone := unevenZones[2+i%4]
		if i < k.servers/10 {
			zone = unevenZones[i%2]
		}
		entry := testServer(fmt.Sprint("shop-", i), zone, "shop")
		entry.Slots = k.slots
		server := &simServer{entry: entry, taken: map[time.Duration]int{}}
		s.servers[entry.ID] = server
		s.order = append(s.order, server)
		for _, d := range s.instances {
			d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: entry}})
		}
	}
	s.tick()
	if k.slowServers > 0 {
		s.changeSpeeds()
	}
	return s
}

func (s *simulation) tick() {
	for _, d := range s.instances {
		for _, f := range d.Step(&Tick{At: s.now, InstancesKnownAt: s.now}) {
			if p, ok := f.(*Probe); ok {
				s.schedule(time.Millisecond, func() {
					d.Step(&ServerProbed{At: s.now, Server: p.Server.ID, Healthy: true, Reached: true})
				})
			}
		}
	}
	if s.ended == 0 || s.now < s.ended {
		s.schedule(500*time.Millisecond, s.tick)
	}
}

// changeSpeeds makes another part of the servers slow.
func (s *simulation) changeSpeeds() {
	for _, v := range s.order {
		v.factor = 1
		if s.random.Float64() < s.load.slowServers {
			v.factor = slowServerFactor
		}
	}
	if s.ended == 0 || s.now < s.ended {
		s.schedule(speedPeriod, s.changeSpeeds)
	}
}

// busiest returns the number of requests of the busiest server as a multiple of the mean.
func (s *simulation) busiest(from, to time.Duration) float64 {
	most, all := 0, 0
	for _, v := range s.servers {
		n := 0
		for w := from / window; w < to/window; w++ {
			n += v.taken[w]
		}
		most, all = max(most, n), all+n
	}
	return float64(most) * float64(len(s.servers)) / float64(max(1, all))
}

func (s *simulation) cachedPairs() float64 {
	pairs := 0
	for _, v := range s.servers {
		pairs += len(v.cached)
	}
	return float64(pairs)
}

const replayLength = 50 * time.Second

// replayLoad is a load that a kind is played with. It changes from 20 s to 30 s.
type replayLoad struct {
	name string
	rate func(since time.Duration) float64
	hot  float64 // share of the requests that are about one object while it has changed
}

var replayLoads = []replayLoad{
	{name: "calm", rate: func(time.Duration) float64 { return 1 }},
	{name: "popular", rate: func(time.Duration) float64 { return 1 }, hot: 0.1},
	{name: "hot", rate: func(time.Duration) float64 { return 1 }, hot: 0.3},
	{name: "flood", rate: func(since time.Duration) float64 {
		if disturbed(since) {
			return 4
		}
		return 1
	}},
	{name: "short", rate: func(time.Duration) float64 { return 2 }},
}

func disturbed(since time.Duration) bool { return since > 20*time.Second && since < 30*time.Second }

// outcome is what a replay gave.
type outcome struct {
	busiest float64 // requests of the busiest server as a multiple of the mean, without the start
	// inTime are the shares of the requests in time: at the start, before, during and after the
	// change, and of all.
	inTime [5]float64
	shift  float64 // largest change of a region's share of requests that leave it, without the start
	pairs  float64 // servers that have an object warm, on average
}

func replay(k unevenKind, load replayLoad, seed uint64, change func(*Settings)) outcome {
	s := newUnevenSimulation(k, seed, change)
	s.playReplay(k, load.hot, load.rate)
	const calm, changed, over = 4 * time.Second, 20 * time.Second, 30 * time.Second
	return outcome{
		busiest: s.busiest(calm, replayLength),
		inTime: [...]float64{
			s.inTimeShare(0, calm), s.inTimeShare(calm, changed), s.inTimeShare(changed, over), s.inTimeShare(over, replayLength), s.inTimeShare(0, replayLength),
		},
		shift: s.largestShift(calm, replayLength),
		pairs: s.cachedPairs() / float64(k.objects),
	}
}

func (o outcome) String() string {
	t := o.inTime
	return fmt.Sprintf("busiest %.2f, in time: start %.3f, before %.3f, during %.3f, after %.3f, all %.4f, servers per object %.1f, shift %.2f", o.busiest, t[0], t[1], t[2], t[3], t[4], o.pairs, o.shift)
}

func unspread(*Settings) {}

func spread(s *Settings) { s.SpreadObjects = true }

// meanOutcome returns the means of eight replays, and the largest shift of any.
func meanOutcome(k unevenKind, load replayLoad, change func(*Settings)) outcome {
	const seeds = 8
	var mean outcome
	for seed := range uint64(seeds) {
		o := replay(k, load, 10+seed, change)
		mean.busiest += o.busiest / seeds
		mean.pairs += o.pairs / seeds
		mean.shift = max(mean.shift, o.shift)
		for i := range o.inTime {
			mean.inTime[i] += o.inTime[i] / seeds
		}
	}
	return mean
}

// TestPrintReplays logs the figures of docs/design/placement.md.
func TestPrintReplays(t *testing.T) {
	if os.Getenv("REPLAYS") == "" {
		t.Skip("set REPLAYS to a regular expression of the names")
	}
	wanted := regexp.MustCompile(os.Getenv("REPLAYS"))
	for _, load := range replayLoads {
		for _, k := range unevenKinds {
			name := load.name + " " + k.name
			if !wanted.MatchString(name) {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				t.Logf("%-15s today:  %s", name, meanOutcome(k, load, unspread))
				t.Logf("%-15s spread: %s", name, meanOutcome(k, load, spread))
			})
		}
	}
}

// TestSpreadEvensOutCalmLoad guards against servers that get twice the mean of the requests
// because they are by chance the first candidates of many objects.
func TestSpreadEvensOutCalmLoad(t *testing.T) {
	t.Parallel()
	for _, k := range unevenKinds[:4] {
		today, now := replay(k, replayLoads[0], 2, unspread), replay(k, replayLoads[0], 2, spread)
		require.Greater(t, today.busiest, 1.5, "%s: the load is not as described", k.name)
		require.Less(t, now.busiest, 1.5, "%s: %s", k.name, now)
		// After 30 s, 3,000 to 18,000 requests have arrived.
		require.GreaterOrEqual(t, now.inTime[3], today.inTime[3]-0.001, k.name)
	}
}

// TestSpreadHelpsRegionShortOfServers guards against servers of a short region, and of its
// neighbours, that are late at twice the rate while others have room.
func TestSpreadHelpsRegionShortOfServers(t *testing.T) {
	t.Parallel()
	for _, k := range unevenKinds[2:4] {
		today, now := replay(k, replayLoads[4], 2, unspread), replay(k, replayLoads[4], 2, spread)
		require.Greater(t, now.inTime[2], today.inTime[2]+0.03, "%s: %s", k.name, now)
		require.LessOrEqual(t, now.shift, 0.15, k.name)
	}
}

// TestSpreadKeepsFloodInTime guards against warming further servers while a flood leaves no room.
func TestSpreadKeepsFloodInTime(t *testing.T) {
	t.Parallel()
	for _, k := range unevenKinds[1:4] {
		today, now := replay(k, replayLoads[3], 2, unspread), replay(k, replayLoads[3], 2, spread)
		require.Greater(t, now.inTime[2], today.inTime[2]-0.03, "%s: %s", k.name, now)
		require.Greater(t, now.inTime[3], today.inTime[3]-0.02, "%s: %s", k.name, now)
	}
}

// TestSpreadHelpsChangingSpeeds guards against more late requests where speeds change faster
// than an instance hears of them, at each size of the fleet.
func TestSpreadHelpsChangingSpeeds(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{7, 128, 300} {
		k := unevenKinds[4]
		k.instances = instances
		today, now := replay(k, replayLoads[0], 2, unspread), replay(k, replayLoads[0], 2, spread)
		require.Greater(t, now.inTime[3], today.inTime[3], "%d instances: %s", instances, now)
		require.Less(t, now.busiest, today.busiest, "%d instances: %s", instances, now)
	}
}

// TestThirdServerOnlyWhereObjectsAreFew guards against a mean share of objects that instances
// estimate differently: each of them would warm a third server for its requests. A service whose
// instances see few requests, and one with some more objects than servers, must not get one.
func TestThirdServerOnlyWhereObjectsAreFew(t *testing.T) {
	t.Parallel()
	for _, k := range unevenKinds {
		s := newUnevenSimulation(k, 3, spread)
		s.playReplay(k, 0, replayLoads[0].rate)
		third := 0
		for _, d := range s.instances {
			if d.service("shop").runTimesOf(&d.config.Routes[0]).thirdServer {
				third++
			}
		}
		if k.name == "fourth" {
			require.Equal(t, k.instances, third)
		} else {
			require.Zero(t, third, k.name)
		}
	}
}

// TestBusiestServerRatio guards against hot spots that operators cannot see.
func TestBusiestServerRatio(t *testing.T) {
	t.Parallel()
	for _, change := range []func(*Settings){unspread, spread} {
		s := newUnevenSimulation(unevenKinds[0], 3, change)
		s.playReplay(unevenKinds[0], 0, replayLoads[0].rate)
		shown := 0.0
		for _, d := range s.instances {
			shown += d.BusiestServerRatio() / float64(len(s.instances))
		}
		require.InDelta(t, s.busiest(4*time.Second, replayLength), shown, 0.5)
		require.Equal(t, s.instances[0].settings.SpreadObjects, s.instances[0].SpreadRequests()[MinSpread] > 0)
	}
}

// TestPopularObjectGetsMoreServers guards against an object that takes the load of many servers
// and is left with two, and against counting it in the mean share of the other objects.
func TestPopularObjectGetsMoreServers(t *testing.T) {
	t.Parallel()
	k := unevenKinds[1]
	s := newUnevenSimulation(k, 3, spread)
	s.playReplay(k, 0.3, replayLoads[0].rate)
	warm := 0
	for _, server := range s.servers {
		if slices.Contains(server.cached, "hot") {
			warm++
		}
	}
	require.Greater(t, warm, 7, "servers of the popular object")
	require.Less(t, s.cachedPairs()/float64(k.objects), 5.0, "servers of each object")
}

// TestSpreadHelpsPopularObject guards against an object that becomes popular and fills the
// queue of its first candidate while other servers that have it warm are idle.
func TestSpreadHelpsPopularObject(t *testing.T) {
	t.Parallel()
	today, now := replay(unevenKinds[2], replayLoads[1], 2, unspread), replay(unevenKinds[2], replayLoads[1], 2, spread)
	require.Greater(t, now.inTime[2], today.inTime[2]+0.02, "%s", now)
}

func (s *simulation) playReplay(k unevenKind, hot float64, rate func(time.Duration) float64) {
	usual := s.load.keyOf
	s.load.keyOf = func(s *simulation, region model.RegionName) string {
		if hot > 0 && disturbed(s.now.Sub(start)) && s.random.Float64() < hot {
			return "hot"
		}
		return usual(s, region)
	}
	s.simulate(replayLength, func(since time.Duration) float64 { return k.rate * rate(since) })
}

// BenchmarkRequest measures the arrival and the end of a request.
func BenchmarkRequest(b *testing.B) {
	for _, spreads := range []bool{false, true} {
		b.Run(fmt.Sprint("spread=", spreads), func(b *testing.B) {
			d := unevenDispatcher(22, 210)
			d.settings.SpreadObjects = spreads
			keys := make([]string, 357)
			for i := range keys {
				keys[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id, now := model.RequestID(i+1), at(time.Duration(i)*time.Millisecond)
				if send, ok := arrive(d, now, id, keys[i%len(keys)]).(*Send); ok {
					d.Step(&AttemptEnded{At: now, Request: id, Attempt: send.Attempt, Result: event.AttemptComplete, Report: ServerReport{HasLoad: true, Running: 1, TimeFactor: 1}})
				}
				d.Step(&RequestEnded{At: now, Request: id})
			}
		})
	}
}

// TestSlowServerCountsAsFullerForAMoment guards against sending on to a server that reports that
// it is slow, and against avoiding it after its speed has changed again.
func TestSlowServerCountsAsFullerForAMoment(t *testing.T) {
	d := New(testSettings("north"))
	d.settings.SpreadObjects = true
	d.Step(&InstancesCounted{At: start, Instances: 1, RegionShare: 1})
	d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: configuration(1, testRoute())}})
	listServer(d, "n-0", "north-a")
	listServer(d, "n-1", "north-a")
	for _, s := range d.servers {
		s.applyReport(start, start, &ServerReport{HasLoad: true, TimeFactor: 1}, 0)
	}
	d.servers["n-0"].applyReport(start, start, &ServerReport{HasLoad: true, TimeFactor: slowServerFactor}, 0)
	used := func(now model.Instant) int {
		n := 0
		for i := range 100 {
			id := model.RequestID(now) + model.RequestID(i)
			if requireSend(t, arrive(d, now, id, fmt.Sprint(i))).Server.ID == "n-0" {
				n++
			}
			d.Step(&RequestEnded{At: now, Request: id})
		}
		return n
	}
	require.Zero(t, used(at(100*time.Millisecond)))
	require.InDelta(t, 50, used(at(2*time.Second)), 20)
}
