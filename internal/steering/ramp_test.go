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
	s := &rampSimulation{
		t: t, now: testNow, planner: newTestPlanner(text), view: testView(text), slots: slots, lag: lag,
		ends:    map[model.RequestID]model.Instant{},
		choices: map[model.RequestID]Choice{},
		metas:   map[model.RequestID]*model.RequestMeta{},
	}
	policy := admission.Policy{ShiftCap: text.Limits.ShiftCap}
	s.owner = admission.New(policy)
	s.owner.Configure(s.now, policy, []admission.Server{{Name: "web-b", Service: "web", Slots: slots}})
	for _, zone := range []model.ZoneName{"east-a", "north-a", "west-a", "west-b"} {
		s.view.lose(zone)
	}
	s.report()
	return s
}

// report passes the owner's load to the planner with a delay of s.lag.
func (s *rampSimulation) report() {
	s.pending = append(s.pending, s.owner.Loads(s.now)[0])
	if behind := int(s.lag / rampStep); len(s.pending) > behind+1 {
		s.pending = s.pending[1:]
	}
	s.view.set("web", "east-b", s.pending[0])
}

const (
	rampStep = 50 * time.Millisecond
	rampRun  = 200 * time.Millisecond
)

func (s *rampSimulation) step(urgent, normal int) {
	s.now = s.now.Add(rampStep)
	for id := model.RequestID(1); id <= s.next; id++ {
		if end, ok := s.ends[id]; ok && !s.now.Before(end) {
			delete(s.ends, id)
			s.owner.Finish(s.now, id, rampRun, true)
			s.planner.Finished(s.now, s.metas[id], s.choices[id], Transfer{})
		}
	}
	for range normal {
		s.send(model.Normal)
	}
	for range urgent {
		s.send(model.Urgent)
	}
	s.report()
}

func (s *rampSimulation) send(rank model.Rank) {
	s.next++
	m := testRequest(rank)
	m.Deadline = s.now.Add(time.Second)
	c := s.planner.Choose(s.now, m, []model.ZoneName{"east-a"}, s.view, nil)
	if !c.OK() {
		s.refused[rank]++
		return
	}
	require.True(s.t, c.Spill)
	s.planner.Sent(s.now, m, c)
	if cause := s.owner.Offer(s.now, admission.Request{ID: s.next, Meta: m, Spill: true}); cause != model.CauseNone {
		s.planner.Finished(s.now, m, c, Transfer{})
		s.planner.Observe(s.now, Observation{Service: "web", Rank: rank, Zone: c.Zone, Owner: c.Owner, Outcome: model.NotRun, Cause: cause})
		s.refused[rank]++
		return
	}
	s.metas[s.next], s.choices[s.next] = m, c
	var d admission.Decisions
	s.owner.Next(s.now, &d)
	for _, start := range d.Start {
		s.ends[start.ID] = s.now.Add(rampRun)
	}
	s.served[rank]++
}

// TestSpillRampOpensOnDemand guards against a ramp that never opens because the
// planner sends no more than the owner reports that it admits. The spill level must
// rise at the rate of the shift cap until it meets the demand, for small and large
// owners and with load reports that lag.
func TestSpillRampOpensOnDemand(t *testing.T) {
	for _, slots := range []int{4, 40} {
		for _, lag := range []time.Duration{0, 500 * time.Millisecond} {
			s := newRampSimulation(t, slots, lag)
			moveTime := testText().Limits.ShiftCap.MoveTime()
			for i := 0; s.now.Sub(testNow) < moveTime; i++ {
				s.step(0, i%2) // on average two slots in use
			}
			s.refused, s.served = [model.RankCount]int{}, [model.RankCount]int{}
			for i := range 400 {
				s.step(0, i%2)
			}
			require.Greater(t, s.served[model.Normal], 150, "requests served of 200, with %d slots and load reports %v late", slots, lag)
		}
	}
}

// TestSpillServesUrgentRankFirst checks that admitted spill is reserved for urgent
// requests while the ramp still refuses some of them.
func TestSpillServesUrgentRankFirst(t *testing.T) {
	s := newRampSimulation(t, 40, 0)
	window := testText().Limits.ShiftCap.Window
	for s.now.Sub(testNow) < 2*window {
		s.step(3, 9)
	}
	share := float64(s.served[model.Normal]) / float64(s.served[model.Normal]+s.served[model.Urgent])
	require.Positive(t, s.refused[model.Urgent], "the spill level must still be below the urgent demand")
	require.Less(t, share, 0.05, "%d normal and %d urgent requests were admitted", s.served[model.Normal], s.served[model.Urgent])
}
