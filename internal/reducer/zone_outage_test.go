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

// outageText defines three servers of 6 slots each and a shift cap of 2.7 slots,
// that is two whole slots, per 10 s.
const outageText = `
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
	outageSlots     = 6 // of each server
	outageCapSlots  = 2 // whole slots per window
	outageCapWindow = 10 * time.Second
	outageStep      = 20 * time.Millisecond
)

// serverFault is the kind of failure of the simulated servers.
type serverFault int

const (
	faultRefuse serverFault = iota // connections are refused
	faultSilent                    // attempts time out
	faultBreak                     // connections break
)

// ownerSimulation runs an owner with simulated servers under a mixed load of
// baseline and spill requests. After each step it checks invariants that health
// and admission guarantee together.
type ownerSimulation struct {
	t          *rapid.T
	s          *session
	random     *rand.Rand
	fault      serverFault
	down       bool
	cold       bool
	probesFail bool // probes fail even after the servers have recovered
	next       model.RequestID
	running    map[model.RequestID]simulatedAttempt
	inUse      map[model.BackendName]int
	usable     []levelAt // usable slots since the servers recovered
	spill      []levelAt
}

type simulatedAttempt struct {
	backend model.BackendName
	ends    model.Instant
}

// levelAt is a level and the time when it was observed.
type levelAt struct {
	at    model.Instant
	level int
}

func newOwnerSimulation(t *rapid.T, outer testing.TB) *ownerSimulation {
	o := &ownerSimulation{
		t:       t,
		s:       newSession(outer, outageText),
		random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		running: map[model.RequestID]simulatedAttempt{},
		inUse:   map[model.BackendName]int{},
	}
	o.s.quiet = true
	return o
}

// simulate runs steps for the given time and offers one request in each.
func (o *ownerSimulation) simulate(length time.Duration, spillShare float64) {
	for end := o.s.now.Add(length); o.s.now.Before(end); {
		o.s.now = o.s.now.Add(outageStep)
		o.finishDue()
		o.apply(&event.Tick{At: o.s.now})
		o.next++
		meta := o.s.meta(o.next, "browse")
		spill := o.random.Float64() < spillShare
		o.apply(&event.OfferReceived{At: o.s.now, Request: o.next, From: "entry-2", Meta: meta, Spill: spill})
		o.check()
	}
}

// apply applies an event and its effects. Probes are answered last, because the
// next step reuses the effects.
func (o *ownerSimulation) apply(ev event.Event) {
	var probes []model.BackendName
	for _, f := range o.s.step(ev) {
		switch f := f.(type) {
		case *event.Dispatch:
			o.dispatched(f)
		case *event.Probe:
			probes = append(probes, f.Backend)
		}
	}
	for _, name := range probes {
		o.probed(name)
	}
}

func (o *ownerSimulation) dispatched(f *event.Dispatch) {
	limit := o.s.r.health.Limit(o.s.now, f.Backend)
	o.inUse[f.Backend]++
	if o.inUse[f.Backend] > limit {
		o.t.Fatalf("%s runs %d requests, its limit is %d", f.Backend, o.inUse[f.Backend], limit)
	}
	runs := time.Duration(100+o.random.IntN(550)) * time.Millisecond
	if o.down && o.fault == faultRefuse {
		runs = 0
	}
	o.running[f.Request] = simulatedAttempt{f.Backend, o.s.now.Add(runs)}
}

func (o *ownerSimulation) finishDue() {
	for _, id := range slices.Sorted(maps.Keys(o.running)) {
		run := o.running[id]
		if o.s.now.Before(run.ends) {
			continue
		}
		delete(o.running, id)
		o.inUse[run.backend]--
		o.apply(&event.AttemptFinished{At: o.s.now, Request: id, Backend: run.backend, Result: o.result()})
	}
}

func (o *ownerSimulation) result() event.AttemptResult {
	if !o.down {
		return event.AttemptComplete
	}
	switch o.fault {
	case faultRefuse:
		return event.AttemptNotSent
	case faultSilent:
		return event.AttemptTimeout
	default:
		return event.AttemptBroken
	}
}

func (o *ownerSimulation) probed(name model.BackendName) {
	ev := &event.ServerReported{At: o.s.now, Backend: name, Healthy: true, Cold: o.cold, Slots: outageSlots}
	if o.down || o.probesFail {
		ev = &event.ServerReported{At: o.s.now, Backend: name, Err: fmt.Errorf("probe %s: no answer", name)}
	}
	o.apply(ev)
}

// check verifies the spill limit, the slots in use of each server, and that neither
// the spill level nor the usable slots rise faster than the shift cap.
func (o *ownerSimulation) check() {
	loads := o.s.r.Loads(o.s.now)
	require.Len(o.t, loads, 1)
	load := loads[0]
	require.LessOrEqual(o.t, load.SpillInUse, int(load.SpillLevel))
	for _, n := range o.inUse {
		require.LessOrEqual(o.t, n, outageSlots)
	}
	o.spill = o.checkRise(o.spill, int(load.SpillLevel), "spill level")
	if o.usable != nil {
		o.usable = o.checkRise(o.usable, load.Slots, "usable slots")
	}
}

// checkRise appends a level and checks that it did not rise by more than
// outageCapSlots within the last window.
func (o *ownerSimulation) checkRise(series []levelAt, level int, what string) []levelAt {
	now := o.s.now
	series = append(series, levelAt{now, level})
	for now.Sub(series[0].at) >= outageCapWindow {
		series = series[1:]
	}
	for _, before := range series {
		if level-before.level > outageCapSlots {
			o.t.Fatalf("%s rose from %d to %d in %v", what, before.level, level, now.Sub(before.at))
		}
	}
	return series
}

// TestLimitsDuringZoneOutage takes down all servers of a zone and brings them back,
// warm or cold. No server may exceed its limit. Neither the usable slots after the
// recovery nor, at any time, the spill level may rise faster than the shift cap.
func TestLimitsDuringZoneOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := newOwnerSimulation(rt, t)
		spill := o.random.Float64()
		o.simulate(5*time.Second, spill)
		o.fault = serverFault(rapid.IntRange(0, 2).Draw(rt, "fault"))
		o.down = true
		o.probesFail = rapid.Bool().Draw(rt, "probes fail")
		o.simulate(time.Duration(rapid.IntRange(8, 20).Draw(rt, "down s"))*time.Second, spill)
		o.down = false
		o.cold = rapid.Bool().Draw(rt, "cold")
		o.usable = []levelAt{{o.s.now, o.s.r.Loads(o.s.now)[0].Slots}}
		o.simulate(25*time.Second, spill)
	})
}
