package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// stateMachine applies random calls to a Controller and tracks the state that
// should result.
type stateMachine struct {
	ctrl      *Controller
	now       model.Instant
	policy    Policy
	owned     map[model.BackendName]Server
	limits    map[model.BackendName]int
	queued    map[model.RequestID]bool
	running   map[model.RequestID]Start
	nextID    model.RequestID
	decisions Decisions
}

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{
		now:     model.Instant(time.Hour),
		owned:   map[model.BackendName]Server{},
		limits:  map[model.BackendName]int{},
		queued:  map[model.RequestID]bool{},
		running: map[model.RequestID]Start{},
		policy: Policy{
			Floors:       [model.RankCount]float64{0.5, 0.3, 0.1},
			ShiftCap:     config.ShiftCap{Fraction: 0.5, Window: time.Second},
			QueuePerSlot: rapid.IntRange(1, 4).Draw(t, "queue"),
		},
	}
	m.ctrl = New(m.policy)
	m.configure(t)
	return m
}

func (m *stateMachine) configure(t *rapid.T) {
	before := m.owned
	m.owned = map[model.BackendName]Server{}
	var list []Server
	for i := range rapid.IntRange(0, 4).Draw(t, "servers") {
		server := Server{
			Name:    model.BackendName(fmt.Sprintf("b%d", i)),
			Service: model.ServiceName(rapid.SampledFrom([]string{"orders", "maps"}).Draw(t, "service")),
			Slots:   rapid.IntRange(1, 3).Draw(t, "slots"),
		}
		if old, ok := before[server.Name]; !ok || m.limits[server.Name] >= old.Slots {
			m.limits[server.Name] = server.Slots
		}
		m.owned[server.Name] = server
		list = append(list, server)
	}
	m.ctrl.Configure(m.now, m.policy, list)
	for name, server := range m.owned {
		require.Equal(t, m.inUse(name), m.ctrl.InUse(name))
		m.limits[name] = min(m.limits[name], server.Slots)
		m.ctrl.SetLimit(m.now, name, m.limits[name])
	}
}

func (m *stateMachine) offer(t *rapid.T) {
	m.nextID++
	meta := &model.RequestMeta{
		Service:     model.ServiceName(rapid.SampledFrom([]string{"orders", "maps", "other"}).Draw(t, "service")),
		Rank:        model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
		CallerGroup: model.CallerGroupName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller group")),
		Deadline:    m.now.Add(time.Duration(rapid.IntRange(-1, 2000).Draw(t, "deadline")) * time.Millisecond),
	}
	offered := Request{ID: m.nextID, Meta: meta, Spill: rapid.Bool().Draw(t, "spill")}
	if m.ctrl.Offer(m.now, offered) == model.CauseNone {
		m.queued[m.nextID] = true
	}
}

func (m *stateMachine) anyRequest(t *rapid.T) model.RequestID {
	return model.RequestID(rapid.Uint64Range(1, uint64(m.nextID)+1).Draw(t, "id"))
}

func (m *stateMachine) next(t *rapid.T) {
	m.ctrl.Next(m.now, &m.decisions)
	for _, refuse := range m.decisions.Refuse {
		require.True(t, m.queued[refuse.ID], "refused request %d was not queued", refuse.ID)
		delete(m.queued, refuse.ID)
	}
	for _, start := range m.decisions.Start {
		require.True(t, m.queued[start.ID], "started request %d was not queued", start.ID)
		delete(m.queued, start.ID)
		m.running[start.ID] = start
		require.LessOrEqual(t, m.inUse(start.Backend), min(m.limits[start.Backend], m.owned[start.Backend].Slots))
	}
}

func (m *stateMachine) inUse(name model.BackendName) int {
	n := 0
	for _, start := range m.running {
		if start.Backend == name {
			n++
		}
	}
	return n
}

