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

// simulation configures a simulated load: a Controller gets Poisson arrivals in
// each rank.
type simulation struct {
	seed        uint64
	servers     int
	slots       int
	load        [model.RankCount]float64 // offered, as a share of capacity
	exponential bool
	length      time.Duration
	deadline    time.Duration
}

// rankResult counts the outcomes of the requests of one rank.
type rankResult struct {
	offered, inTime, late, refused int
	latencies                      []time.Duration
	slotTime, usefulTime           float64
}

func (s rankResult) p99() time.Duration {
	slices.Sort(s.latencies)
	if len(s.latencies) == 0 {
		return 0
	}
	return s.latencies[len(s.latencies)*99/100]
}

func (s rankResult) inTimeShare() float64 { return float64(s.inTime) / float64(max(1, s.offered)) }

type event struct {
	at        model.Instant
	id        model.RequestID
	rank      model.Rank
	run       time.Duration
	completes bool
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].id < q[j].id
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

type simulator struct {
	simulation
	events    eventQueue
	pending   map[model.RequestID]event
	results   [model.RankCount]rankResult
	ctrl      *Controller
	random    *rand.Rand
	warmupEnd model.Instant
	nextID    model.RequestID
	decisions Decisions
}

var simulatedCallerGroups = []model.CallerGroupName{"bavaria", "tyrol", "bahia", "sertao", "agreste"}

var simulatedFloors = [model.RankCount]float64{0.6, 0.25, 0.15}

func (s simulation) run() [model.RankCount]rankResult {
	p := Policy{Floors: simulatedFloors, ShiftCap: config.ShiftCap{Fraction: 0.1, Window: 30 * time.Second}}
	sim := &simulator{
		simulation: s, pending: map[model.RequestID]event{}, ctrl: New(p),
		random: rand.New(rand.NewPCG(s.seed, 1)),
	}
	start := model.Instant(time.Hour)
	sim.warmupEnd = start.Add(s.length / 10)
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
		next := heap.Pop(&sim.events).(event)
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
	heap.Push(&sim.events, event{at: now.Add(gap), id: sim.nextID, rank: rank, run: run})
}

func (sim *simulator) handle(ev event) {
	if ev.completes {
		sim.ctrl.Finish(ev.at, ev.id, ev.run, true)
	} else {
		sim.schedule(ev.at, ev.rank)
		sim.offer(ev)
	}
	sim.ctrl.Next(ev.at, &sim.decisions)
	for _, start := range sim.decisions.Start {
		sim.start(ev.at, start)
	}
	for _, refuse := range sim.decisions.Refuse {
		sim.refuse(sim.pending[refuse.ID])
	}
}

func (sim *simulator) offer(ev event) {
	meta := &model.RequestMeta{
		Service: "maps", Rank: ev.rank, Deadline: ev.at.Add(sim.deadline),
		Route: model.RouteName(ev.rank.String()), CallerGroup: simulatedCallerGroups[ev.id%model.RequestID(len(simulatedCallerGroups))],
	}
	if sim.measured(ev) {
		sim.results[ev.rank].offered++
	}
	sim.pending[ev.id] = ev
	if sim.ctrl.Offer(ev.at, Request{ID: ev.id, Meta: meta}) != model.CauseNone {
		sim.refuse(ev)
	}
}

func (sim *simulator) measured(ev event) bool { return ev.at >= sim.warmupEnd }

func (sim *simulator) refuse(ev event) {
	delete(sim.pending, ev.id)
	if sim.measured(ev) {
		sim.results[ev.rank].refused++
	}
}

func (sim *simulator) start(now model.Instant, start Start) {
	ev := sim.pending[start.ID]
	delete(sim.pending, start.ID)
	end := now.Add(ev.run)
	heap.Push(&sim.events, event{at: end, id: ev.id, rank: ev.rank, run: ev.run, completes: true})
	if !sim.measured(ev) {
		return
	}
	result := &sim.results[ev.rank]
	latency := end.Sub(ev.at)
	result.latencies = append(result.latencies, latency)
	result.slotTime += float64(ev.run)
	if latency > sim.deadline {
		result.late++
		return
	}
	result.inTime++
	result.usefulTime += float64(ev.run)
}

// capacity returns the slot time available in the measured part of the simulation.
func (s simulation) capacity() float64 {
	return float64(s.servers*s.slots) * float64(s.length) * 0.9
}

// goodput returns the share of the capacity that was spent on requests served in
// time.
func (s simulation) goodput(results [model.RankCount]rankResult) float64 {
	useful := 0.0
	for _, result := range results {
		useful += result.usefulTime
	}
	return useful / s.capacity()
}
