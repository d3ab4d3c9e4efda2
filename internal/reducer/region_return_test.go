package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const returnStart = 10_000 * second // when the instance under test starts

// startWithPeers starts an instance in north-a and delivers gossip from peers until
// the instance owns its share of the zone's servers.
func startWithPeers(t *testing.T, peers ...membership.Record) *Reducer {
	t.Helper()
	now := returnStart
	self := membership.Record{ID: "entry-9", Zone: "north-a", LinkAddr: "127.0.0.1:1", CallerAddr: "127.0.0.1:2", Incarnation: uint64(now)}
	r := New(Settings{Self: self, PollEvery: time.Hour, IdlePollFactor: 1, LookupTTL: 2 * time.Second})
	text, err := config.Parse("text", []byte(outageText))
	require.NoError(t, err)
	r.Step(&event.ConfigurationLoaded{At: now, Revision: &config.Revision{Number: 1}, Text: text, Index: config.NewIndex(text)})
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		for _, p := range peers {
			p.State = membership.Ready
			p.Sequence = 1
			r.Step(&event.GossipReceived{At: now, From: p.ID, Message: &membership.Message{
				From: p.ID, Incarnation: p.Incarnation, Revision: config.Order{Number: 1}, Records: []membership.Record{p},
			}})
		}
		r.Step(&event.Tick{At: now})
	}
	return r
}

func peer(id model.InstanceID, zone model.ZoneName, startedBefore time.Duration) membership.Record {
	started := returnStart.Add(-startedBefore)
	return membership.Record{ID: id, Zone: zone, LinkAddr: "127.0.0.1:3", CallerAddr: "127.0.0.1:4", Incarnation: uint64(started)}
}

// TestReturningRegionRampsAtShiftCap starts an instance in a region. If the fleet
// has been running without the region, the slots of its servers become usable one
// by one, so that the region's traffic does not return all at once. They are usable
// immediately if the whole fleet starts together or an older instance of the region
// has owned them.
func TestReturningRegionRampsAtShiftCap(t *testing.T) {
	usable := func(r *Reducer) int {
		loads := r.Loads(returnStart + 4*second)
		if len(loads) == 0 {
			return 0
		}
		return loads[0].Slots
	}
	alone := startWithPeers(t)
	require.Equal(t, 3*outageSlots, usable(alone), "no other instance runs")
	together := startWithPeers(t, peer("entry-1", "south-a", 3*time.Second))
	require.Equal(t, 3*outageSlots, usable(together), "the whole fleet starts together")
	returned := startWithPeers(t, peer("entry-1", "south-a", time.Hour))
	require.LessOrEqual(t, usable(returned), 1, "the fleet ran without the region")
	require.Equal(t, health.SlowStart, returned.Servers(returnStart + 4*second)[0].State.Condition)
	replaced := startWithPeers(t, peer("entry-1", "south-a", time.Hour), peer("entry-2", "north-a", time.Hour))
	require.Equal(t, outageSlots*len(replaced.ownedNames), usable(replaced), "an older instance of the region runs")
	require.NotEmpty(t, replaced.ownedNames)
}
