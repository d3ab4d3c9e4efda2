package dispatch

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// localShareFactor is the share of a service's requests that a region keeps, as a multiple
// of its capacity per demand compared with all regions. A higher factor keeps more requests
// near their callers; a lower one evens out the load of the servers.
const localShareFactor = 1.2

// capacity is what a region has of a service and what it is asked for.
type capacity struct {
	localServers, otherServers int
	// demand is the region's share of all requests.
	demand float64
}

// localShare returns the share of the region's requests that its own servers should take.
func (c capacity) localShare() float64 {
	all := float64(c.localServers + c.otherServers)
	return min(1, localShareFactor*float64(c.localServers)/(all*c.demand))
}

// distance returns the placement cost of a server in another region, so that about
// localShare of the objects have their first candidate in the region itself. The cost of
// the best of n servers is nearly exponentially distributed with mean spread/n, where
// spread is the placement cost at the highest hash score.
func (c capacity) distance(spread time.Duration) time.Duration {
	if c.localServers == 0 || c.otherServers == 0 || c.demand <= 0 {
		return regionRoundTrip
	}
	away := 1 - c.localShare()
	if away <= 0 {
		return regionRoundTrip
	}
	local, other := float64(c.localServers), float64(c.otherServers)
	evenAway := other / (local + other)
	if away >= evenAway {
		return 0
	}
	return min(regionRoundTrip, scale(spread, math.Log(evenAway/away)/local))
}

// countCapacity counts the servers of a service. It leaves out only those that the
// platform's store says leave or are in an evacuated zone, and not those that fail: all
// instances of a region have to agree on first candidates, and each sees other failures.
func (d *Dispatcher) countCapacity(name model.ServiceName) capacity {
	c := capacity{demand: d.demandShare}
	for _, s := range d.byService[name] {
		switch {
		case s.leaves(), d.evacuations.active[s.entry.Zone]:
		case s.region == d.settings.Region:
			c.localServers++
		default:
			c.otherServers++
		}
	}
	return c
}

// balanceRegions counts the services' capacity anew if it may have changed since the last
// tick. The count takes time in proportion to the number of servers.
func (d *Dispatcher) balanceRegions() {
	if !d.capacityStale {
		return
	}
	d.capacityStale = false
	for name, s := range d.services {
		s.capacity = d.countCapacity(name)
	}
}
