package steering

import (
	"math"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// drawText returns testText with a random number of slots of "web" in each zone and
// at least one slot in total.
func drawText(t *rapid.T) *config.Text {
	text := testText()
	text.Backends = lo.Filter(text.Backends, func(b config.Backend, _ int) bool { return b.Service == "db" })
	for _, zone := range text.Zones {
		if slots := rapid.IntRange(0, 12).Draw(t, "slots"); slots > 0 || zone.Name == "west-b" {
			text.Backends = append(text.Backends, backend("web", zone.Name, slots+1))
		}
	}
	sortBackends(text)
	return text
}

func drawHome(t *rapid.T, text *config.Text) []model.ZoneName {
	names := lo.Map(text.Zones, func(z config.Zone, _ int) model.ZoneName { return z.Name })
	return rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID).Draw(t, "home")
}

func drawView(t *rapid.T, text *config.Text) *fakeView {
	v := newFakeView()
	for _, b := range text.Backends {
		v.set(b.Service, b.Zone, lo.Times(rapid.IntRange(1, 3).Draw(t, "owners"), func(int) membership.ServiceLoad {
			l := load(rapid.IntRange(0, 4).Draw(t, "slots"), 0, rapid.Float64Range(0, 3).Draw(t, "level"))
			l.InUse = rapid.IntRange(0, l.Slots).Draw(t, "in use")
			l.Queued[model.Normal] = rapid.IntRange(0, 200).Draw(t, "queued")
			return l
		})...)
		if rapid.IntRange(0, 4).Draw(t, "silent") == 0 {
			v.age[viewKey{b.Service, b.Zone}] = time.Minute
		}
		if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			v.owners[viewKey{b.Service, b.Zone}][0].Reachable = false
		}
	}
	return v
}

// TestEveryChoiceIsAllowed checks the invariants of a choice on random texts, loads
// and requests: the owner is reachable and belongs to the chosen zone, only spill
// leaves the baseline, spill stays within the admitted level and avoids zones that
// stopped reporting, and other regions are used only if the deadline allows for the
// round trip.
func TestEveryChoiceIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t)
		p, v := newTestPlanner(text), drawView(t, text)
		home := drawHome(t, text)
		spilled := map[model.ZoneName]float64{}
		for range 50 {
			m := testRequest(model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")))
			m.Deadline = testNow.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			c := p.Choose(testNow, m, home, v, nil)
			if !c.OK() {
				require.NotEqual(t, model.CauseNone, c.Cause)
				require.Empty(t, c.Zone)
				continue
			}
			p.Sent(testNow, m, c)
			requireAllowed(t, p, v, home, m, c)
			if c.Spill {
				spilled[c.Zone]++
			}
		}
		for zone, count := range spilled {
			level, _, _ := v.ZoneLoad(zone, "web")
			require.LessOrEqual(t, count, math.Ceil(level.SpillLevel), "spill into %s exceeds the admitted level", zone)
		}
	})
}

func requireAllowed(t *rapid.T, p *Planner, v *fakeView, home []model.ZoneName, m *model.RequestMeta, c Choice) {
	key := viewKey{"web", c.Zone}
	owner, found := lo.Find(v.owners[key], func(o membership.Owner) bool { return o.Instance == c.Owner })
	require.True(t, found, "the owner does not belong to the chosen zone")
	require.True(t, owner.Reachable)
	baseline := p.Baseline(testNow, "web", home)
	inBaseline := lo.ContainsBy(baseline, func(w Weight) bool { return w.Zone == c.Zone })
	require.True(t, c.Spill || inBaseline, "%s is not in the baseline %v", c.Zone, baseline)
	if c.Spill {
		require.Zero(t, v.age[key], "spill into a zone that stopped reporting")
	}
	if c.Zone[:4] != "east" {
		require.Greater(t, m.Deadline.Sub(testNow), 110*time.Millisecond)
	}
}

// change is a configuration text and the time at which it was accepted.
type change struct {
	text *config.Text
	at   model.Instant
}

// earlierTexts converts changes to the earlier texts that the next revision carries.
func earlierTexts(changes ...change) []event.EarlierText {
	return lo.Map(changes, func(c change, _ int) event.EarlierText { return event.EarlierText{Text: c.text, AcceptedAt: c.at} })
}

// drawChanges returns random text changes, some of which are accepted while the
// baseline is still moving to an earlier one.
func drawChanges(t *rapid.T, count int) []change {
	at := testNow
	var changes []change
	for range count {
		changes = append(changes, change{drawText(t), at})
		at = at.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "s")) * time.Second)
	}
	return changes
}

// unfinished returns the changes that still affect the baseline when the next text
// is accepted. It applies the same rule as config.PruneCompletedMoves.
func unfinished(changes []change, next model.Instant) []change {
	for i := len(changes) - 1; i > 0; i-- {
		if next.Sub(changes[i].at) >= changes[i].text.Limits.ShiftCap.MoveTime() {
			return changes[i:]
		}
		next = changes[i].at
	}
	return changes
}

// configure activates the last of the changes with the earlier texts that its
// revision carries.
func (p *Planner) configure(changes []change) {
	last := len(changes) - 1
	p.Configure(changes[last].text, changes[last].at, earlierTexts(unfinished(changes[:last], changes[last].at)...))
}