func (m *stateMachine) check(t *rapid.T) {
	waiting := len(m.queued) - len(m.ctrl.pendingRefusals) // evicted requests are reported by Next
	require.Len(t, m.ctrl.requests, waiting+len(m.running), "queued and running requests")
	require.Len(t, m.ctrl.expiry.items, waiting)
	inUse, queued, spills := 0, 0, 0
	for _, load := range m.ctrl.Loads(m.now) {
		inUse += load.InUse
		spills += load.SpillInUse
		for _, n := range load.Queued {
			queued += n
		}
		require.LessOrEqual(t, load.SpillInUse, m.ctrl.byName[load.Service].ramp.admitted)
	}
	for _, s := range m.ctrl.services {
		spill := lo.CountBy(lo.Values(m.ctrl.requests), func(r *request) bool { return r.spill && r.service == s })
		require.Equal(t, spill, s.ramp.admitted, "spill admitted by the ramp of %s", s.name)
	}
	require.Equal(t, waiting, queued)
	require.Equal(t, len(m.ctrl.requests) == 0, m.ctrl.Idle())
	require.Equal(t, len(m.running), inUse)
	require.LessOrEqual(t, spills, inUse)
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		// Actions are drawn evenly; a second name doubles the frequency.
		actions := map[string]func(*rapid.T){
			"":          m.check,
			"configure": m.configure,
			"offer":     m.offer,
			"offer2":    m.offer,
			"next":      m.next,
			"next2":     m.next,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"limit": func(t *rapid.T) {
				name := model.BackendName(rapid.SampledFrom([]string{"b0", "b1", "b2"}).Draw(t, "server"))
				m.limits[name] = rapid.IntRange(0, m.owned[name].Slots).Draw(t, "limit")
				m.ctrl.SetLimit(m.now, name, m.limits[name])
			},
			"finish": func(t *rapid.T) {
				id := m.anyRequest(t)
				m.ctrl.Finish(m.now, id, 10*time.Millisecond, true)
				delete(m.running, id)
			},
			"requeue": func(t *rapid.T) {
				id := m.anyRequest(t)
				start, running := m.running[id]
				m.ctrl.Shed(m.now, start.Backend, 0)
				cause := m.ctrl.Requeue(m.now, id, start.Backend)
				delete(m.running, id)
				if running && cause == model.CauseNone {
					m.queued[id] = true
				}
			},
			"withdraw": func(t *rapid.T) {
				id := m.anyRequest(t)
				_, running := m.running[id]
				wasQueued, wasRunning := m.ctrl.Withdraw(m.now, id)
				require.Equal(t, running, wasRunning)
				require.Equal(t, m.queued[id], wasQueued)
				delete(m.queued, id)
			},
		}
		t.Repeat(actions)
		m.drain(t)
	})
}

// drain finishes all requests and checks that no state is left over.
func (m *stateMachine) drain(t *rapid.T) {
	m.now = m.now.Add(time.Hour)
	m.next(t)
	require.Empty(t, m.queued)
	for id := range m.running {
		m.ctrl.Finish(m.now, id, time.Millisecond, false)
	}
	require.Empty(t, m.ctrl.requests)
	for _, s := range m.ctrl.services {
		require.Zero(t, s.ramp.admitted)
	}
}

func TestSpillGrowsWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := config.ShiftCap{Fraction: rapid.Float64Range(0.05, 0.6).Draw(t, "fraction"), Window: 8 * time.Second}
		const slots = 12
		maxGrowth := max(1, int(limit.Fraction*slots))
		var r ramp
		r.configure(limit, slots)
		now := model.Instant(time.Hour)
		var times []model.Instant
		var used []int
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 && r.admitted > 0 {
				r.release(now)
			} else {
				r.admit(now, model.Urgent)
			}
			require.LessOrEqual(t, r.admitted, max(r.level, lastOf(used)))
			times, used = append(times, now), append(used, r.admitted)
		}
		for i := range times {
			// The level covers the peak use of up to two periods, a quarter of the window.
			before := peak(times, used, times[i].Add(-limit.Window/4), times[i])
			for j := i; j < len(times) && times[j].Sub(times[i]) < limit.Window; j++ {
				require.LessOrEqual(t, used[j]-before, maxGrowth, "growth from %v to %v", times[i], times[j])
			}
		}
	})
}

func lastOf(used []int) int {
	if len(used) == 0 {
		return 0
	}
	return used[len(used)-1]
}

func peak(times []model.Instant, used []int, from, to model.Instant) int {
	most := 0
	for i, at := range times {
		if at >= from && at <= to {
			most = max(most, used[i])
		}
	}
	return most
}
