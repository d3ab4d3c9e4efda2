package health

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

var testShiftCap = config.ShiftCap{Fraction: 0.2, Window: 10 * time.Second}

// checkGroupInvariants checks the limits and conditions of the first group's
// servers after a step. If a server that was in service was ejected, it also checks
// the bound on the ejected share. No server may be draining.
func checkGroupInvariants(t *rapid.T, tracker *Tracker, now model.Instant) {
	g := tracker.groups[0]
	out, refusing := 0, 0
	for _, s := range g.servers {
		limit := tracker.Limit(now, s.Name)
		require.GreaterOrEqual(t, limit, 0)
		require.LessOrEqual(t, limit, s.Slots)
		state, known := tracker.State(now, s.Name)
		require.True(t, known)
		if s.condition == Ejected || s.condition == Probing {
			out++
		}
		if s.consecutiveRefusals >= tracker.settings.RefusedConnections {
			refusing++
		}
		if state.Condition == Ejected || state.Condition == Draining {
			require.Zero(t, limit)
		}
	}
	ejected := lo.SomeBy(tracker.Changes(nil), func(c Change) bool {
		return c.To == Ejected && c.From != Probing
	})
	if ejected && out > boundedShare(tracker.settings.MaxEjectShare, len(g.servers)) {
		require.Equal(t, out, len(g.servers), "ejections beyond the bound must include every server")
		require.Equal(t, refusing, len(g.servers), "ejections beyond the bound require that all servers refuse connections")
	}
}

func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Settings{ShiftCap: testShiftCap, MaxEjectShare: rapid.Float64Range(0.1, 0.9).Draw(t, "share")})
		servers := threeSlotServers(rapid.IntRange(1, 6).Draw(t, "servers"))
		now := epoch
		tracker.Configure(now, servers, nil, nil)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(servers).Draw(t, "server").Name
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				result := event.AttemptResult(rapid.IntRange(0, int(event.AttemptStaleBroken)).Draw(t, "result"))
				tracker.RecordOutcome(now, name, result, false)
			case 2:
				tracker.RecordOutcome(now, name, event.AttemptNotSent, false)
			case 3:
				tracker.RecordReport(now, &event.ServerReported{
					At: now, Backend: name, Healthy: rapid.Bool().Draw(t, "healthy"), Cold: rapid.Bool().Draw(t, "cold"),
				})
			case 4:
				tracker.Tick(now)
			}
			checkGroupInvariants(t, tracker, now)
		}
	})
}

func TestReportsEjectWithinReportShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Settings{ShiftCap: testShiftCap})
		servers := threeSlotServers(rapid.IntRange(1, 9).Draw(t, "servers"))
		now := epoch
		tracker.Configure(now, servers, nil, nil)
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			name := rapid.SampledFrom(servers).Draw(t, "server").Name
			tracker.RecordReport(now, &event.ServerReported{At: now, Backend: name, Healthy: rapid.Bool().Draw(t, "healthy")})
			out := tracker.groups[0].count(func(s *server) bool { return s.outOfService() })
			require.LessOrEqual(t, out, int(defaultReportShare*float64(len(servers))))
		}
	})
}

func TestDrainingServersHaveZeroLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Settings{ShiftCap: testShiftCap})
		servers := threeSlotServers(3)
		now := epoch
		tracker.Configure(now, servers, nil, nil)
		announced := map[model.BackendName]map[Source]bool{}
		for _, s := range servers {
			announced[s.Name] = map[Source]bool{}
		}
		for range 60 {
			now = now.Add(500 * time.Millisecond)
			name := rapid.SampledFrom(servers).Draw(t, "server").Name
			source := Source(rapid.IntRange(0, sourceCount-1).Draw(t, "source"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				tracker.MarkDraining(now, name, source)
				announced[name][source] = true
			case 1:
				tracker.ClearDraining(now, name, source)
				announced[name][source] = false
			case 2:
				tracker.RecordOutcome(now, name, event.AttemptResult(rapid.IntRange(0, 4).Draw(t, "result")), false)
			case 3:
				tracker.Tick(now)
			}
			for _, s := range servers {
				if announced[s.Name][SourcePlannedStop] || announced[s.Name][SourceServer] || announced[s.Name][SourcePlatform] {
					require.Zero(t, tracker.Limit(now, s.Name))
				}
			}
		}
	})
}

