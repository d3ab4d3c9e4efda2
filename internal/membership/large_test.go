package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeZoneSeeds is the number of random sessions of TestFaultsInLargeZones.
const largeZoneSeeds = 8

// TestFaultsInLargeZones injects random faults in zones so large that instances
// exchange messages with only a few peers of their zone, and checks that all instances
// agree after the faults have ended.
func TestFaultsInLargeZones(t *testing.T) {
	for seed := range uint64(largeZoneSeeds) {
		c := zonesOf(2, 14)
		c.run(5 * time.Second)
		random := rand.New(rand.NewPCG(seed, 0))
		for range 6 {
			c.randomFault(random)
			c.run(time.Duration(1+random.IntN(40)) * tickEvery)
		}
		c.partition(noCut)
		for _, n := range c.nodes {
			c.resume(n)
		}
		c.run(settleTime)
		t.Logf("seed %d", seed)
		requireOneOwner(t, c, allNodes)
		for _, n := range c.nodes {
			require.Len(t, n.group.Peers(), len(c.nodes)-1)
		}
	}
}

func (c *cluster) randomFault(random *rand.Rand) {
	n, other := c.nodes[random.IntN(len(c.nodes))], c.nodes[random.IntN(len(c.nodes))]
	switch random.IntN(5) {
	case 0:
		c.kill(n)
		c.run(time.Duration(random.IntN(40)) * tickEvery)
		c.start(n, other)
	case 1:
		n.paused = true
	case 2:
		c.resume(n)
	case 3:
		c.partition(func(a, b *node) bool { return (a.zone == n.zone) != (b.zone == n.zone) })
	case 4:
		c.silence(func(a, b *node) bool { return a == n || b == n })
	}
}
