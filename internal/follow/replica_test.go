package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func allSignificant(string, Row) bool { return true }

// history is a table whose versions also serve as times.
type history struct{ rows []Row }

func (h *history) write(r Row) { h.rows = append(h.rows, r) }

func (h *history) version() int64 { return int64(len(h.rows)) }

func (h *history) after(version int64) Batch {
	return Batch{Table: "t", Version: h.version(), Full: version == 0, Rows: latest(h.rows[version:], version == 0)}
}

// at returns the significant rows of the table at a version.
func (h *history) at(version int64) []Row {
	return latest(h.rows[:version], true, "heartbeat")
}

// latest returns the newest row of each key, in key order. It omits deleted rows if live is
// set, and the rows of a key given in without.
func latest(rows []Row, live bool, without ...string) []Row {
	last := NewCache()
	last.Apply(Batch{Table: "t", Rows: nil})
	for _, r := range rows {
		last.Apply(Batch{Table: "t", Version: r.Version, Rows: []Row{r}})
	}
	var list []Row
	for _, r := range last.Since("t", 0).Rows {
		if (!live || !r.Deleted) && (len(without) == 0 || r.Key != without[0]) {
			list = append(list, r)
		}
	}
	return list
}

// TestReplicasConverge lets instances read a table and exchange changes at random times and
// in random order, while some rows are not significant. Each copy must be as complete and as
// recent as it claims.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		significant := func(_ string, r Row) bool { return r.Key != "heartbeat" }
		store := &history{}
		store.write(Row{Key: "heartbeat", Version: 1})
		fleet := make([]*Replica, 4)
		for i := range fleet {
			fleet[i] = NewReplica([]string{"t"}, significant)
		}
		member := rapid.IntRange(0, len(fleet)-1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			to := fleet[member.Draw(t, "to")]
			switch rapid.SampledFrom([]string{"write", "read", "gossip"}).Draw(t, "step") {
			case "write":
				r := row(rapid.SampledFrom([]string{"a", "b", "heartbeat"}).Draw(t, "key"), store.version()+1)
				r.Deleted = r.Key != "heartbeat" && rapid.Bool().Draw(t, "deleted")
				store.write(r)
			case "read":
				to.ApplyStoreBatch(model.Instant(store.version()), store.after(to.Version("t")))
			case "gossip":
				from := fleet[member.Draw(t, "from")]
				for _, d := range from.Digests() {
					if from != to && !to.Confirm(d) {
						to.ApplyPeerBatch(d.FreshAt, from.Since("t", to.Version("t")))
						require.True(t, to.Confirm(d), "all of the peer's changes have been applied")
					}
				}
			}
			complete, fresh := to.Version("t"), int64(to.FreshAt("t"))
			require.Equal(t, store.at(complete), live(to.shared))
			require.Equal(t, store.at(max(fresh, complete)), store.at(complete), "up to date at %d", fresh)
		}
	})
}

func TestConfirmTransfersFreshnessBetweenEqualCopies(t *testing.T) {
	second := model.Instant(time.Second)
	reader, peer := NewReplica([]string{"t"}, allSignificant), NewReplica([]string{"t"}, allSignificant)
	require.Greater(t, peer.OldestAge(second), time.Hour)
	reader.ApplyStoreBatch(second, Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 4)}})
	require.False(t, peer.Confirm(reader.Digests()[0]))
	require.Greater(t, peer.OldestAge(second), time.Hour, "the table is still unknown")
	peer.ApplyPeerBatch(second, reader.Since("t", 0))
	require.Equal(t, time.Second, peer.OldestAge(2*second))
	reader.ApplyStoreBatch(2*second, Batch{Table: "t", Version: 9})
	require.True(t, peer.Confirm(reader.Digests()[0]), "no significant change")
	require.Zero(t, peer.OldestAge(2*second))
	reader.ApplyStoreBatch(3*second, Batch{Table: "t", Version: 10, Rows: []Row{row("a", 10)}})
	require.False(t, peer.Confirm(reader.Digests()[0]))
	require.Equal(t, time.Second, peer.OldestAge(3*second), "the reader has a later change")
}

