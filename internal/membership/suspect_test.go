package membership

import (
	"testing"
	"time"

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
