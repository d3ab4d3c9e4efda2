package edge

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// region returns a region's instances: fast ones with links of 200 Mbit/s, and slow ones with
// links of 10 Mbit/s.
func region(fast, slow int) []catalog.Instance {
	var list []catalog.Instance
	for i := range fast + slow {
		instance := catalog.Instance{ID: model.InstanceID(fmt.Sprint("edge-", i)), BandwidthMbit: 200, CPUs: 0.8}
		if i >= fast {
			instance.BandwidthMbit, instance.CPUs = 10, 0.4
		}
		list = append(list, instance)
	}
	return list
}

// loads returns the load of each instance if callers spread over the instances that their
// lookups name.
func loads(list []catalog.Instance, total float64, callers int) []float64 {
	shares := relativeCapacities(list)
	load := make([]float64, len(list))
	for c := range callers {
		variant := variantOf(&Lookup{Caller: fmt.Sprint("10.9.0.", c), Host: "shop.example"})
		var named []int
		for i, instance := range list {
			if namedIn(variant, instance.ID, shares[i]) {
				named = append(named, i)
			}
		}
		for _, i := range named {
			load[i] += total / float64(callers) / float64(len(named))
		}
	}
	return load
}

// TestUploadBurstStaysBelowSlowLinks replays a burst of uploads at a region with slow and fast
// links. With equal shares the slow links would carry 15 Mbit/s each way, and new connections
// to backend servers would time out behind their queues.
func TestUploadBurstStaysBelowSlowLinks(t *testing.T) {
	const burstMbit = 165
	list := region(4, 7)
	for i, load := range loads(list, burstMbit, 1000) {
		require.Less(t, load, list[i].BandwidthMbit/2, "%s", list[i].ID)
	}
}

// TestSlowInstancesServeWhileFastOnesAreDown: capacities count relative to the instances in use.
func TestSlowInstancesServeWhileFastOnesAreDown(t *testing.T) {
	for _, load := range loads(region(0, 7), 70, 1000) {
		require.InDelta(t, 10, load, 0.01)
	}
}

// TestInstancesWithoutCapacityShareEqually: instances of an earlier release state none.
func TestInstancesWithoutCapacityShareEqually(t *testing.T) {
	require.Equal(t, []float64{1, 1, 1}, relativeCapacities(make([]catalog.Instance, 3)))
	known := region(1, 1)
	require.Equal(t, []float64{1, 0.05, 1}, relativeCapacities(append(known, catalog.Instance{ID: "unknown"})))
}

// TestEveryInstanceIsNamedByItsShare checks each answer and each instance of random fleets.
func TestEveryInstanceIsNamedByItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := region(rapid.IntRange(0, 12).Draw(rt, "fast"), rapid.IntRange(1, 100).Draw(rt, "slow"))
		for i := range list {
			list[i].BandwidthMbit *= rapid.Float64Range(0, 3).Draw(rt, "factor")
		}
		shares := relativeCapacities(list)
		var answers [lookupVariants]int
		for i, instance := range list {
			named := 0
			for variant := range lookupVariants {
				if namedIn(variant, instance.ID, shares[i]) {
					named++
					answers[variant]++
				}
			}
			require.GreaterOrEqual(rt, named, 1)
			require.InDelta(rt, math.Max(1, shares[i]*lookupVariants), float64(named), 1)
		}
		for variant, n := range answers {
			require.Positive(rt, n, "variant %d", variant)
		}
	})
}
