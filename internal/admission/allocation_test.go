package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// requestLoop offers requests to a Controller. When all slots are in use, it
// finishes the oldest running request for each one offered.
type requestLoop struct {
	ctrl      *Controller
	now       model.Instant
	id        model.RequestID
	meta      model.RequestMeta
	running   []Start // ring buffer
	oldest    int
	decisions Decisions
}

const requestLoopSlots = 27

func newRequestLoop(queued int) *requestLoop {
	l := &requestLoop{now: model.Instant(time.Hour)}
	p := Policy{Floors: simulatedFloors, ShiftCap: config.ShiftCap{Fraction: 0.1, Window: time.Minute}, QueuePerSlot: 1000}
	l.ctrl = New(p)
	l.ctrl.Configure(l.now, p, []Server{
		{Name: "b1", Service: "orders", Slots: 9}, {Name: "b2", Service: "orders", Slots: 9}, {Name: "b3", Service: "orders", Slots: 9},
	})
	l.meta = model.RequestMeta{Service: "orders", Route: "place", CallerGroup: "bavaria"}
	for range queued {
		l.offer()
	}
	l.ctrl.Next(l.now, &l.decisions)
	l.running = append(l.running, l.decisions.Start...)
	return l
}

func (l *requestLoop) offer() {
	l.id++
	l.meta.CallerGroup = simulatedCallerGroups[l.id%model.RequestID(len(simulatedCallerGroups))]
	l.meta.Rank = model.Rank(l.id % model.RankCount)
	l.meta.Deadline = l.now.Add(time.Hour)
	l.ctrl.Offer(l.now, Request{ID: l.id, Meta: &l.meta})
}

// request offers one request, starts one and finishes one.
func (l *requestLoop) request() {
	l.now = l.now.Add(40 * time.Microsecond)
	l.offer()
	full := len(l.running) == requestLoopSlots
	if full {
		l.ctrl.Finish(l.now, l.running[l.oldest].ID, time.Millisecond, true)
	}
	l.ctrl.Next(l.now, &l.decisions)
	for _, start := range l.decisions.Start {
		if !full {
			l.ctrl.Finish(l.now, start.ID, time.Millisecond, true)
			continue
		}
		l.running[l.oldest] = start
		l.oldest = (l.oldest + 1) % requestLoopSlots
	}
}

func TestNoAllocationPerRequest(t *testing.T) {
	for _, queued := range []int{0, 500} {
		l := newRequestLoop(queued)
		for range 2000 {
			l.request()
		}
		require.Zero(t, testing.AllocsPerRun(5000, l.request), "with %d queued", queued)
	}
}

func BenchmarkRequest(b *testing.B) {
	l := newRequestLoop(0)
	b.ReportAllocs()
	for b.Loop() {
		l.request()
	}
}

func BenchmarkRequestWithBacklog(b *testing.B) {
	l := newRequestLoop(5000)
	b.ReportAllocs()
	for b.Loop() {
		l.request()
	}
}
