package steering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestHomeZoneServes(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	c := p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	require.Equal(t, model.InstanceID("east-a/0"), c.Owner)
	require.False(t, c.Spill)
	c = p.Choose(testNow, testRequest(model.Normal), []model.ZoneName{"west-b"}, v, nil)
	require.Equal(t, model.ZoneName("west-b"), c.Zone)
	require.False(t, c.Spill)
}

func TestRefusesBeforeConfiguration(t *testing.T) {
	p := New("east-a", Settings{})
	c := p.Choose(testNow, testRequest(model.Normal), nil, newFakeView(), nil)
	require.Equal(t, model.CauseNoConfiguration, c.Cause)
}

func TestSpillPrefersNearestZoneWithHeadroom(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.lose("east-a")
	c := p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	require.Equal(t, model.CauseShiftCap, c.Cause)

	v.set("web", "east-b", load(10, 0, 2))
	v.set("web", "north-a", load(10, 0, 2))
	for range 2 {
		c = p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
		require.Equal(t, model.ZoneName("east-b"), c.Zone)
		require.True(t, c.Spill)
		p.Sent(testNow, testRequest(model.Normal), c)
	}
	c = p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	require.Equal(t, model.ZoneName("north-a"), c.Zone, "this instance's own requests have used up the spill level of east-b")
}

func TestDeadlineAccountsForNetworkDelay(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.lose("east-a")
	v.set("web", "north-a", load(10, 0, 5))
	m := testRequest(model.Normal)
	m.Deadline = testNow.Add(120 * time.Millisecond)
	require.Equal(t, model.CauseShiftCap, p.Choose(testNow, m, nil, v, nil).Cause, "east-b admits no spill, north-a is too far away")
	v.lose("east-b")
	require.Equal(t, model.CauseDeadline, p.Choose(testNow, m, nil, v, nil).Cause)
}

func TestDependencyLimitsZone(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.set("web", "east-b", load(10, 0, 5))
	v.set("db", "east-a", load(0, 0, 0))
	c := p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	require.Equal(t, model.ZoneName("east-b"), c.Zone)
	for _, zone := range text.Zones {
		v.set("db", zone.Name, load(0, 0, 0))
	}
	c = p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	require.Equal(t, model.CauseDependency, c.Cause)
}

func TestStaleZoneKeepsBaselineButGetsNoSpill(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.set("web", "east-a", load(10, 10, 5))
	v.age[viewKey{"web", "east-a"}] = time.Minute
	c := p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	require.Equal(t, model.ZoneName("east-a"), c.Zone)
	v.lose("east-b")
	require.False(t, p.Choose(testNow, testRequest(model.Normal), []model.ZoneName{"east-b"}, v, nil).OK())
	v.age[viewKey{"web", "east-a"}] = time.Second
	v.set("web", "east-a", load(10, 0, 5))
	c = p.Choose(testNow, testRequest(model.Normal), []model.ZoneName{"east-b"}, v, nil)
	require.Equal(t, model.ZoneName("east-a"), c.Zone)
	require.True(t, c.Spill)
}

func TestRefusalBacksOffThatRankOnly(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
	p.Observe(testNow, Observation{
		Service: "web", Rank: model.Background, Zone: "east-a", Owner: "east-a/0",
		Outcome: model.NotRun, Cause: model.CauseQueueFull,
	})
	require.Equal(t, model.CauseShiftCap, p.Choose(testNow, testRequest(model.Background), nil, v, nil).Cause)
	require.True(t, p.Choose(testNow, testRequest(model.Urgent), nil, v, nil).OK())
	later := testNow.Add(200 * time.Millisecond)
	require.True(t, p.Choose(later, testRequest(model.Background), nil, v, nil).OK())
}

// The owner guarantees each rank a minimum (floor) even while it is flooded with
// requests of another rank. Refusals of the flooded rank must therefore not cause
// backoff for any other rank, less urgent ones included.
func TestUrgentRefusalBacksOffNoOtherRank(t *testing.T) {
	for _, cause := range []model.Cause{model.CauseQueueFull, model.CauseDeadline} {
		text := testText()
		p, v := newTestPlanner(text), testView(text)
		p.Choose(testNow, testRequest(model.Urgent), nil, v, nil)
		p.Observe(testNow, Observation{
			Service: "web", Rank: model.Urgent, Zone: "east-a", Owner: "east-a/0",
			Outcome: model.NotRun, Cause: cause,
		})
		require.False(t, p.Choose(testNow, testRequest(model.Urgent), nil, v, nil).OK(), cause)
		require.True(t, p.Choose(testNow, testRequest(model.Normal), nil, v, nil).OK(), cause)
		require.True(t, p.Choose(testNow, testRequest(model.Background), nil, v, nil).OK(), cause)
	}
}

