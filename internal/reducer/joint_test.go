package reducer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// jointText has three servers of 6 slots and a cap of 2.7 slots, which is two
// whole ones, in 10 s.
const jointText = `
[zone north-a]
region = north
[zone south-a]
region = south
[service shop]
[route browse]
service = shop
match = GET /*
rank = normal
kind = read
deadline = 2s
[limits]
shift cap = 15% of capacity per 10s
[backend shop-1]
service = shop
zone = north-a
address = 127.0.0.1:21001
slots = 6
[backend shop-2]
service = shop
zone = north-a
address = 127.0.0.1:21002
slots = 6
[backend shop-3]
service = shop
zone = north-a
address = 127.0.0.1:21003
slots = 6
`

const (
	jointSlots    = 6 // of each server
	jointCapSlots = 2 // whole slots in a window
	jointWindow   = 10 * time.Second
	jointStep     = 20 * time.Millisecond
)

// fleetFault is what happens to the servers of a joint run.
type fleetFault int

const (
	faultRefuse fleetFault = iota // connections are refused
	faultSilent                   // attempts time out
	faultBreak                    // connections break
)

// joint plays an owner with simulated servers under a load of baseline and
// spill, and checks after each step what health and admission promise together.
type joint struct {
	t       *rapid.T
	s       *session
	random  *rand.Rand
	fault   fleetFault
	down    bool
	cold    bool
	blind   bool // no probe is answered, not even when the servers are back
	next    model.RequestID
	running map[model.RequestID]jointRun
	inUse   map[model.BackendName]int
	opened  []levelAt // usable slots since the servers came back
	spill   []levelAt
}

type jointRun struct {
	backend model.BackendName
	ends    model.Instant
}

// levelAt is a level and since when it stands.
type levelAt struct {
	at    model.Instant
	level int
}

func newJoint(t *rapid.T, outer testing.TB) *joint {
	j := &joint{
		t:       t,
		s:       newSession(outer, jointText),
		random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		running: map[model.RequestID]jointRun{},
		inUse:   map[model.BackendName]int{},
	}
	j.s.quiet = true
	return j
}

// play offers a request in each step for a while.
func (j *joint) play(length time.Duration, spillShare float64) {
	for end := j.s.now.Add(length); j.s.now.Before(end); {
		j.s.now = j.s.now.Add(jointStep)
		j.finishDue()
		j.apply(&event.Tick{At: j.s.now})
		j.next++
		meta := j.s.meta(j.next, "browse")
		spill := j.random.Float64() < spillShare
		j.apply(&event.OfferReceived{At: j.s.now, Request: j.next, From: "entry-2", Meta: meta, Spill: spill})
		j.check()
	}
}

// apply answers probes only after all effects, which the next step reuses.
func (j *joint) apply(ev event.Event) {
	var probes []model.BackendName
	for _, f := range j.s.step(ev) {
		switch f := f.(type) {
		case *event.Dispatch:
			j.dispatched(f)
		case *event.Probe:
			probes = append(probes, f.Backend)
		}
	}
	for _, name := range probes {
		j.probed(name)
	}
}

func (j *joint) dispatched(f *event.Dispatch) {
	limit := j.s.r.health.Limit(j.s.now, f.Backend)
	j.inUse[f.Backend]++
	if j.inUse[f.Backend] > limit {
		j.t.Fatalf("%s runs %d requests, its limit is %d", f.Backend, j.inUse[f.Backend], limit)
	}
	runs := time.Duration(100+j.random.IntN(550)) * time.Millisecond
	if j.down && j.fault == faultRefuse {
		runs = 0
	}
	j.running[f.Request] = jointRun{f.Backend, j.s.now.Add(runs)}
}

func (j *joint) finishDue() {
	for _, id := range slices.Sorted(maps.Keys(j.running)) {
		run := j.running[id]
		if j.s.now.Before(run.ends) {
			continue
		}
		delete(j.running, id)
		j.inUse[run.backend]--
		j.apply(&event.AttemptFinished{At: j.s.now, Request: id, Backend: run.backend, Result: j.result()})
	}
}

func (j *joint) result() event.AttemptResult {
	if !j.down {
		return event.AttemptComplete
	}
	switch j.fault {
	case faultRefuse:
		return event.AttemptNotSent
	case faultSilent:
		return event.AttemptTimeout
	default:
		return event.AttemptBroken
	}
}

func (j *joint) probed(name model.BackendName) {
	ev := &event.ServerReported{At: j.s.now, Backend: name, Healthy: true, Cold: j.cold, Slots: jointSlots}
	if j.down || j.blind {
		ev = &event.ServerReported{At: j.s.now, Backend: name, Err: fmt.Errorf("probe %s: no answer", name)}
	}
	j.apply(ev)
}

// check looks at the sums over the servers of the zone.
func (j *joint) check() {
	loads := j.s.r.Loads(j.s.now)
	require.Len(j.t, loads, 1)
	load := loads[0]
	require.LessOrEqual(j.t, load.SpillInUse, int(load.SpillLevel))
	for _, n := range j.inUse {
		require.LessOrEqual(j.t, n, jointSlots)
	}
	j.spill = j.note(j.spill, int(load.SpillLevel), "spill level")
	if j.opened != nil {
		j.opened = j.note(j.opened, load.Slots, "usable slots")
	}
}

// note adds a level and checks its rise within the last window.
func (j *joint) note(series []levelAt, level int, what string) []levelAt {
	now := j.s.now
	series = append(series, levelAt{now, level})
	for now.Sub(series[0].at) >= jointWindow {
		series = series[1:]
	}
	for _, before := range series {
		if level-before.level > jointCapSlots {
			j.t.Fatalf("%s rose from %d to %d in %v", what, before.level, level, now.Sub(before.at))
		}
	}
	return series
}

// TestHealthAndAdmissionTogether loses all servers of a zone and brings them back
// cold: no server runs more than its limit, the usable slots open at the cap's
// rate, and so does spill throughout.
func TestHealthAndAdmissionTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		j := newJoint(rt, t)
		spill := j.random.Float64()
		j.play(5*time.Second, spill)
		j.fault = fleetFault(rapid.IntRange(0, 2).Draw(rt, "fault"))
		j.down = true
		j.blind = rapid.Bool().Draw(rt, "blind")
		j.play(time.Duration(rapid.IntRange(8, 20).Draw(rt, "down s"))*time.Second, spill)
		j.down = false
		j.cold = rapid.Bool().Draw(rt, "cold")
		j.opened = []levelAt{{j.s.now, j.s.r.Loads(j.s.now)[0].Slots}}
		j.play(25*time.Second, spill)
	})
}
