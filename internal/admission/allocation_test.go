package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// cycle offers requests to a Controller, and finishes the oldest running one for
// each where all slots are busy.
type cycle struct {
	ctrl      *Controller
	now       model.Instant
	id        model.RequestID
	meta      model.RequestMeta
	running   []Start // ring
	oldest    int
	decisions Decisions
}

const cycleSlots = 27

func newCycle(queued int) *cycle {
	c := &cycle{now: model.Instant(time.Hour)}
	p := Policy{Floors: simulatedFloors, ShiftCap: config.ShiftCap{Fraction: 0.1, Window: time.Minute}, QueuePerSlot: 1000}
	c.ctrl = New(p)
	c.ctrl.Configure(c.now, p, []Server{
		{Name: "b1", Service: "orders", Slots: 9}, {Name: "b2", Service: "orders", Slots: 9}, {Name: "b3", Service: "orders", Slots: 9},
	})
	c.meta = model.RequestMeta{Service: "orders", Route: "place", Block: "bavaria"}
	for range queued {
		c.offer()
	}
	c.ctrl.Next(c.now, &c.decisions)
	c.running = append(c.running, c.decisions.Start...)
	return c
}

func (c *cycle) offer() {
	c.id++
	c.meta.Block = simulatedBlocks[c.id%model.RequestID(len(simulatedBlocks))]
	c.meta.Rank = model.Rank(c.id % model.RankCount)
	c.meta.Deadline = c.now.Add(time.Hour)
	c.ctrl.Offer(c.now, Request{ID: c.id, Meta: &c.meta})
}

// request offers one request, starts one and finishes one.
func (c *cycle) request() {
	c.now = c.now.Add(40 * time.Microsecond)
	c.offer()
	full := len(c.running) == cycleSlots
	if full {
		c.ctrl.Finish(c.now, c.running[c.oldest].ID, time.Millisecond, true)
	}
	c.ctrl.Next(c.now, &c.decisions)
	for _, start := range c.decisions.Start {
		if !full {
			c.ctrl.Finish(c.now, start.ID, time.Millisecond, true)
			continue
		}
		c.running[c.oldest] = start
		c.oldest = (c.oldest + 1) % cycleSlots
	}
}

func TestNoAllocationPerRequest(t *testing.T) {
	for _, queued := range []int{0, 500} {
		c := newCycle(queued)
		for range 2000 {
			c.request()
		}
		require.Zero(t, testing.AllocsPerRun(5000, c.request), "with %d queued", queued)
	}
}

func BenchmarkRequest(b *testing.B) {
	c := newCycle(0)
	b.ReportAllocs()
	for b.Loop() {
		c.request()
	}
}

func BenchmarkRequestWithBacklog(b *testing.B) {
	c := newCycle(5000)
	b.ReportAllocs()
	for b.Loop() {
		c.request()
	}
}
