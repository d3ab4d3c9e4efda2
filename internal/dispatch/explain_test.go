package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestRefusalWithoutRouteTellsWhetherTheHostIsKnown(t *testing.T) {
	d := newDispatcher(testRoute())
	for host, known := range map[string]bool{"shop.example": true, "other.example": false} {
		r := requireRefuse(t, requestEffect(d.Step(&RequestArrived{At: start, Request: 1, Host: host, Path: "/none"})), model.NotRun, model.CauseNoRoute)
		require.Equal(t, &Inputs{HostKnown: known}, r.Inputs)
	}
}

func TestRefusalWithoutServerCountsWhatRuledThemOut(t *testing.T) {
	route := testRoute()
	route.HomeRegions = []model.RegionName{"north"}
	d := newDispatcher(route)
	d.Step(&CatalogChanged{At: start, Change: &catalog.EvacuationChange{Zone: "north-a", Active: true}})
	send := requireSend(t, arrive(d, start, 1, "7"))
	require.Equal(t, model.ZoneName("north-b"), send.Server.Zone)
	endAttempt(d, start, 1, event.AttemptNotSent) // ejects the last server
	r := requireRefuse(t, arrive(d, start, 2, "7"), model.NotRun, model.CauseNoBackend)
	require.Equal(t, &Inputs{
		Service: "shop", MaxAttempts: 2, Repeatable: true,
		Choice: &FailedChoice{
			Servers:     4,
			Excluded:    map[string]int{"zone evacuated": 1, "ejected": 1, "outside the home regions": 2},
			MoveAllowed: true, // servers were just lost
		},
	}, r.Inputs)
}

func TestRefusalOfARetryCountsTheServersTried(t *testing.T) {
	route := testRoute()
	route.HomeRegions = []model.RegionName{"north"}
	route.Attempts = 3
	d := newDispatcher(route)
	requireSend(t, arrive(d, start, 1, "7"))
	requireSend(t, endAttempt(d, start, 1, event.AttemptShed))
	r := requireRefuse(t, endAttempt(d, start, 1, event.AttemptShed), model.NotRun, model.CauseNoBackend)
	require.Equal(t, 2, r.Inputs.Attempts)
	require.Equal(t, map[string]int{"tried already": 2, "outside the home regions": 2}, r.Inputs.Choice.Excluded)
}

// TestRefusalForLimitsDescribesTheirUse guards against refusals for limits that do not tell what
// was used of them.
func TestRefusalForLimitsDescribesTheirUse(t *testing.T) {
	d := newDispatcher(testRoute())
	for _, s := range d.servers {
		d.Step(&TermsNamed{At: start, Server: s.entry, Report: ServerReport{HasLimit: true, LimitNamed: true, Limit: 1}})
	}
	id := model.RequestID(0)
	for range len(d.servers) {
		id++
		requireSend(t, arrive(d, start, id, fmt.Sprint(id)))
	}
	r := requireRefuse(t, arrive(d, start, id+1, "7"), model.NotRun, model.CauseQueueFull)
	require.Len(t, r.Inputs.Choice.Limits, min(len(d.servers), maxDescribedCandidates))
	require.Equal(t, LimitUse{Server: "shop-north-a", Limit: 1, Used: 1, Share: 1, Span: time.Second}, r.Inputs.Choice.Limits[0])
}

func TestRefusalForAFullQueueDescribesTheCandidates(t *testing.T) {
	d := newDispatcher(testRoute())
	for _, s := range d.servers {
		s.applyReport(at(time.Second), at(time.Second), &ServerReport{HasLoad: true, Running: 4, Waiting: 60}, 0)
	}
	r := requireRefuse(t, arrive(d, at(1100*time.Millisecond), 1, "7"), model.NotRun, model.CauseQueueFull)
	c := r.Inputs.Choice
	require.Equal(t, 4, c.Servers)
	require.Empty(t, c.Excluded)
	require.NotZero(t, c.Candidates)
	require.Len(t, c.Fullest, c.Candidates)
	full := c.Fullest[0]
	require.Equal(t, FullQueue, full.Reason)
	require.Equal(t, 4, full.Slots)
	require.Equal(t, 100*time.Millisecond, full.LoadAge)
	require.InDelta(t, 64, full.Load, 1)
	require.Equal(t, r.RetryAfter, min(full.Wait, defaultRetryAfter))
}

func TestRefusalNamesAUsedConnectionShareAndAColdStart(t *testing.T) {
	d := newDispatcher(testRoute())
	for _, s := range d.servers {
		d.config.Service("shop").MaxConnections = 1
		s.inFlight = 1
	}
	r := requireRefuse(t, arrive(d, start, 1, "7"), model.NotRun, model.CauseQueueFull)
	require.Equal(t, FullConnections, r.Inputs.Choice.Fullest[0].Reason)

	d = newDispatcher(testRoute())
	d.Step(&InstancesCounted{At: start, Instances: 1000})
	for _, s := range d.servers {
		s.coldUntil = at(time.Minute)
	}
	r = requireRefuse(t, arrive(d, start, 1, "7"), model.NotRun, model.CauseQueueFull)
	require.Equal(t, FullCold, r.Inputs.Choice.Fullest[0].Reason)
}

func TestDescribedCandidatesAreBounded(t *testing.T) {
	route := testRoute()
	route.Sticky = false
	d := newDispatcher(route)
	for i := range 20 {
		s := testServer("more-"+string(rune('a'+i)), "north-a", "shop")
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: s}})
	}
	for _, s := range d.servers {
		s.applyReport(start, start, &ServerReport{HasLoad: true, Running: 4, Waiting: 60}, 0)
	}
	r := requireRefuse(t, arrive(d, start, 1, "7"), model.NotRun, model.CauseQueueFull)
	require.Greater(t, r.Inputs.Choice.Candidates, maxDescribedCandidates)
	require.Len(t, r.Inputs.Choice.Fullest, maxDescribedCandidates)
}

// BenchmarkDescribeFailedChoice measures what a refusal costs beyond the choice itself, by
// the size of the service.
func BenchmarkDescribeFailedChoice(b *testing.B) {
	for _, servers := range []int{50, 447, 4500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d := unevenDispatcher(servers/6, servers-servers/6)
			q := &request{
				route: &d.config.Routes[0], service: "shop", sticky: true, objective: 500 * time.Millisecond,
				runTimes: d.service("shop").runTimesOf(&d.config.Routes[0]),
			}
			d.choose(start, q)
			b.ReportAllocs()
			for b.Loop() {
				d.describeFailedChoice(start, q)
			}
		})
	}
}
