package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// reference is a simple model of a Controller: one FIFO queue without ranks,
// caller groups, floors or estimates. If only one rank and caller group has work, the
// Controller must make the same decisions.
type reference struct {
	queue      []model.RequestID
	servers    []referenceServer
	running    map[model.RequestID]int
	startCount int
}

type referenceServer struct {
	name               model.BackendName
	limit, inUse, used int
}

func (r *reference) next() []Start {
	var starts []Start
	for len(r.queue) > 0 {
		best := -1
		for i, s := range r.servers {
			if s.inUse < s.limit && (best < 0 || r.better(i, best)) {
				best = i
			}
		}
		if best < 0 {
			return starts
		}
		r.startCount++
		r.servers[best].used = r.startCount
		r.servers[best].inUse++
		r.running[r.queue[0]] = best
		starts = append(starts, Start{ID: r.queue[0], Backend: r.servers[best].name})
		r.queue = r.queue[1:]
	}
	return starts
}

func (r *reference) better(i, j int) bool {
	a := float64(r.servers[i].inUse) / float64(r.servers[i].limit)
	b := float64(r.servers[j].inUse) / float64(r.servers[j].limit)
	return a < b || (a == b && r.servers[i].used < r.servers[j].used)
}

func (r *reference) finish(id model.RequestID) {
	if i, ok := r.running[id]; ok {
		r.servers[i].inUse--
		delete(r.running, id)
	}
}

func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := model.Instant(time.Hour)
		ref := &reference{running: map[model.RequestID]int{}}
		var owned []Server
		for _, name := range []model.BackendName{"a", "b", "c"} {
			slots := rapid.SampledFrom([]int{3, 8, 9}).Draw(t, "slots")
			owned = append(owned, Server{Name: name, Service: "orders", Slots: slots})
			ref.servers = append(ref.servers, referenceServer{name: name, limit: slots})
		}
		ctrl := New(Policy{})
		ctrl.Configure(now, Policy{QueuePerSlot: 1000}, owned)
		var id model.RequestID
		var decisions Decisions
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				id++
				meta := &model.RequestMeta{Service: "orders", Deadline: now.Add(time.Hour)}
				require.Equal(t, model.CauseNone, ctrl.Offer(now, Request{ID: id, Meta: meta}))
				ref.queue = append(ref.queue, id)
			case 3:
				done := model.RequestID(rapid.Uint64Range(0, uint64(id)).Draw(t, "done"))
				ctrl.Finish(now, done, time.Second, true)
				ref.finish(done)
			case 4:
				withdrawn := model.RequestID(rapid.Uint64Range(0, uint64(id)).Draw(t, "gone"))
				ctrl.Withdraw(now, withdrawn)
				ref.queue = slices.DeleteFunc(ref.queue, func(id model.RequestID) bool { return id == withdrawn })
			case 5:
				i := rapid.IntRange(0, 2).Draw(t, "server")
				limit := rapid.IntRange(1, owned[i].Slots).Draw(t, "limit")
				ctrl.SetLimit(now, owned[i].Name, limit)
				ref.servers[i].limit = limit
			}
			ctrl.Next(now, &decisions)
			require.ElementsMatch(t, ref.next(), decisions.Start)
			require.Empty(t, decisions.Refuse)
		}
	})
}
