package steering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/admission"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// rampSimulation runs a planner against one owner in east-b that uses package
// admission. The other zones are lost or admit no spill, and load reports lag.
type rampSimulation struct {
	t       *testing.T
	now     model.Instant
	planner *Planner
	view    *fakeView
	owner   *admission.Controller // owner in east-b, the receiving zone of the test
	slots   int
	lag     time.Duration

	next    model.RequestID
	ends    map[model.RequestID]model.Instant
	choices map[model.RequestID]Choice
	metas   map[model.RequestID]*model.RequestMeta
	pending []membership.ServiceLoad // oldest first
	served  [model.RankCount]int
	refused [model.RankCount]int
}

func newRampSimulation(t *testing.T, slots int, lag time.Duration) *rampSimulation {
	text := testText()
	f := &rampSimulation{
		t: t, now: testNow, planner: newTestPlanner(text), view: testView(text), slots: slots, lag: lag,
		ends:    map[model.RequestID]model.Instant{},
		choices: map[model.RequestID]Choice{},
		metas:   map[model.RequestID]*model.RequestMeta{},
	}
	policy := admission.Policy{ShiftCap: text.Limits.ShiftCap}
	f.owner = admission.New(policy)
	f.owner.Configure(f.now, policy, []admission.Server{{Name: "web-b", Service: "web", Slots: slots}})
	for _, zone := range []model.ZoneName{"east-a", "north-a", "west-a", "west-b"} {
		f.view.lose(zone)
	}
	f.report()
	return f
}

// report passes the owner's load to the planner with a delay of f.lag.
func (f *rampSimulation) report() {
	f.pending = append(f.pending, f.owner.Loads(f.now)[0])
	if behind := int(f.lag / rampStep); len(f.pending) > behind+1 {
		f.pending = f.pending[1:]
	}
	f.view.set("web", "east-b", f.pending[0])
}

const (
	rampStep = 50 * time.Millisecond
	rampRun  = 200 * time.Millisecond
)

func (f *rampSimulation) step(urgent, normal int) {
	f.now = f.now.Add(rampStep)
	for id := model.RequestID(1); id <= f.next; id++ {
		if end, ok := f.ends[id]; ok && !f.now.Before(end) {
			delete(f.ends, id)
			f.owner.Finish(f.now, id, rampRun, true)
			f.planner.Finished(f.now, f.metas[id], f.choices[id], Transfer{})
		}
	}
	for range normal {
		f.send(model.Normal)
	}
	for range urgent {
		f.send(model.Urgent)
	}
	f.report()
}

func (f *rampSimulation) send(rank model.Rank) {
	f.next++
	m := testRequest(rank)
	m.Deadline = f.now.Add(time.Second)
	c := f.planner.Choose(f.now, m, []model.ZoneName{"east-a"}, f.view, nil)
	if !c.OK() {
		f.refused[rank]++
		return
	}
	require.True(f.t, c.Spill)
	f.planner.Sent(f.now, m, c)
	if cause := f.owner.Offer(f.now, admission.Request{ID: f.next, Meta: m, Spill: true}); cause != model.CauseNone {
		f.planner.Finished(f.now, m, c, Transfer{})
		f.planner.Observe(f.now, Observation{Service: "web", Rank: rank, Zone: c.Zone, Owner: c.Owner, Outcome: model.NotRun, Cause: cause})
		f.refused[rank]++
		return
	}
	f.metas[f.next], f.choices[f.next] = m, c
	var d admission.Decisions
	f.owner.Next(f.now, &d)
	for _, start := range d.Start {
		f.ends[start.ID] = f.now.Add(rampRun)
	}
	f.served[rank]++
}

// TestSpillRampOpensOnDemand guards against a ramp that never opens because the
// planner sends no more than the owner reports to admit. The spill level must rise at
// the rate of the shift cap until it meets the demand, for small and large owners and
// with load reports that lag.
func TestSpillRampOpensOnDemand(t *testing.T) {
	for _, slots := range []int{4, 40} {
		for _, lag := range []time.Duration{0, 500 * time.Millisecond} {
			f := newRampSimulation(t, slots, lag)
			moveTime := testText().Limits.ShiftCap.MoveTime()
			for i := 0; f.now.Sub(testNow) < moveTime; i++ {
				f.step(0, i%2) // on average two slots in use
			}
			f.refused, f.served = [model.RankCount]int{}, [model.RankCount]int{}
			for i := range 400 {
				f.step(0, i%2)
			}
			require.Greater(t, f.served[model.Normal], 150, "of 200, %d slots, lag %v", slots, lag)
		}
	}
}

// TestSpillServesUrgentRankFirst checks that admitted spill is reserved for urgent
// requests while the ramp still refuses some of them.
func TestSpillServesUrgentRankFirst(t *testing.T) {
	f := newRampSimulation(t, 40, 0)
	window := testText().Limits.ShiftCap.Window
	for f.now.Sub(testNow) < 2*window {
		f.step(3, 9)
	}
	share := float64(f.served[model.Normal]) / float64(f.served[model.Normal]+f.served[model.Urgent])
	require.Positive(t, f.refused[model.Urgent], "the spill level must still be below the urgent demand")
	require.Less(t, share, 0.05, "%d normal and %d urgent requests were admitted", f.served[model.Normal], f.served[model.Urgent])
}
