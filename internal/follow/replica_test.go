package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func everything(string, Row) bool { return true }

// history is a table whose versions are also its times.
type history struct{ rows []Row }

func (h *history) write(r Row) { h.rows = append(h.rows, r) }

func (h *history) version() int64 { return int64(len(h.rows)) }

func (h *history) after(version int64) Batch {
	return Batch{Table: "t", Version: h.version(), Full: version == 0, Rows: latest(h.rows[version:], version == 0)}
}

// at returns what matters of the table at a version.
func (h *history) at(version int64) []Row {
	return latest(h.rows[:version], true, "beat")
}

// latest returns the last row of each key, in key order.
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

// TestReplicasOfPeersAgree lets instances read a table at any times, and tell one
// another of it in any order, while some rows do not matter. What one takes for complete
// and recent must be so.
func TestReplicasOfPeersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		matters := func(_ string, r Row) bool { return r.Key != "beat" }
		store := &history{}
		store.write(Row{Key: "beat", Version: 1})
		fleet := make([]*Replica, 4)
		for i := range fleet {
			fleet[i] = NewReplica([]string{"t"}, matters)
		}
		member := rapid.IntRange(0, len(fleet)-1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			to := fleet[member.Draw(t, "to")]
			switch rapid.SampledFrom([]string{"write", "read", "tell"}).Draw(t, "step") {
			case "write":
				r := row(rapid.SampledFrom([]string{"a", "b", "beat"}).Draw(t, "key"), store.version()+1)
				r.Deleted = r.Key != "beat" && rapid.Bool().Draw(t, "deleted")
				store.write(r)
			case "read":
				to.Read(model.Instant(store.version()), store.after(to.Version("t")))
			case "tell":
				from := fleet[member.Draw(t, "from")]
				for _, d := range from.Digests() {
					if from != to && !to.Confirm(d) {
						to.Learn(d.Fresh, from.Since("t", to.Version("t")))
						require.True(t, to.Confirm(d), "it has learnt all that the peer knows")
					}
				}
			}
			complete, fresh := to.Version("t"), int64(to.FreshAt("t"))
			require.Equal(t, store.at(complete), live(to.shared))
			require.Equal(t, store.at(max(fresh, complete)), store.at(complete), "up to date at %d", fresh)
		}
	})
}

func TestFreshnessTravelsBetweenEqualCopies(t *testing.T) {
	second := model.Instant(time.Second)
	reader, peer := NewReplica([]string{"t"}, everything), NewReplica([]string{"t"}, everything)
	require.Greater(t, peer.OldestAge(second), time.Hour)
	reader.Read(second, Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 4)}})
	require.False(t, peer.Confirm(reader.Digests()[0]))
	require.Greater(t, peer.OldestAge(second), time.Hour, "it knows nothing yet")
	peer.Learn(second, reader.Since("t", 0))
	require.Equal(t, time.Second, peer.OldestAge(2*second))
	reader.Read(2*second, Batch{Table: "t", Version: 9})
	require.True(t, peer.Confirm(reader.Digests()[0]), "nothing that matters changed")
	require.Zero(t, peer.OldestAge(2*second))
	reader.Read(3*second, Batch{Table: "t", Version: 10, Rows: []Row{row("a", 10)}})
	require.False(t, peer.Confirm(reader.Digests()[0]))
	require.Equal(t, time.Second, peer.OldestAge(3*second), "the peer knows more")
}

// TestCopiesReadAtDifferentTimesCanBeCompared: one instance saw a row that matters while
// it was new, another a later heartbeat of the same row. Neither lacks anything.
func TestCopiesReadAtDifferentTimesCanBeCompared(t *testing.T) {
	seen := map[string]bool{}
	firstSight := func(_ string, r Row) bool {
		defer func() { seen[r.Key] = true }()
		return !seen[r.Key]
	}
	early := NewReplica([]string{"t"}, firstSight)
	early.Read(1, Batch{Table: "t", Version: 5, Full: true, Rows: []Row{row("a", 5)}})
	clear(seen)
	late := NewReplica([]string{"t"}, firstSight)
	late.Read(2, Batch{Table: "t", Version: 8, Full: true, Rows: []Row{row("a", 8)}})
	require.True(t, late.Confirm(early.Digests()[0]))
	early.Read(3, Batch{Table: "t", Version: 9, Rows: []Row{row("a", 9)}})
	require.True(t, late.Confirm(early.Digests()[0]))
	require.EqualValues(t, 3, late.FreshAt("t"))
	require.True(t, early.Confirm(late.Digests()[0]))
}

// TestPeersDoNotKeepOneAnotherFresh: after the last reader has lost the store, peers go
// on telling one another how old their copies are; messages take their time, and one
// peer is frozen for long with messages waiting.
func TestPeersDoNotKeepOneAnotherFresh(t *testing.T) {
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
		fleet[i], echoes[i] = NewReplica([]string{"t"}, everything), NewEchoes()
		fleet[i].Read(now, Batch{Table: "t", Version: 4, Full: true, Rows: []Row{row("a", 4)}})
	}
	lost := now
	inbox := make([]map[int][]message, peers)
	for i := range inbox {
		inbox[i] = map[int][]message{}
	}
	for round := range 200 {
		for i := range fleet {
			asleep := i == 3 && round%100 < int(frozen/every)
			for from, waiting := range inbox[i] {
				if asleep {
					break
				}
				for _, m := range waiting {
					echoes[i].Heard(now, name(from), m.sentAt)
					if sent, ok := SentNoEarlierThan(m.echo, m.held); ok {
						m.digest.Fresh = sent.Add(-m.age)
						fleet[i].Confirm(m.digest)
					}
				}
				delete(inbox[i], from)
			}
			require.GreaterOrEqual(t, fleet[i].OldestAge(now), now.Sub(lost))
			for _, to := range []int{(i + 1) % peers, (i + peers - 1) % peers} {
				if asleep {
					continue
				}
				echo, held := echoes[i].Return(now, name(to))
				d := fleet[i].Digests()[0]
				inbox[to][i] = append(inbox[to][i], message{digest: d, sentAt: int64(now), echo: echo, held: held, age: now.Sub(d.Fresh)})
			}
		}
		now = now.Add(every)
	}
}

// TestDeletionsBeforeASnapshotReachPeers: one instance knows a row, another reads the
// table whole after the row has gone, and never learns that it was there.
func TestDeletionsBeforeASnapshotReachPeers(t *testing.T) {
	early, late := NewReplica([]string{"t"}, everything), NewReplica([]string{"t"}, everything)
	early.Read(1, Batch{Table: "t", Version: 1, Full: true, Rows: []Row{row("a", 1)}})
	late.Read(2, Batch{Table: "t", Version: 2, Full: true})
	require.False(t, early.Confirm(late.Digests()[0]))
	require.Equal(t, []Row{{Key: "a", Version: 2, Deleted: true}}, early.Learn(2, late.Since("t", 1)))
}