// TestReturningServersRespectShiftCap returns all servers of a zone to service at
// once. Their slots must open no faster than the shift cap allows, and all of them
// must open in the end.
func TestReturningServersRespectShiftCap(t *testing.T) {
	tracker := New(Settings{ShiftCap: testShiftCap})
	servers := threeSlotServers(5) // the cap allows 3 of 15 slots in each window
	stop := []config.Stop{{Scope: config.StopZone, Target: "petrolina-a"}}
	tracker.Configure(epoch, servers, stop, nil)
	now := at(60)
	tracker.Configure(now, servers, nil, nil)
	var open []int
	for range 600 {
		tracker.Tick(now)
		sum := 0
		for _, s := range servers {
			sum += tracker.Limit(now, s.Name)
		}
		open = append(open, sum)
		now = now.Add(100 * time.Millisecond)
	}
	for i := range open[:len(open)-100] {
		require.LessOrEqual(t, open[i+99]-open[i], 3)
	}
	require.Equal(t, 1, open[0])
	require.Equal(t, 15, open[len(open)-1])
}

// TestOwnersShareShiftCapOnReturn returns the servers of two owners in one zone to
// service. Their slots must open at the rate of one shift cap for the zone, not at
// one rate per owner.
func TestOwnersShareShiftCapOnReturn(t *testing.T) {
	limit := config.ShiftCap{Fraction: 0.2, Window: 10 * time.Second} // 1.2 of 6 slots
	owners := make([]*Tracker, 2)
	stop := []config.Stop{{Scope: config.StopZone, Target: "petrolina-a"}}
	for i := range owners {
		owners[i] = New(Settings{ShiftCap: limit})
		servers := threeSlotServers(1)
		owners[i].SetTurns(map[model.ServiceName]config.Turn{servers[0].Service: limit.NewTurn([]int{3, 3}, i)})
		owners[i].Configure(epoch, servers, stop, nil)
		owners[i].Configure(at(60), servers, nil, nil)
	}
	now := at(60)
	var open []int
	for range 2400 { // two minutes
		now = now.Add(50 * time.Millisecond)
		sum := 0
		for _, tracker := range owners {
			tracker.Tick(now)
			sum += tracker.Limit(now, threeSlotServers(1)[0].Name)
		}
		open = append(open, sum)
	}
	for i := range open[:len(open)-199] {
		require.LessOrEqual(t, open[i+199]-open[i], 1)
	}
	require.Equal(t, 6, open[len(open)-1])
}

// TestTrackerMatchesReferenceModel checks that one of two servers is ejected exactly
// when a simple count of its failures in a row reaches the limit.
func TestTrackerMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Settings{MinAttempts: 1 << 30})
		tracker.Configure(epoch, threeSlotServers(2), nil, nil)
		now := epoch
		inRow := 0
		for range 40 {
			now = now.Add(time.Millisecond)
			result := rapid.SampledFrom([]event.AttemptResult{
				event.AttemptComplete, event.AttemptBroken, event.AttemptTimeout, event.AttemptFailed, event.AttemptShed,
			}).Draw(t, "result")
			tracker.RecordOutcome(now, "permits-1", result, false)
			switch result {
			case event.AttemptComplete:
				inRow = 0
			case event.AttemptShed:
			default:
				inRow++
			}
			state, _ := tracker.State(now, "permits-1")
			if inRow >= defaultConsecutiveFailures {
				require.Equal(t, Ejected, state.Condition)
				return
			}
			require.Equal(t, Healthy, state.Condition)
		}
	})
}

// TestConnectionsLostTogether breaks all connections of a server at once, as when a
// middlebox drops its connection state. The server's limit must fall without an
// ejection, and the next success must restore it. A server that keeps failing must
// be ejected.
func TestConnectionsLostTogether(t *testing.T) {
	tracker := New(Settings{})
	tracker.Configure(epoch, threeSlotServers(3), nil, nil)
	lose := func(from, to float64) {
		for range 9 {
			tracker.RecordAttempt(at(to), Attempt{Backend: "permits-1", Result: event.AttemptTimeout, Started: at(from)})
		}
	}
	lose(1, 2)
	require.Equal(t, 1, tracker.Limit(at(2), "permits-1"))
	tracker.RecordOutcome(at(3), "permits-1", event.AttemptComplete, false)
	require.Equal(t, 3, tracker.Limit(at(3), "permits-1"))
	for i := range defaultConsecutiveFailures {
		state, _ := tracker.State(at(4), "permits-1")
		require.Equal(t, Healthy, state.Condition)
		lose(float64(4+i), float64(5+i))
	}
	state, _ := tracker.State(at(9), "permits-1")
	require.Equal(t, Ejected, state.Condition)
}

