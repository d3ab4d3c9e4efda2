package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// settleTime is longer than the longest suspicion, hold-down, hold and probe
// together.
const settleTime = 20 * time.Second

// TestFaultsThenQuiescence injects random faults and checks that, after they have
// ended, all instances agree on one owner for each backend server and have adopted
// the highest revision.
func TestFaultsThenQuiescence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sevenInstances(Settings{})
		c.fetches = true
		c.run(5 * time.Second)
		step := func() { c.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * tickEvery) }
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			n := drawNode(t, c)
			switch rapid.SampledFrom([]string{"restart", "pause", "cut", "silence", "heal", "revision"}).Draw(t, "fault") {
			case "restart":
				c.kill(n)
				step()
				c.start(n, drawNode(t, c))
			case "pause":
				n.paused = true
				step()
				c.resume(n)
			case "cut":
				c.partition(drawCut(t))
			case "silence":
				c.silence(drawCut(t))
			case "heal":
				c.partition(noCut)
			case "revision":
				next := config.Order{Restores: n.group.revision.Restores, AcceptedAt: c.now, Number: n.group.revision.Number + 1}
				if rapid.Bool().Draw(t, "restored") {
					next.Restores, next.Number = next.Restores+1, 1
				}
				n.group.SetRevision(next)
			}
			step()
		}
		c.partition(noCut)
		c.run(settleTime)
		requireOneOwner(t, c, allNodes)
		requireHighestRevisionFetched(t, c)
	})
}

func drawNode(t *rapid.T, c *cluster) *node {
	return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
}

func noCut(_, _ *node) bool { return false }

// drawCut separates a random set of instances from the others.
func drawCut(t *rapid.T) func(a, b *node) bool {
	side := map[model.InstanceID]bool{}
	for i := range 7 {
		side[model.InstanceID(fmt.Sprintf("i%d", i))] = rapid.Bool().Draw(t, "side")
	}
	return func(a, b *node) bool { return side[a.id] != side[b.id] }
}

func requireHighestRevisionFetched(t require.TestingT, c *cluster) {
	var highest config.Order
	for _, n := range c.nodes {
		if n.group.revision.After(highest) {
			highest = n.group.revision
		}
	}
	for _, n := range c.nodes {
		require.Equal(t, highest, n.group.revision, "revision of %s", n.id)
	}
}

// TestEachSideOfACutHasOneOwner checks that, during a partition, the instances of each
// side agree on the owners.
func TestEachSideOfACutHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sevenInstances(Settings{})
		c.run(5 * time.Second)
		cut := drawCut(t)
		if rapid.Bool().Draw(t, "silent") {
			c.silence(cut)
			c.cut = cut
		} else {
			c.partition(cut)
		}
		c.run(settleTime)
		for _, n := range c.nodes {
			requireAgreement(t, c, func(other *node) bool { return !cut(n, other) })
		}
	})
}

// requireAgreement checks that the instances of one connected part agree on the
// owners and that all owners are inside the part.
func requireAgreement(t require.TestingT, c *cluster, part func(*node) bool) {
	for _, b := range c.text.Backends {
		var named *node
		var owner model.InstanceID
		for _, n := range c.nodes {
			if !part(n) {
				continue
			}
			id, ok := n.group.Owner(b.Name)
			if named == nil {
				named, owner = n, id
			}
			require.Equal(t, owner, id, "%s and %s on %s", named.id, n.id, b.Name)
			require.True(t, !ok || part(c.byID[id]), "%s names %s across the cut", n.id, id)
		}
	}
}

// takeoverBound is the longest time from the death or the start of a pause of an
// instance until others own its backend servers and lookups no longer return it.
const takeoverBound = 3 * time.Second

func requireTakeover(t require.TestingT, c *cluster, gone *node, away time.Duration) {
	if away < takeoverBound-tickEvery {
		return
	}
	requireOneOwner(t, c, func(n *node) bool { return n != gone })
	for _, n := range c.nodes {
		if n == gone {
			continue
		}
		for _, entry := range n.group.Entries(nil) {
			require.NotEqual(t, gone.id, entry.Instance, "lookups at %s", n.id)
		}
	}
}

// TestKillsAndPausesNeverShareOwnership checks at every tick that, without link
// faults, no two running instances use the same backend server.
func TestKillsAndPausesNeverShareOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sevenInstances(Settings{})
		requireNoDoubleOwner(t, c, 5*time.Second)
		n := drawNode(t, c)
		away := time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tickEvery
		if rapid.Bool().Draw(t, "kill") {
			c.kill(n)
			requireNoDoubleOwner(t, c, away)
			requireTakeover(t, c, n, away)
			c.start(n, drawNode(t, c))
		} else {
			n.paused = true
			requireNoDoubleOwner(t, c, away)
			requireTakeover(t, c, n, away)
			c.resume(n)
		}
		requireNoDoubleOwner(t, c, 8*time.Second)
		requireOneOwner(t, c, allNodes)
	})
}
