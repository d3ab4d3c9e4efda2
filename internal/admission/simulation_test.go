package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const simulatedRun = 100 * time.Millisecond

// simulation drives a Controller with Poisson arrivals by rank.
type simulation struct {
	seed        uint64
	servers     int
	slots       int
	load        [model.RankCount]float64 // offered, as a share of capacity
	exponential bool
	length      time.Duration
	deadline    time.Duration
}

// simulated is what became of one rank.
type simulated struct {
	offered, inTime, late, refused int
	latencies                      []time.Duration
	slotTime, usefulTime           float64
}

func (s simulated) p99() time.Duration {
	slices.Sort(s.latencies)
	if len(s.latencies) == 0 {
		return 0
	}
	return s.latencies[len(s.latencies)*99/100]
}

func (s simulated) inTimeShare() float64 { return float64(s.inTime) / float64(max(1, s.offered)) }

type arrival struct {
	at   model.Instant
	id   model.RequestID
	rank model.Rank
	run  time.Duration
	end  bool
}

type agenda []arrival

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].id < a[j].id
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(arrival)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

type simulator struct {
	simulation
	agenda   agenda
	pending  map[model.RequestID]arrival
	results  [model.RankCount]simulated
	ctrl     *Controller
	random   *rand.Rand
	warm     model.Instant
	nextID   model.RequestID
	starting Decisions
}

var simulatedBlocks = []model.CallerBlock{"bavaria", "tyrol", "bahia", "sertao", "agreste"}

var simulatedFloors = [model.RankCount]float64{0.6, 0.25, 0.15}

func (s simulation) run() [model.RankCount]simulated {
	p := Policy{Floors: simulatedFloors, ShiftCap: config.ShiftCap{Fraction: 0.1, Window: 30 * time.Second}}
	sim := &simulator{
		simulation: s, pending: map[model.RequestID]arrival{}, ctrl: New(p),
		random: rand.New(rand.NewPCG(s.seed, 1)),
	}
	start := model.Instant(time.Hour)
	sim.warm = start.Add(s.length / 10)
	var owned []Server
	for i := range s.servers {
		owned = append(owned, Server{Name: model.BackendName(fmt.Sprintf("s%02d", i)), Service: "maps", Slots: s.slots})
	}
	sim.ctrl.Configure(start, p, owned)
	for rank := range sim.load {
		sim.schedule(start, model.Rank(rank))
	}
	end := start.Add(s.length)
	for now := start; now < end; {
		next := heap.Pop(&sim.agenda).(arrival)
		now = next.at
		sim.handle(next)
	}
	return sim.results
}

func (sim *simulator) schedule(now model.Instant, rank model.Rank) {
	if sim.load[rank] == 0 {
		return
	}
	rate := sim.load[rank] * float64(sim.servers*sim.slots) / float64(simulatedRun)
	sim.nextID++
	run := simulatedRun
	if sim.exponential {
		run = time.Duration(sim.random.ExpFloat64() * float64(simulatedRun))
	}
	gap := time.Duration(sim.random.ExpFloat64() / rate)
	heap.Push(&sim.agenda, arrival{at: now.Add(gap), id: sim.nextID, rank: rank, run: run})
}

func (sim *simulator) handle(a arrival) {
	if a.end {
		sim.ctrl.Finish(a.at, a.id, a.run, true)
	} else {
		sim.schedule(a.at, a.rank)
		sim.offer(a)
	}
	sim.ctrl.Next(a.at, &sim.starting)
	for _, start := range sim.starting.Start {
		sim.start(a.at, start)
	}
	for _, refuse := range sim.starting.Refuse {
		sim.refuse(sim.pending[refuse.ID])
	}
}

func (sim *simulator) offer(a arrival) {
	meta := &model.RequestMeta{
		Service: "maps", Rank: a.rank, Deadline: a.at.Add(sim.deadline),
		Route: model.RouteName(a.rank.String()), Block: simulatedBlocks[a.id%model.RequestID(len(simulatedBlocks))],
	}
	if sim.counts(a) {
		sim.results[a.rank].offered++
	}
	sim.pending[a.id] = a
	if sim.ctrl.Offer(a.at, Request{ID: a.id, Meta: meta}) != model.CauseNone {
		sim.refuse(a)
	}
}

func (sim *simulator) counts(a arrival) bool { return a.at >= sim.warm }

func (sim *simulator) refuse(a arrival) {
	delete(sim.pending, a.id)
	if sim.counts(a) {
		sim.results[a.rank].refused++
	}
}

func (sim *simulator) start(now model.Instant, start Start) {
	a := sim.pending[start.ID]
	delete(sim.pending, start.ID)
	end := now.Add(a.run)
	heap.Push(&sim.agenda, arrival{at: end, id: a.id, rank: a.rank, run: a.run, end: true})
	if !sim.counts(a) {
		return
	}
	result := &sim.results[a.rank]
	latency := end.Sub(a.at)
	result.latencies = append(result.latencies, latency)
	result.slotTime += float64(a.run)
	if latency > sim.deadline {
		result.late++
		return
	}
	result.inTime++
	result.usefulTime += float64(a.run)
}

// capacity is the slot time of the measured part.
func (s simulation) capacity() float64 {
	return float64(s.servers*s.slots) * float64(s.length) * 0.9
}

// goodput is the share of capacity that went into requests served in time.
func (s simulation) goodput(results [model.RankCount]simulated) float64 {
	useful := 0.0
	for _, result := range results {
		useful += result.usefulTime
	}
	return useful / s.capacity()
}