// Own requests in flight count against an owner however old its report is. Here each
// refresh brings a newer report, which resets the count of requests sent since.
func TestInFlightRequestsCountAfterReport(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.set("web", "east-a", load(3, 0, 0), load(3, 0, 0))
	sent := map[model.InstanceID]int{}
	for i := range 6 {
		now := testNow.Add(time.Duration(i) * 100 * time.Millisecond)
		c := p.Choose(now, testRequest(model.Normal), nil, v, nil)
		require.True(t, c.OK())
		p.Sent(now, testRequest(model.Normal), c)
		sent[c.Owner]++
	}
	require.Equal(t, map[model.InstanceID]int{"east-a/0": 3, "east-a/1": 3}, sent)
}

func TestLinkBudgetReservesShareForUrgentRank(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	home := []model.ZoneName{"west-a"}
	for _, rank := range []model.Rank{model.Background, model.Normal, model.Urgent} {
		m := testRequest(rank)
		m.AnswerBytes = 1000
		sent := 0
		for {
			c := p.Choose(testNow, m, home, v, nil)
			if !c.OK() {
				require.Equal(t, model.CauseLinkBudget, c.Cause)
				break
			}
			p.Sent(testNow, m, c)
			sent++
		}
		require.Positive(t, sent, rank)
	}
	later := testNow.Add(500 * time.Millisecond)
	require.True(t, p.Choose(later, testRequest(model.Background), home, v, nil).OK())
}

func TestOwnersChosenByFreeSlots(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.set("web", "east-a", load(5, 5, 0), load(5, 0, 0), load(5, 5, 0))
	counts := map[model.InstanceID]int{}
	for range 300 {
		counts[p.Choose(testNow, testRequest(model.Normal), nil, v, nil).Owner]++
	}
	require.Greater(t, counts["east-a/1"], 180)
	require.Positive(t, counts["east-a/0"], "load reports may be wrong, so no owner is excluded")
}

func TestFullHomeZoneSpillsOnlyIfLate(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	busy := load(10, 10, 0)
	busy.Queued = [model.RankCount]int{0, 0, 1000}
	v.set("web", "east-a", busy)
	v.set("web", "east-b", load(10, 0, 5))
	require.False(t, p.Choose(testNow, testRequest(model.Normal), nil, v, nil).Spill)
	require.True(t, p.Choose(testNow, testRequest(model.Background), nil, v, nil).Spill)
	v.set("web", "east-b", load(10, 0, 0))
	c := p.Choose(testNow, testRequest(model.Background), nil, v, nil)
	require.Equal(t, model.ZoneName("east-a"), c.Zone, "without spill, the owner decides whether the deadline can be met")
}

// A home zone that has recovered only some of its slots must not queue requests that
// other zones would admit as spill. It queues them only if no spill is admitted.
func TestRecoveringHomeZoneKeepsSpilling(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.set("web", "east-a", load(2, 2, 0))
	v.set("web", "east-b", load(10, 0, 1))
	home := []model.ZoneName{"east-a"}
	m := testRequest(model.Normal)
	c := p.Choose(testNow, m, home, v, nil)
	require.Equal(t, model.ZoneName("east-b"), c.Zone)
	require.True(t, c.Spill)
	p.Sent(testNow, m, c)
	c = p.Choose(testNow, m, home, v, nil)
	require.Equal(t, model.ZoneName("east-a"), c.Zone, "the shift cap admits no more spill")
	require.False(t, c.Spill)

	v.set("web", "east-a", load(2, 1, 0))
	p = newTestPlanner(text)
	c = p.Choose(testNow, m, home, v, nil)
	require.Equal(t, model.ZoneName("east-a"), c.Zone, "the home zone has a free slot")
}

func TestRetryBudgetIsATenthOfTraffic(t *testing.T) {
	b := NewRetryBudget()
	for b.Allow(testNow, "web") {
		continue
	}
	allowed := 0
	for range 1000 {
		b.Earn("web")
		if b.Allow(testNow, "web") {
			allowed++
		}
	}
	require.InDelta(t, 100, allowed, 1)
	require.True(t, b.Allow(testNow, "db"))
}

func BenchmarkChoose(b *testing.B) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.set("web", "east-a", load(10, 2, 0), load(10, 3, 0))
	benchmarkChooseAt(b, testNow, p, v)
}

func BenchmarkChooseSpill(b *testing.B) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	v.lose("east-a")
	v.set("web", "east-b", load(10, 2, 5))
	benchmarkChooseAt(b, testNow, p, v)
}

func benchmarkChooseAt(b *testing.B, now model.Instant, p *Planner, v View) {
	m := testRequest(model.Normal)
	m.Deadline = now.Add(time.Hour)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Microsecond)
		c := p.Choose(now, m, nil, v, nil)
		if !c.OK() {
			b.Fatal(c.Cause)
		}
		p.Sent(now, m, c)
		p.Finished(now, m, c, TransferOf(m))
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	text := testText()
	p, v := newTestPlanner(text), testView(text)
	m := testRequest(model.Normal)
	home := []model.ZoneName{"east-b", "east-a"}
	allocations := testing.AllocsPerRun(1000, func() {
		c := p.Choose(testNow, m, home, v, nil)
		p.Sent(testNow, m, c)
		p.Finished(testNow, m, c, Transfer{})
	})
	require.Zero(t, allocations)
}
