package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func everything(string, Row) bool { return true }

// TestReplicasOfPeersAgree lets one instance read the store and two others learn from
// it in a chain, while only some rows matter.
func TestReplicasOfPeersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		matters := func(_ string, r Row) bool { return r.Key != "beat" }
		reader := NewReplica([]string{"t"}, matters)
		chain := []*Replica{reader, NewReplica([]string{"t"}, matters), NewReplica([]string{"t"}, matters)}
		version := int64(1)
		reader.Read(1, Batch{Table: "t", Version: version, Full: true})
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			version++
			r := row(rapid.SampledFrom([]string{"a", "b", "beat"}).Draw(t, "key"), version)
			r.Deleted = r.Key != "beat" && rapid.Bool().Draw(t, "deleted")
			reader.Read(model.Instant(step), Batch{Table: "t", Version: version, Rows: []Row{r}})
			for i := 1; i < len(chain); i++ {
				if chain[i-1].Revision() > chain[i].Revision() && rapid.Bool().Draw(t, "learn") {
					chain[i].Learn(model.Instant(step), chain[i-1].Since("t", chain[i].Known()["t"]))
					require.Equal(t, chain[i-1].Revision(), chain[i].Revision())
					require.Equal(t, live(chain[i-1].shared), live(chain[i].shared))
				}
			}
		}
	})
}

func TestFreshnessTravelsWithEqualRevisions(t *testing.T) {
	second := model.Instant(time.Second)
	reader, peer := NewReplica([]string{"t"}, everything), NewReplica([]string{"t"}, everything)
	require.Greater(t, peer.OldestAge(second), time.Hour)
	reader.Read(second, Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 4)}})
	peer.Confirm(second, reader.Revision())
	require.Greater(t, peer.OldestAge(second), time.Hour, "it knows nothing yet")
	peer.Learn(second, reader.Since("t", 0))
	require.Equal(t, time.Second, peer.OldestAge(2*second))
	peer.Confirm(2*second, reader.Revision())
	require.Zero(t, peer.OldestAge(2*second))
	reader.Read(3*second, Batch{Table: "t", Version: 5, Rows: []Row{row("a", 5)}})
	peer.Confirm(3*second, reader.Revision())
	require.Equal(t, time.Second, peer.OldestAge(3*second), "the peer knows more")
}

// TestPeersDoNotKeepOneAnotherFresh: after the last reader has lost the store, peers go
// on telling one another how old their copies are, with a delay on each way.
func TestPeersDoNotKeepOneAnotherFresh(t *testing.T) {
	const peers, delay, every = 8, 60 * time.Millisecond, 50 * time.Millisecond
	var fleet [peers]*Replica
	now := model.Instant(time.Minute)
	for i := range fleet {
		fleet[i] = NewReplica([]string{"t"}, everything)
		fleet[i].Read(now, Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 4)}})
	}
	lost := now
	for i := range 400 { // one message every so often, each to the next peer
		from, to := fleet[i%peers], fleet[(i+1)%peers]
		age := from.OldestAge(now)
		to.Confirm(now.Add(delay-age-TransitAllowance), from.Revision()) // as received
		now = now.Add(max(delay, every))
	}
	for _, r := range fleet {
		require.GreaterOrEqual(t, r.OldestAge(now), now.Sub(lost))
	}
}
