package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// requireOneOwner checks that the running instances selected by among agree on the
// owner of every backend server and that only the owner uses it.
func requireOneOwner(t require.TestingT, c *cluster, among func(*node) bool) {
	for _, b := range c.text.Backends {
		var owner model.InstanceID
		users := 0
		for _, n := range c.nodes {
			if !n.running || !among(n) {
				continue
			}
			id, ok := n.group.Owner(b.Name)
			require.True(t, ok, "%s knows no owner of %s", n.id, b.Name)
			if owner == "" {
				owner = id
			}
			require.Equal(t, owner, id, "%s disagrees on the owner of %s", n.id, b.Name)
			for _, name := range n.group.Owned() {
				if name == b.Name {
					users++
					require.Equal(t, owner, n.id)
				}
			}
		}
		require.Equal(t, 1, users, "users of %s", b.Name)
	}
}

func allNodes(*node) bool { return true }

func TestSevenInstancesAgree(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	requireOneOwner(t, c, allNodes)
	for _, n := range c.nodes {
		require.Len(t, n.group.Peers(), 6)
		for _, p := range n.group.Peers() {
			require.Equal(t, HealthAlive, p.Health, "%s of %s", p.Record.ID, n.id)
			require.Equal(t, Ready, p.Record.State)
		}
		require.Len(t, n.group.Entries(nil), 7)
		require.Equal(t, n.zone, n.group.Entries([]model.ZoneName{n.zone})[0].Zone)
	}
}

func TestKilledInstanceIsReplacedWithinBound(t *testing.T) {
	for _, victim := range []model.InstanceID{"i0", "i3"} {
		c := sevenInstances(Settings{})
		c.run(5 * time.Second)
		c.kill(c.byID[victim])
		c.run(2900 * time.Millisecond)
		requireOneOwner(t, c, allNodes)
		for _, n := range c.nodes {
			if n.running {
				require.Len(t, n.group.Entries(nil), 6)
			}
		}
	}
}

func TestPausedInstanceStopsOwningBeforeOthersTakeOver(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	paused := c.byID["i0"]
	share := len(paused.group.Owned())
	require.NotZero(t, share)
	paused.paused = true
	c.run(2900 * time.Millisecond)
	requireOneOwner(t, c, func(n *node) bool { return n != paused })
	require.True(t, paused.group.OwnershipSuspended(c.now))

	c.resume(paused)
	c.apply(paused, paused.group.Tick(c.now))
	require.Empty(t, paused.group.Owned())
	requireNoDoubleOwner(t, c, 5*time.Second)
	requireOneOwner(t, c, allNodes)
	require.Len(t, paused.group.Owned(), share)
}

// requireNoDoubleOwner runs the cluster and checks at every tick that no two
// instances use the same backend server.
func requireNoDoubleOwner(t require.TestingT, c *cluster, d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.run(tickEvery)
		users := map[model.BackendName]model.InstanceID{}
		for _, n := range c.nodes {
			if !n.running || n.group.OwnershipSuspended(c.now) {
				continue
			}
			for _, b := range n.group.Owned() {
				require.Empty(t, users[b], "%s is used by %s too", b, n.id)
				users[b] = n.id
			}
		}
	}
}

func TestPlannedLeaveHandsOverAtOnce(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	leaving := c.byID["i0"]
	stop := []config.Stop{{ID: "1", Scope: config.StopInstance, Target: "i0"}}
	for _, n := range c.nodes {
		c.apply(n, n.group.Configure(c.now, c.text, stop))
	}
	require.Empty(t, leaving.group.Owned())
	requireNoDoubleOwner(t, c, 200*time.Millisecond)
	requireOneOwner(t, c, allNodes)
	require.Len(t, c.nodes[1].group.Entries(nil), 6)
}

func TestRestartedInstanceNeverSharesOwnership(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	n := c.byID["i0"]
	c.kill(n)
	c.run(300 * time.Millisecond)
	c.start(n, c.byID["i6"])
	requireNoDoubleOwner(t, c, 6*time.Second)
	requireOneOwner(t, c, allNodes)
}

func TestZoneCutOffAndHealed(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	inside := func(n *node) bool { return n.zone == zoneName(0) }
	c.partition(func(a, b *node) bool { return inside(a) != inside(b) })
	c.run(6 * time.Second)
	for _, n := range c.nodes {
		require.Len(t, n.group.Entries(nil), map[bool]int{true: 2, false: 5}[inside(n)])
	}
	c.partition(func(_, _ *node) bool { return false })
	c.run(6 * time.Second)
	requireOneOwner(t, c, allNodes)
}

func TestSingleBrokenLinkCausesNoDeath(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	a, b := c.byID["i0"], c.byID["i6"]
	c.partition(func(x, y *node) bool { return (x == a && y == b) || (x == b && y == a) })
	for range 100 {
		c.run(tickEvery)
		requireOneOwner(t, c, allNodes)
	}
	for _, n := range c.nodes {
		for _, note := range n.notes {
			require.NotEqual(t, "declared dead", note.Message)
		}
	}
}

