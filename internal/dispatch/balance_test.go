package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// unevenDispatcher returns a dispatcher in the region north, which has few servers of the
// service "shop" and receives a third of the requests.
func unevenDispatcher(local, other int) *Dispatcher {
	d := newDispatcher(testRoute())
	d.Step(&InstancesCounted{At: start, Instances: 3, RegionShare: 1.0 / 3})
	for zone := range regions {
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerRemoved{ID: model.BackendName("shop-" + zone)}})
	}
	for i := range local {
		listServer(d, fmt.Sprint("n-", i), "north-a")
	}
	for i := range other {
		listServer(d, fmt.Sprint("s-", i), "south-a")
	}
	d.Step(&Tick{At: start})
	return d
}

func listServer(d *Dispatcher, id string, zone model.ZoneName) {
	d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: testServer(id, zone, "shop")}})
}

// localFirst returns the share of objects whose first candidate is in the region.
func localFirst(d *Dispatcher) float64 {
	const objects = 4000
	local := 0
	for i := range objects {
		q := &request{route: &d.config.Routes[0], service: "shop", sticky: true, objective: 500 * time.Millisecond, object: objectHash(&d.config.Routes[0], fmt.Sprint(i), "")}
		if d.candidatesFor(start, q)[0].region == "north" {
			local++
		}
	}
	return float64(local) / objects
}

// TestSmallRegionKeepsWhatItsServersCanTake replays the load of a region that receives a
// third of the requests and has a ninth of the servers: sent to its own servers first, they
// are asked for three times their part while the other regions' idle.
func TestSmallRegionKeepsWhatItsServersCanTake(t *testing.T) {
	d := unevenDispatcher(8, 64)
	require.InDelta(t, localShareFactor/3, localFirst(d), 0.08)
}

func TestLargeRegionKeepsItsRequests(t *testing.T) {
	require.Greater(t, localFirst(unevenDispatcher(40, 60)), 0.97)
}

// TestCapacityFollowsServersInUse lists, drains and evacuates servers.
func TestCapacityFollowsServersInUse(t *testing.T) {
	d := unevenDispatcher(8, 64)
	require.Equal(t, capacity{localServers: 8, otherServers: 64, demand: 1.0 / 3}, d.service("shop").capacity)
	d.Step(&CatalogChanged{At: start, Change: &catalog.EvacuationChange{Zone: "south-a", Active: true}})
	d.Step(&Tick{At: at(time.Second)})
	require.Equal(t, 0, d.service("shop").capacity.otherServers)
	require.Equal(t, regionRoundTrip, d.service("shop").capacity.distance(time.Second))
}

func TestDistanceIsBounded(t *testing.T) {
	for local := range 20 {
		for other := range 20 {
			for _, demand := range []float64{0, 0.01, 0.3, 1} {
				c := capacity{localServers: local, otherServers: other, demand: demand}
				got := c.distance(400 * time.Millisecond)
				require.GreaterOrEqual(t, got, time.Duration(0), "%+v", c)
				require.LessOrEqual(t, got, regionRoundTrip, "%+v", c)
			}
		}
	}
}

// TestEvacuationBeforeConfiguration replays a store whose configuration cannot be read yet
// while an evacuation starts and ends.
func TestEvacuationBeforeConfiguration(t *testing.T) {
	d := New(testSettings("north"))
	listServer(d, "n-0", "north-a")
	for _, active := range []bool{true, false} {
		d.Step(&CatalogChanged{At: start, Change: &catalog.EvacuationChange{Zone: "north-a", Active: active}})
		d.Step(&Tick{At: start})
	}
	requireRefuse(t, arrive(d, start, 1, "7"), model.NotRun, model.CauseNoConfiguration)
}

// BenchmarkChooseFirst measures the first choice of a server for a bucket of objects by the
// size of the service.
func BenchmarkChooseFirst(b *testing.B) {
	for _, servers := range []int{50, 447, 4500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d := unevenDispatcher(servers/6, servers-servers/6)
			q := &request{
				route: &d.config.Routes[0], service: "shop", sticky: true, objective: 500 * time.Millisecond,
				runTimes: d.service("shop").runTimesOf(&d.config.Routes[0]),
			}
			for i := 0; b.Loop(); i++ {
				if i%placementBuckets == 0 {
					clear(d.service("shop").placement.buckets)
				}
				q.object = uint64(i)
				d.choose(start, q)
			}
		})
	}
}

// BenchmarkTick measures a tick by the number of servers.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{50, 447, 4500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d := unevenDispatcher(servers/6, servers-servers/6)
			for b.Loop() {
				d.Step(&Tick{At: start})
			}
		})
	}
}

// BenchmarkChoose measures the choice of a server by the size of its service, for objects
// whose buckets are in use.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{50, 447, 4500} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d := unevenDispatcher(servers/6, servers-servers/6)
			q := &request{
				route: &d.config.Routes[0], service: "shop", sticky: true, objective: 500 * time.Millisecond,
				runTimes: d.service("shop").runTimesOf(&d.config.Routes[0]),
			}
			for bucket := range uint64(placementBuckets) {
				q.object = bucket
				d.choose(start, q)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.object = uint64(i) * 0x9e3779b97f4a7c15
				d.choose(start, q)
			}
		})
	}
}
