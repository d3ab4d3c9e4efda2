package membership

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func strikeAt(d time.Duration, servers ...model.BackendName) Suspect {
	return Suspect{Fingerprint: 1, Servers: servers, Expires: testStart.Add(time.Hour + d)}
}

// TestFailuresAtOneMomentAreNotAddedUpByRelays has a network failure beneath a request that two
// instances sent, and a third instance that hears of it from both.
func TestFailuresAtOneMomentAreNotAddedUpByRelays(t *testing.T) {
	a, b := strikeAt(0, "s1"), strikeAt(100*time.Millisecond, "s2")
	var relayed suspectSet
	require.True(t, relayed.add(&a))
	require.True(t, relayed.add(&b))
	known := relayed.list[0].Suspect
	require.False(t, known.Blocked())
	require.True(t, known.Doubtful())
	c := Suspect{Fingerprint: 1}
	c.Combine(&known)
	require.False(t, c.Blocked())
	require.True(t, c.Doubtful())

	later := strikeAt(5*time.Second, "s3")
	require.True(t, relayed.add(&later))
	require.True(t, relayed.list[0].Blocked(), "a failure at another moment")
}

// TestAnsweredRequestLosesItsStrikeEverywhere covers a sound request that ran on a server that
// crashed for another reason.
func TestAnsweredRequestLosesItsStrikeEverywhere(t *testing.T) {
	struck := strikeAt(0, "s1")
	cleared := struck.clone()
	cleared.Clear()
	var peer suspectSet
	peer.add(&struck)
	require.True(t, peer.add(&cleared))
	require.True(t, peer.list[0].Cleared())
	require.False(t, peer.add(&struck), "an old message restores nothing")
	late := strikeAt(300*time.Millisecond, "s1")
	require.False(t, peer.add(&late), "nor one that was on its way for longer")
	later := strikeAt(time.Minute, "s2")
	require.True(t, peer.add(&later))
	require.Equal(t, later.Servers, peer.list[0].Servers)

	other := strikeAt(300*time.Millisecond, "s1")
	require.True(t, other.Combine(&cleared), "the strike was on its way for longer than the answer")
	require.True(t, other.Cleared())

	blocked := strikeAt(2*time.Second, "s1", "s2")
	require.False(t, blocked.Combine(&cleared), "a block stands")
	require.True(t, blocked.Blocked())
}

// crowd returns requests with one strike each, a second apart.
func crowd(n int) []Suspect {
	var list []Suspect
	for i := range n {
		list = append(list, Suspect{
			Fingerprint: uint64(1000 + i), Servers: []model.BackendName{"s1"}, Expires: testStart.Add(time.Hour + time.Duration(i)*time.Second),
		})
	}
	return list
}

// TestNewSuspectReachesPeersBesideManyOthers guards against a request that crashes a server at
// each instance, because they can tell one another of no more suspects.
func TestNewSuspectReachesPeersBesideManyOthers(t *testing.T) {
	const poison = 1
	now := testStart
	for _, n := range []int{200, 400, 3000} {
		var own, peer suspectSet
		blocked := Suspect{Fingerprint: 2, Servers: []model.BackendName{"s1", "s2"}, Expires: now.Add(time.Minute)}
		own.add(&blocked)
		for _, s := range crowd(n) {
			own.add(&s)
		}
		peer.merge(own.since(0), now)
		known := own.generation
		struck := Suspect{Fingerprint: poison, Servers: []model.BackendName{"s1"}, Expires: now.Add(2 * time.Hour)}
		require.True(t, own.add(&struck), "%d suspects", n)
		require.Len(t, peer.merge(own.since(known), now), 1, "%d suspects", n)
		later := Suspect{Fingerprint: poison, Servers: []model.BackendName{"s2"}, Expires: now.Add(2*time.Hour + time.Minute)}
		require.True(t, peer.add(&later))
		at, _ := peer.find(poison)
		require.True(t, peer.list[at].Blocked())
		_, kept := peer.find(blocked.Fingerprint)
		require.True(t, kept, "a block is forgotten last")
		require.LessOrEqual(t, len(peer.list), MaxSuspects)
		require.True(t, slices.IsSortedFunc(peer.list, func(a, b suspectEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }))
	}
}

// TestInstancesForgetTheSameSuspects has instances that learn of more suspects than they keep,
// in different orders.
func TestInstancesForgetTheSameSuspects(t *testing.T) {
	list := crowd(2 * MaxSuspects)
	var a, b suspectSet
	for i := range list {
		a.add(&list[i])
		b.add(&list[len(list)-1-i])
	}
	fingerprints := func(s *suspectSet) []uint64 {
		return lo.Map(s.list, func(e suspectEntry, _ int) uint64 { return e.Fingerprint })
	}
	require.Equal(t, fingerprints(&a), fingerprints(&b))
}