func TestHigherRevisionIsFetched(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	c.byID["i3"].group.SetRevision(config.Order{Number: 7})
	c.run(200 * time.Millisecond)
	for _, n := range c.nodes {
		if n.id != "i3" {
			require.Equal(t, model.InstanceID("i3"), n.fetchFrom)
		}
	}
}

func TestSuspectsReachEveryone(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	suspect := Suspect{Fingerprint: 42, Servers: []model.BackendName{"b"}, Expires: c.now.Add(time.Minute)}
	c.byID["i2"].group.SetSuspects([]Suspect{suspect})
	c.run(600 * time.Millisecond)
	for _, n := range c.nodes {
		require.Len(t, n.group.suspects.list, 1)
	}
	c.run(time.Minute)
	for _, n := range c.nodes {
		require.Empty(t, n.group.suspects.list)
	}
}

func TestLoadsReachAllInstances(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	n := c.byID["i0"]
	n.group.SetLoads(c.now, []ServiceLoad{{Service: "web", Slots: 30, InUse: 12}})
	c.run(2 * time.Second)
	for _, other := range c.nodes {
		owners := other.group.Owners("web", zoneName(0))
		require.Len(t, owners, 2)
		require.True(t, owners[0].Reachable)
		require.Equal(t, 12, owners[0].Load.InUse)
		require.Less(t, owners[0].LoadAge, time.Second)
		_, _, ok := other.group.ZoneLoad(zoneName(1), "web")
		require.False(t, ok)
	}
}

func TestSilentLinkIsReplaced(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	a, b := c.byID["i0"], c.byID["i6"]
	c.silence(func(x, y *node) bool { return (x == a && y == b) || (x == b && y == a) })
	for range 60 {
		c.run(tickEvery)
		requireOneOwner(t, c, allNodes)
	}
	require.True(t, a.links[b.id])
	require.False(t, a.silenced[b.id])
	require.NotContains(t, c.log.String(), "declared dead")
}

func TestListedInstancesAreContacted(t *testing.T) {
	c := newCluster(testText(2, 4), Settings{})
	a := c.add("a", zoneName(0))
	b := c.add("b", zoneName(1))
	list := []platform.ListedInstance{
		{ID: "a", Zone: a.zone, LinkAddr: "addr-a"},
		{ID: "b", Zone: b.zone, LinkAddr: "addr-b"},
		{Backend: "r00-a-web-000"},
	}
	c.apply(a, a.group.SetListed(c.now, list))
	c.run(4 * time.Second)
	requireOneOwner(t, c, allNodes)

	list = append(list, platform.ListedInstance{ID: "c", Zone: b.zone, LinkAddr: "addr-c"})
	c.apply(a, a.group.SetListed(c.now, list))
	require.Len(t, a.group.Peers(), 2)
	list = list[:3]
	c.apply(a, a.group.SetListed(c.now, list))
	require.Len(t, a.group.Peers(), 1, "c is not listed any more")

	list[1].Leaving = true
	c.apply(a, a.group.SetListed(c.now, list))
	require.Len(t, a.group.Entries(nil), 1, "the list marks b as leaving")
	c.apply(b, b.group.SetListed(c.now, list))
	require.Equal(t, Leaving, b.group.Self().State)
	c.run(time.Second)
	requireOneOwner(t, c, allNodes)
}

func TestNewerProcessSupersedesOlder(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	old := c.byID["i0"]
	newer := Record{ID: "i0", Zone: old.zone, State: Ready, Incarnation: old.incarnation + 1, Sequence: 1}
	c.apply(old, old.group.Receive(c.now, "i6", &Message{From: "i6", Incarnation: uint64(testStart), Records: []Record{newer}}))
	require.Empty(t, old.group.Owned())
	require.Equal(t, Leaving, old.group.Self().State)
}

func TestRestartWithAClockSetBack(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(5 * time.Second)
	n := c.byID["i0"]
	c.kill(n)
	for _, peer := range c.nodes {
		peer.group.member("i0").record.Incarnation += uint64(time.Hour)
	}
	c.start(n, c.byID["i5"])
	requireNoDoubleOwner(t, c, 6*time.Second)
	requireOneOwner(t, c, allNodes)
	require.Contains(t, c.log.String(), "raised its incarnation")
}

func TestDeadAndLeftAreRemoved(t *testing.T) {
	c := newCluster(testText(1, 4), Settings{RetainDead: 10 * time.Second})
	a := c.add("a", zoneName(0))
	b := c.add("b", zoneName(0), a)
	d := c.add("d", zoneName(0), a)
	c.run(4 * time.Second)
	c.kill(b)
	c.apply(d, d.group.SetState(c.now, Left))
	c.run(time.Second)
	c.kill(d)
	c.run(5 * time.Second)
	require.Equal(t, []Health{HealthDead, HealthLeft}, []Health{a.group.Peers()[0].Health, a.group.Peers()[1].Health})
	c.run(10 * time.Second)
	require.Empty(t, a.group.Peers())
	require.Empty(t, a.opened)
	requireOneOwner(t, c, allNodes)
}