// TestLongFailurePeriodEndsInSlowStart has a server fail for longer than
// briefFailurePeriod without being ejected. Its slots must open step by step after
// its next success.
func TestLongFailurePeriodEndsInSlowStart(t *testing.T) {
	tracker := New(Settings{ShiftCap: config.ShiftCap{Fraction: 0.1, Window: 10 * time.Second}})
	tracker.Configure(epoch, threeSlotServers(3), nil, nil)
	for i := range defaultConsecutiveFailures - 1 {
		tracker.RecordOutcome(at(float64(1+i)), "permits-1", event.AttemptBroken, false)
	}
	require.Equal(t, 1, tracker.Limit(at(5), "permits-1"))
	tracker.RecordOutcome(at(5), "permits-1", event.AttemptComplete, false)
	tracker.Tick(at(5))
	require.Equal(t, 1, tracker.Limit(at(5), "permits-1"))
	state, _ := tracker.State(at(5), "permits-1")
	require.Equal(t, State{Condition: SlowStart, Reason: ReasonRecovered, Since: at(5)}, state)
}

func TestOutOfOrderReportIsIgnored(t *testing.T) {
	tracker := New(Settings{})
	tracker.Configure(epoch, threeSlotServers(3), nil, nil)
	tracker.RecordReport(at(5), &event.ServerReported{At: at(5), Backend: "permits-1", Healthy: true})
	tracker.RecordReport(at(6), &event.ServerReported{At: at(4), Backend: "permits-1", Healthy: false})
	state, _ := tracker.State(at(6), "permits-1")
	require.Equal(t, Healthy, state.Condition)
}

// TestReportedSlotsReduceLimit has a server report fewer slots than the
// configuration text gives it. The limit must fall by at most half, and only within
// the lifetime of the report.
func TestReportedSlotsReduceLimit(t *testing.T) {
	tracker := New(Settings{})
	tracker.Configure(epoch, threeSlotServers(1), nil, nil)
	for reported, limit := range map[int]int{1: 2, 2: 2, 3: 3, 9: 3} {
		tracker.RecordReport(at(1), &event.ServerReported{At: at(1), Backend: "permits-1", Healthy: true, Slots: reported})
		require.Equal(t, limit, tracker.Limit(at(1), "permits-1"), "reported %d", reported)
	}
	tracker.RecordReport(at(1), &event.ServerReported{At: at(1), Backend: "permits-1", Healthy: true, Slots: 1})
	tracker.Tick(at(30))
	require.Equal(t, 3, tracker.Limit(at(30), "permits-1"))
}

func TestProbesAreSpread(t *testing.T) {
	tracker := New(Settings{})
	tracker.Configure(epoch, threeSlotServers(50), nil, nil)
	probes := map[model.BackendName]int{}
	for i := range 600 {
		due := tracker.DueProbes(at(float64(i)/10), nil)
		require.LessOrEqual(t, len(due), 8, "probes due in one tenth of a second")
		for _, name := range due {
			probes[name]++
		}
	}
	require.Len(t, probes, 50)
	for name, n := range probes {
		require.InDelta(t, 12, n, 2, name)
	}
}

func TestNoAllocationPerOutcome(t *testing.T) {
	tracker := New(Settings{})
	tracker.Configure(epoch, threeSlotServers(3), nil, nil)
	now := epoch
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		tracker.RecordOutcome(now, "permits-1", event.AttemptComplete, false)
		tracker.RecordOutcome(now, "permits-2", event.AttemptShed, false)
		tracker.Limit(now, "permits-1")
	}))
}

func BenchmarkOutcome(b *testing.B) {
	tracker := New(Settings{})
	tracker.Configure(epoch, threeSlotServers(3), nil, nil)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		tracker.RecordOutcome(now, "permits-1", event.AttemptComplete, false)
	}
}