// TestBaselineMovesWithinShiftCap checks that baseline weights change no faster than
// the shift cap allows, also when a text is accepted while an earlier move is in
// progress. The planner is recreated from the active revision after each change, as
// after a restart.
func TestBaselineMovesWithinShiftCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t, 4)
		home := drawHome(t, changes[0].text)
		p := New("east-a", Settings{})
		p.configure(changes[:1])
		now := testNow
		active := 0
		window := changes[0].text.Limits.ShiftCap.Window
		before := p.Baseline(now, "web", home)
		for now < changes[3].at.Add(6*time.Minute) {
			now = now.Add(window)
			previous := active
			for active < 3 && now >= changes[active+1].at {
				at := changes[active+1].at
				weightsBefore := p.Baseline(at, "web", home)
				active++
				p = New("east-a", Settings{})
				p.configure(changes[:active+1])
				requireSameWeights(t, weightsBefore, p.Baseline(at, "web", home))
			}
			after := p.Baseline(now, "web", home)
			require.InDelta(t, 1, lo.SumBy(after, func(w Weight) float64 { return w.Share }), 1e-9)
			if previous == active {
				requireMovedWithin(t, before, after, p.target(home), changes[active].text.Limits.ShiftCap.Fraction)
			}
			before = after
		}
		require.Equal(t, p.target(home), p.Baseline(now, "web", home))
	})
}

// requireSameWeights checks that activating a new text does not change the weights
// immediately.
func requireSameWeights(t *rapid.T, before, after []Weight) {
	require.Len(t, after, len(before))
	for i := range before {
		require.Equal(t, before[i].Zone, after[i].Zone)
		require.InDelta(t, before[i].Share, after[i].Share, 1e-9)
	}
}

// target returns the weights that the baseline of "web" is moving to.
func (p *Planner) target(home []model.ZoneName) []Weight {
	if len(home) == 0 {
		home = p.home[:]
	}
	return p.layout.baselineOf(p.layout.serviceIndex["web"], p.layout.indexes(home))
}

func requireMovedWithin(t *rapid.T, before, after, target []Weight, fraction float64) {
	for _, w := range after {
		moved := w.Share - shareOf(before, w.Zone)
		require.LessOrEqual(t, moved, fraction*shareOf(target, w.Zone)+1e-9, "%v to %v", before, after)
	}
}

// TestInstancesAgreeOnBaseline checks that an instance that adopted only the last
// revision computes the same weights as one that adopted every revision.
func TestInstancesAgreeOnBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := drawChanges(t, 6)
		home := drawHome(t, changes[0].text)
		incremental, restarted := New("east-a", Settings{}), New("east-a", Settings{})
		for i := range changes {
			incremental.configure(changes[:i+1])
		}
		restarted.configure(changes)
		fullHistory := New("east-a", Settings{})
		fullHistory.Configure(changes[5].text, changes[5].at, earlierTexts(changes[:5]...))
		at := changes[5].at.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "after")) * time.Second)
		require.Equal(t, incremental.Baseline(at, "web", home), restarted.Baseline(at, "web", home))
		requireSameWeights(t, fullHistory.Baseline(at, "web", home), restarted.Baseline(at, "web", home))
	})
}

// roundRobin is a naive reference implementation: it picks the next reachable owner
// of the home zone, or else of any zone, ignoring load and shift cap.
type roundRobin struct{ next int }

func (n *roundRobin) choose(v *fakeView, text *config.Text, home model.ZoneName) (model.InstanceID, model.ZoneName) {
	zones := append([]model.ZoneName{home}, lo.Map(text.Zones, func(z config.Zone, _ int) model.ZoneName { return z.Name })...)
	for _, zone := range zones {
		live := lo.Filter(v.owners[viewKey{"web", zone}], func(o membership.Owner, _ int) bool { return o.Reachable })
		if len(live) > 0 {
			n.next++
			return live[n.next%len(live)].Instance, zone
		}
	}
	return "", ""
}

// TestAgainstRoundRobin compares the planner with roundRobin. Both serve all requests
// while the home zone is reachable. Once it is lost, under a load that the remaining
// zones can carry, roundRobin exceeds the spill that the receiving zone admits; the
// planner must not.
func TestAgainstRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := testText()
		p, v := newTestPlanner(text), testView(text)
		naive := &roundRobin{}
		level := rapid.IntRange(0, 4).Draw(t, "level")
		v.set("web", "east-b", load(10, 0, float64(level)))
		lost := rapid.Bool().Draw(t, "lost")
		if lost {
			v.lose("east-a")
		}
		served := 0
		for range 10 {
			owner, zone := naive.choose(v, text, "east-a")
			require.NotEmpty(t, owner)
			c := p.Choose(testNow, testRequest(model.Normal), nil, v, nil)
			if c.OK() {
				p.Sent(testNow, testRequest(model.Normal), c)
				require.Equal(t, zone, c.Zone, "both pick the nearest reachable zone")
				served++
			}
		}
		require.Equal(t, lo.Ternary(lost, level, 10), served)
	})
}
