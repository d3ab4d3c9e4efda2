package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// twin is the naive version: one FIFO queue, no ranks, blocks, floors or
// estimates. Where only one rank and block has work, the Controller must decide
// as it does.
type twin struct {
	queue   []model.RequestID
	servers []twinServer
	running map[model.RequestID]int
	clock   int
}

type twinServer struct {
	name               model.BackendName
	limit, inUse, used int
}

func (w *twin) next() []Start {
	var starts []Start
	for len(w.queue) > 0 {
		best := -1
		for i, s := range w.servers {
			if s.inUse < s.limit && (best < 0 || w.better(i, best)) {
				best = i
			}
		}
		if best < 0 {
			return starts
		}
		w.clock++
		w.servers[best].used = w.clock
		w.servers[best].inUse++
		w.running[w.queue[0]] = best
		starts = append(starts, Start{ID: w.queue[0], Backend: w.servers[best].name})
		w.queue = w.queue[1:]
	}
	return starts
}

func (w *twin) better(i, j int) bool {
	a := float64(w.servers[i].inUse) / float64(w.servers[i].limit)
	b := float64(w.servers[j].inUse) / float64(w.servers[j].limit)
	return a < b || (a == b && w.servers[i].used < w.servers[j].used)
}

func (w *twin) finish(id model.RequestID) {
	if i, ok := w.running[id]; ok {
		w.servers[i].inUse--
		delete(w.running, id)
	}
}

func TestAgainstNaiveTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := model.Instant(time.Hour)
		naive := &twin{running: map[model.RequestID]int{}}
		var owned []Server
		for _, name := range []model.BackendName{"a", "b", "c"} {
			slots := rapid.SampledFrom([]int{3, 8, 9}).Draw(t, "slots")
			owned = append(owned, Server{Name: name, Service: "orders", Slots: slots})
			naive.servers = append(naive.servers, twinServer{name: name, limit: slots})
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
				naive.queue = append(naive.queue, id)
			case 3:
				done := model.RequestID(rapid.Uint64Range(0, uint64(id)).Draw(t, "done"))
				ctrl.Finish(now, done, time.Second, true)
				naive.finish(done)
			case 4:
				gone := model.RequestID(rapid.Uint64Range(0, uint64(id)).Draw(t, "gone"))
				ctrl.Withdraw(now, gone)
				naive.queue = slices.DeleteFunc(naive.queue, func(id model.RequestID) bool { return id == gone })
			case 5:
				i := rapid.IntRange(0, 2).Draw(t, "server")
				limit := rapid.IntRange(1, owned[i].Slots).Draw(t, "limit")
				ctrl.SetLimit(now, owned[i].Name, limit)
				naive.servers[i].limit = limit
			}
			ctrl.Next(now, &decisions)
			require.ElementsMatch(t, naive.next(), decisions.Start)
			require.Empty(t, decisions.Refuse)
		}
	})
}
