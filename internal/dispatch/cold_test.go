package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// fleetMembers returns instances in all zones, a third of which receive most of the requests.
func fleetMembers(instances int) []pacing.Member {
	zones := []model.ZoneName{"north-a", "north-b", "south-a", "south-b"}
	var members []pacing.Member
	for i := range instances {
		weight := 1
		if i%3 == 0 {
			weight = 10
		}
		region := regions[zones[i%len(zones)]]
		members = append(members, pacing.Member{ID: model.InstanceID(fmt.Sprint("edge-", i)), Region: region, Weight: float64(weight)})
	}
	return members
}

// largeFleet returns the dispatchers of fleetMembers and the number of requests that each
// receives.
func largeFleet(instances int, c *catalog.Configuration) ([]*Dispatcher, []int) {
	members := fleetMembers(instances)
	var weights []int
	var fleet []*Dispatcher
	for _, m := range members {
		weights = append(weights, int(m.Weight))
		settings := testSettings(m.Region)
		settings.Self, settings.InstancesMaxAge = m.ID, 7*time.Second
		d := New(settings)
		d.Step(&InstancesCounted{At: start.Add(-time.Minute), Instances: instances, Members: members, RegionShare: 0.5})
		d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: c}})
		fleet = append(fleet, d)
	}
	return fleet, weights
}

