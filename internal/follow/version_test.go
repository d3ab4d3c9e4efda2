package follow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestJoinVersion(t *testing.T) {
	for _, c := range []struct{ epoch, number int64 }{{0, 0}, {0, maxVersionNumber}, {1, 0}, {maxEpoch, maxVersionNumber}} {
		version, err := JoinVersion(c.epoch, c.number)
		require.NoError(t, err)
		require.GreaterOrEqual(t, version, int64(0))
		epoch, number := SplitVersion(version)
		require.Equal(t, c.epoch, epoch)
		require.Equal(t, c.number, number)
	}
	for _, c := range []struct{ epoch, number int64 }{{-1, 0}, {0, -1}, {maxEpoch + 1, 0}, {0, maxVersionNumber + 1}} {
		_, err := JoinVersion(c.epoch, c.number)
		require.Error(t, err)
	}
}

// restorableStore is a table that can be restored from a copy of itself.
type restorableStore struct {
	epoch int64
	rows  []Row // with version numbers, in their order
}

func (s *restorableStore) version(t require.TestingT, number int64) int64 {
	version, err := JoinVersion(s.epoch, number)
	require.NoError(t, err)
	return version
}

func (s *restorableStore) write(key, value string, deleted bool) {
	s.rows = append(s.rows, Row{Key: key, Value: []byte(value), Version: int64(len(s.rows) + 1), Deleted: deleted})
}

// read returns what a follower reads that knows the table up to a version.
func (s *restorableStore) read(t require.TestingT, known int64) Batch {
	epoch, number := SplitVersion(known)
	full := known == 0 || epoch != s.epoch
	if full {
		number = 0
	}
	b := Batch{Table: "t", Version: s.version(t, int64(len(s.rows))), Full: full}
	for _, r := range latest(s.rows[number:], full) {
		r.Version = s.version(t, r.Version)
		b.Rows = append(b.Rows, r)
	}
	return b
}

// TestReplicasConvergeAfterRestore lets instances read a table and exchange changes while the
// store is restored from copies at random times. Once every instance has heard from one that
// has read the store, all copies must equal the store.
func TestReplicasConvergeAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{}
		fleet := make([]*Replica, 4)
		for i := range fleet {
			fleet[i] = NewReplica([]string{"t"}, allSignificant)
		}
		read := func(r *Replica) { r.ApplyStoreBatch(model.Instant(1), store.read(t, r.Version("t"))) }
		gossip := func(from, to *Replica) {
			for _, d := range from.Digests() {
				if !to.Confirm(d) {
					to.ApplyPeerBatch(d.FreshAt, from.Since("t", to.Version("t")))
				}
			}
		}
		member := rapid.IntRange(0, len(fleet)-1)
		delayed := store.read(t, 0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			to := fleet[member.Draw(t, "to")]
			switch rapid.SampledFrom([]string{"write", "write", "read", "gossip", "restore", "delay", "late"}).Draw(t, "step") {
			case "write":
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				store.write(key, rapid.StringN(1, 4, 4).Draw(t, "value"), rapid.Bool().Draw(t, "deleted"))
			case "read":
				read(to)
			case "gossip":
				gossip(fleet[member.Draw(t, "from")], to)
			case "restore":
				store.rows = store.rows[:rapid.IntRange(0, len(store.rows)).Draw(t, "copied")]
				store.epoch++
			case "delay":
				delayed = store.read(t, to.Version("t"))
			case "late":
				if !delayed.Full {
					continue // its follower may not have asked for a continuation
				}
				to.ApplyStoreBatch(model.Instant(1), delayed)
			}
		}
		reader := fleet[member.Draw(t, "reader")]
		read(reader)
		var want []Row
		for _, r := range latest(store.rows, true) {
			r.Version = 0
			want = append(want, r)
		}
		for _, r := range fleet {
			gossip(reader, r)
			var got []Row
			for _, row := range live(r.shared) {
				row.Version = 0
				got = append(got, row)
			}
			require.Equal(t, want, got)
		}
	})
}
