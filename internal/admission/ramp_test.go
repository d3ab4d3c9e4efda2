package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// spillController returns a Controller that owns one server and has not been
// offered a request yet.
func spillController(now model.Instant, slots int, fraction float64, queuePerSlot int) *Controller {
	p := Policy{ShiftCap: config.ShiftCap{Fraction: fraction, Window: 30 * time.Second}, QueuePerSlot: queuePerSlot}
	c := New(p)
	c.Configure(now, p, []Server{{Name: "orders-1", Service: "orders", Slots: slots}})
	return c
}

func offer(c *Controller, now model.Instant, id model.RequestID, spill bool, rank model.Rank) model.Cause {
	meta := &model.RequestMeta{Service: "orders", Rank: rank, Deadline: now.Add(time.Hour)}
	return c.Offer(now, Request{ID: id, Meta: meta, Spill: spill})
}

func TestNewOwnerContinuesFromSeededLevel(t *testing.T) {
	now := model.Instant(time.Hour)
	c := spillController(now, 9, 0.1, 0)
	c.Seed(now, "orders", 3, now.Add(-time.Minute))
	for id := model.RequestID(1); id <= 3; id++ {
		require.Equal(t, model.CauseNone, offer(c, now, id, true, model.Urgent))
	}
	require.Equal(t, model.CauseShiftCap, offer(c, now, 4, true, model.Urgent))
	load := c.Loads(now)[0]
	require.InDelta(t, 3, load.SpillLevel, 0)
	require.Equal(t, now.Add(-time.Minute), load.BaselineSince)
}

func TestQueueFullRefusalReleasesRamp(t *testing.T) {
	now := model.Instant(time.Hour)
	c := spillController(now, 1, 1, 1)
	var d Decisions
	for id := model.RequestID(1); id <= 2; id++ {
		require.Equal(t, model.CauseNone, offer(c, now, id, false, model.Urgent))
		c.Next(now, &d)
	}
	require.Equal(t, model.CauseQueueFull, offer(c, now, 3, true, model.Urgent))
	require.Zero(t, c.byName["orders"].ramp.admitted)
}

// TestCapRefusesLeastUrgentSpillFirst checks that capacity that becomes free is
// kept for the more urgent rank that the cap refused.
func TestCapRefusesLeastUrgentSpillFirst(t *testing.T) {
	now := model.Instant(time.Hour)
	c := spillController(now, 9, 0.2, 0)
	require.Equal(t, model.CauseNone, offer(c, now, 1, true, model.Normal))
	require.Equal(t, model.CauseShiftCap, offer(c, now, 2, true, model.Urgent))
	c.Withdraw(now, 1)
	require.Equal(t, model.CauseShiftCap, offer(c, now, 3, true, model.Normal))
	require.Equal(t, model.CauseNone, offer(c, now, 4, true, model.Urgent))
}

// TestOwnersOfAZoneShareTheCap offers spill continuously to two owners with three
// slots each, in an availability zone whose cap is 1.2 slots per window. Together
// they must not raise their levels by more than the cap allows.
func TestOwnersOfAZoneShareTheCap(t *testing.T) {
	limit := config.ShiftCap{Fraction: 0.2, Window: 10 * time.Second}
	now := model.Instant(time.Hour)
	owners := make([]*Controller, 2)
	for i := range owners {
		p := Policy{ShiftCap: limit, Turns: map[model.ServiceName]config.Turn{"orders": limit.NewTurn([]int{3, 3}, i)}}
		owners[i] = New(p)
		owners[i].Configure(now, p, []Server{{Name: "orders-1", Service: "orders", Slots: 3}})
	}
	id := model.RequestID(0)
	var levels []float64
	for range 2400 { // two minutes
		now = now.Add(50 * time.Millisecond)
		sum := 0.0
		for _, c := range owners {
			id++
			offer(c, now, id, true, model.Normal)
			sum += float64(c.byName["orders"].ramp.level)
		}
		levels = append(levels, sum)
	}
	for i := range levels[:len(levels)-199] {
		require.LessOrEqual(t, levels[i+199]-levels[i], 1.0, "rise of the levels in the window from %v", time.Duration(i)*50*time.Millisecond)
	}
	require.InDelta(t, 6, levels[len(levels)-1], 0)
}