// TestColdReturnOfAZoneAtManyInstances replays a zone whose servers come back cold while
// the other zone of their region is evacuated: each instance's equal share of a cold
// server's rate is less than one request a second.
func TestColdReturnOfAZoneAtManyInstances(t *testing.T) {
	const instances, servers, coldFor = 78, 20, 3 * time.Second
	route := testRoute()
	route.HomeRegions = []model.RegionName{"north"}
	fleet, weights := largeFleet(instances, configuration(1, route))
	for _, d := range fleet {
		d.Step(&CatalogChanged{At: start, Change: &catalog.EvacuationChange{Zone: "north-a", Active: true}})
		for i := range servers {
			entry := testServer(fmt.Sprint("n-", i), "north-b", "shop")
			entry.ColdLeft, entry.StartedMillis = coldFor, 2
			d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: entry}})
		}
		d.Step(&Tick{At: start, InstancesKnownAt: start})
	}
	var callers []int // instances in the region, as often as callers are sent to them
	for i, weight := range weights {
		for range weight {
			if fleet[i].settings.Region == "north" {
				callers = append(callers, i)
			}
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	sent := map[model.BackendName][]model.Instant{}
	served := 0
	for id, now := model.RequestID(1), start; now < at(coldFor); id, now = id+1, now.Add(4*time.Millisecond) {
		d := fleet[callers[random.IntN(len(callers))]]
		if s, ok := arrive(d, now, id, fmt.Sprint(random.IntN(200))).(*Send); ok {
			sent[s.Server.ID] = append(sent[s.Server.ID], now)
			served++
			endAttempt(d, now, id, event.AttemptComplete)
		}
	}
	cold := testSettings("north").Cold
	bound := int(10*cold.Factor + cold.Slack)
	for id, times := range sent {
		for i := bound; i < len(times); i++ {
			require.GreaterOrEqual(t, times[i].Sub(times[i-bound]), time.Second, id)
		}
	}
	const arrived = float64(coldFor / (4 * time.Millisecond))
	require.Greater(t, float64(served)/arrived, 0.4)
}

// TestInstancesOutnumberConnections checks that all instances together stay within a
// server's connection limit if there are fewer connections than instances, and that each
// instance uses the servers of which it has one.
func TestInstancesOutnumberConnections(t *testing.T) {
	const instances, servers, limit = 78, 60, 20
	c := configuration(1, testRoute())
	c.Services[0].MaxConnections = limit
	fleet, _ := largeFleet(instances, c)
	connections := map[model.BackendName]int{}
	for _, d := range fleet {
		for i := range servers {
			listServer(d, fmt.Sprint("n-", i), []model.ZoneName{"north-a", "south-b"}[i%2])
		}
		d.Step(&Tick{At: start, InstancesKnownAt: start})
		served := 0
		for id := range model.RequestID(200) {
			if s, ok := arrive(d, start, id, fmt.Sprint(id)).(*Send); ok {
				connections[s.Server.ID]++
				served++
			}
		}
		require.NotZero(t, served)
	}
	for i := range servers {
		n := connections[model.BackendName(fmt.Sprint("n-", i))]
		require.LessOrEqual(t, n, limit)
		require.GreaterOrEqual(t, n, limit/2)
	}
}

// TestInstancesThatJoinStayWithinColdRate has instances that are added while the only server of a
// service is cold, beside one that does not know of them yet.
func TestInstancesThatJoinStayWithinColdRate(t *testing.T) {
	const coldFor = 3 * time.Second
	members := fleetMembers(3)
	c := configuration(1, testRoute())
	newInstance := func(i int, joined model.Instant, listed []pacing.Member) *Dispatcher {
		settings := testSettings(members[i].Region)
		settings.Self, settings.InstancesMaxAge, settings.StartedAt = members[i].ID, 7*time.Second, joined
		d := New(settings)
		d.Step(&InstancesCounted{At: joined, Instances: len(listed), Members: listed, RegionShare: 1})
		d.Step(&CatalogChanged{At: joined, Change: &catalog.ConfigurationChange{Configuration: c}})
		entry := testServer("cold", "north-a", "shop")
		entry.ColdLeft, entry.StartedMillis = coldFor, 2
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: entry}})
		d.Step(&Tick{At: start, InstancesKnownAt: start})
		return d
	}
	fleet := []*Dispatcher{
		newInstance(0, start.Add(-time.Minute), members[:1]),
		newInstance(1, start.Add(-time.Second), []pacing.Member{members[0], members[1]}),
		newInstance(2, start.Add(-time.Second), members[:1]), // its own entry is not in the list yet
	}
	var times []model.Instant
	for id, now := model.RequestID(1), start; now < at(coldFor); id, now = id+1, now.Add(10*time.Millisecond) {
		d := fleet[int(id)%len(fleet)]
		if _, ok := arrive(d, now, id, "k").(*Send); ok {
			times = append(times, now)
			endAttempt(d, now, id, event.AttemptComplete)
		}
	}
	cold := testSettings("north").Cold
	bound := int(10*cold.Factor + cold.Slack)
	require.GreaterOrEqual(t, len(times), bound, "the instance that is not new uses the server")
	for i := bound; i < len(times); i++ {
		require.GreaterOrEqual(t, times[i].Sub(times[i-bound]), time.Second)
	}
}

// TestReportOfALongAnswerDoesNotEndALaterColdTime has a server that turns cold while an answer is
// passed on whose head said that it is not.
func TestReportOfALongAnswerDoesNotEndALaterColdTime(t *testing.T) {
	d := newDispatcher(testRoute())
	sent := requireSend(t, arrive(d, start, 1, "k"))
	s := d.servers[sent.Server.ID]
	entry := *sent.Server
	entry.ColdLeft, entry.Sequence = 3*time.Second, entry.Sequence+1
	d.Step(&CatalogChanged{At: at(time.Second), Change: &catalog.ServerChange{Server: entry}})
	require.True(t, s.cold(at(time.Second)))
	warm := ServerReport{HasLoad: true, HasCold: true}
	d.Step(&AttemptEnded{At: at(2 * time.Second), Request: 1, Attempt: sent.Attempt, Result: event.AttemptComplete, HeadAt: at(100 * time.Millisecond), Report: warm})
	require.True(t, s.cold(at(2*time.Second)), "the head is older than the entry")
	require.False(t, s.cold(at(4*time.Second)))

	s.applyReport(at(3*time.Second), at(2500*time.Millisecond), &warm, 0)
	require.False(t, s.cold(at(3*time.Second)), "a later answer counts")
}