// TestCopiesReadAtDifferentTimesConfirmEachOther guards against copies that request changes
// needlessly. One instance read a significant row when it was new, the other only a later
// heartbeat of the same row; neither lacks a change.
func TestCopiesReadAtDifferentTimesConfirmEachOther(t *testing.T) {
	seen := map[string]bool{}
	firstSight := func(_ string, r Row) bool {
		defer func() { seen[r.Key] = true }()
		return !seen[r.Key]
	}
	early := NewReplica([]string{"t"}, firstSight)
	early.ApplyStoreBatch(1, Batch{Table: "t", Version: 5, Full: true, Rows: []Row{row("a", 5)}})
	clear(seen)
	late := NewReplica([]string{"t"}, firstSight)
	late.ApplyStoreBatch(2, Batch{Table: "t", Version: 8, Full: true, Rows: []Row{row("a", 8)}})
	require.True(t, late.Confirm(early.Digests()[0]))
	early.ApplyStoreBatch(3, Batch{Table: "t", Version: 9, Rows: []Row{row("a", 9)}})
	require.True(t, late.Confirm(early.Digests()[0]))
	require.EqualValues(t, 3, late.FreshAt("t"))
	require.True(t, early.Confirm(late.Digests()[0]))
}

// TestPeersDoNotRefreshEachOther guards against copies that look more recent than the last
// read of the store. After the last reader has lost the store, peers keep exchanging the ages
// of their copies; messages are delayed, and one peer is frozen for a long time with messages
// waiting.
func TestPeersDoNotRefreshEachOther(t *testing.T) {
	const peers, every, frozen = 8, 50 * time.Millisecond, 3 * time.Second
	type message struct {
		digest Digest
		sentAt int64
		echo   int64
		held   time.Duration
		age    time.Duration
	}
	now := model.Instant(time.Minute)
	var fleet [peers]*Replica
	var echoes [peers]*Echoes
	name := func(i int) model.InstanceID { return model.InstanceID(fmt.Sprint(i)) }
	for i := range fleet {
		fleet[i], echoes[i] = NewReplica([]string{"t"}, allSignificant), NewEchoes()
		fleet[i].ApplyStoreBatch(now, Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 4)}})
	}
	lostAt := now
	inbox := make([]map[int][]message, peers)
	for i := range inbox {
		inbox[i] = map[int][]message{}
	}
	for round := range 200 {
		for i := range fleet {
			isFrozen := i == 3 && round%100 < int(frozen/every)
			for from, waiting := range inbox[i] {
				if isFrozen {
					break
				}
				for _, m := range waiting {
					echoes[i].Received(now, name(from), m.sentAt)
					if sent, ok := EarliestSendTime(m.echo, m.held); ok {
						m.digest.FreshAt = sent.Add(-m.age)
						fleet[i].Confirm(m.digest)
					}
				}
				delete(inbox[i], from)
			}
			require.GreaterOrEqual(t, fleet[i].OldestAge(now), now.Sub(lostAt))
			for _, to := range []int{(i + 1) % peers, (i + peers - 1) % peers} {
				if isFrozen {
					continue
				}
				echo, held := echoes[i].Echo(now, name(to))
				d := fleet[i].Digests()[0]
				inbox[to][i] = append(inbox[to][i], message{digest: d, sentAt: int64(now), echo: echo, held: held, age: now.Sub(d.FreshAt)})
			}
		}
		now = now.Add(every)
	}
}

// TestDeletionsBeforeSnapshotReachPeers guards against deleted rows that stay in a peer's
// copy. One instance knows a row; another reads the whole table after the row was deleted, so
// it has no record of the row or its deletion.
func TestDeletionsBeforeSnapshotReachPeers(t *testing.T) {
	early, late := NewReplica([]string{"t"}, allSignificant), NewReplica([]string{"t"}, allSignificant)
	early.ApplyStoreBatch(1, Batch{Table: "t", Version: 1, Full: true, Rows: []Row{row("a", 1)}})
	late.ApplyStoreBatch(2, Batch{Table: "t", Version: 2, Full: true})
	require.False(t, early.Confirm(late.Digests()[0]))
	require.Equal(t, []Row{{Key: "a", Version: 2, Deleted: true}}, early.ApplyPeerBatch(2, late.Since("t", 1)))
}
