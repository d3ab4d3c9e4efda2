package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const lapseTable = "servers"

// newReplicaOwner returns an instance that follows the table of servers, whose rows hold a
// sequence number and the remaining cold time in seconds.
func newReplicaOwner(t *testing.T) *Edge {
	e := newEdgeWithPeers(t, 0)
	e.options.Tables = Tables{Servers: lapseTable}
	e.options.Decode = func(_ string, row follow.Row) (catalog.Change, error) {
		id := model.BackendName(row.Key)
		if row.Deleted {
			return &catalog.ServerRemoved{ID: id}, nil
		}
		var sequence, coldSeconds int64
		_, err := fmt.Sscan(string(row.Value), &sequence, &coldSeconds)
		return &catalog.ServerChange{Server: catalog.Server{
			ID: id, Service: "shop", Zone: "zone-0", Slots: 1, Sequence: sequence, ColdLeft: time.Duration(coldSeconds) * time.Second,
		}}, err
	}
	e.replica = follow.NewReplica([]string{lapseTable}, e.forwardedToPeers)
	return e
}

// read applies a batch of the store.
func (e *Edge) readRows(now model.Instant, version int64, rows ...follow.Row) {
	b := follow.Batch{Table: lapseTable, Version: version, Rows: rows}
	e.applyBatch(now, lapseTable, func() []follow.Row { return e.replica.ApplyStoreBatch(now, b) })
}

// askPeer takes a peer's changes, unless the peer's digest shows that there are none.
func (e *Edge) askPeer(now model.Instant, peer *Edge) {
	for _, d := range peer.replica.Digests() {
		if !e.replica.Confirm(d) {
			b := peer.replica.Since(lapseTable, e.replica.Version(lapseTable))
			e.applyBatch(now, lapseTable, func() []follow.Row { return e.replica.ApplyPeerBatch(now, b) })
		}
	}
}

func entryRow(version, sequence int64) follow.Row { return coldRow(version, sequence, 0) }

func coldRow(version, sequence, coldSeconds int64) follow.Row {
	return follow.Row{Key: "w-1", Value: fmt.Append(nil, sequence, " ", coldSeconds), Version: version}
}

// TestServerWhoseEntryLapsedIsListedAtEveryInstance guards against a server that followers
// never use again after an outage of the store. One reader sees its entry removed and written
// again, another one only the latter, which it takes for a heartbeat.
func TestServerWhoseEntryLapsedIsListedAtEveryInstance(t *testing.T) {
	one, other, follower := newReplicaOwner(t), newReplicaOwner(t), newReplicaOwner(t)
	now := one.clock.now().Add(-time.Minute)
	one.readRows(now, 10, entryRow(10, 1))
	other.readRows(now, 10, entryRow(10, 1))
	follower.askPeer(now, one)
	require.Equal(t, 1, follower.dispatcher.Servers())

	now = now.Add(5 * time.Second) // the store was away
	one.readRows(now, 20, follow.Row{Key: "w-1", Version: 20, Deleted: true})
	follower.askPeer(now, one)
	require.Zero(t, follower.dispatcher.Servers())
	now = now.Add(time.Second)
	other.readRows(now, 25, entryRow(25, 2))
	follower.askPeer(now, other)
	one.readRows(now, 25, entryRow(25, 2))
	follower.askPeer(now, one)
	require.Equal(t, 1, follower.dispatcher.Servers())
}

// TestHeartbeatsStayWithReaders checks that rows whose writers are only alive are not sent.
func TestHeartbeatsStayWithReaders(t *testing.T) {
	e := newReplicaOwner(t)
	now := e.clock.now()
	e.readRows(now, 10, entryRow(10, 1))
	e.readRows(now, 11, entryRow(11, 2))
	require.Empty(t, e.replica.Since(lapseTable, 10).Rows)
}

// TestServerThatTurnsColdAgainIsColdAtEveryInstance guards against a server that turns cold again
// while it is cold and gets the usual requests of the instances that do not read the store.
func TestServerThatTurnsColdAgainIsColdAtEveryInstance(t *testing.T) {
	for _, test := range []struct {
		name    string
		seconds []int64 // remaining cold time in each entry
		sent    []bool  // to peers
	}{
		{"turns cold", []int64{0, 100}, []bool{true, true}},
		{"heartbeats", []int64{100, 98, 97, 0}, []bool{true, false, false, false}},
		{"cold again", []int64{100, 98, 100}, []bool{true, false, true}},
		{"cold again between two reads", []int64{100, 100, 100}, []bool{true, true, true}},
		{"cold for longer", []int64{10, 50}, []bool{true, true}},
		{"cold again after it was not", []int64{100, 0, 90}, []bool{true, false, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newReplicaOwner(t)
			for i, seconds := range test.seconds {
				version := int64(10 + i)
				e.readRows(e.clock.now(), version, coldRow(version, version, seconds))
				require.Equal(t, test.sent[i], len(e.replica.Since(lapseTable, version-1).Rows) > 0, "entry %d", i)
			}
		})
	}
}
