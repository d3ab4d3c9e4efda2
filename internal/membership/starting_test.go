package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// listedFleet returns a list of instances in zones of equal size, and their records.
func listedFleet(zones, inZone int) ([]platform.ListedInstance, []Record) {
	var list []platform.ListedInstance
	var records []Record
	for z := range zones {
		for i := range inZone {
			id := model.InstanceID(fmt.Sprintf("e-%d-%03d", z, i))
			addr := fmt.Sprintf("10.%d.0.%d:1", z, i)
			list = append(list, platform.ListedInstance{ID: id, Zone: zoneName(z), LinkAddr: addr})
			records = append(records, Record{
				ID: id, Zone: zoneName(z), LinkAddr: addr, CallerAddr: addr, State: Ready, Incarnation: 1, Sequence: 1,
			})
		}
	}
	return list, records
}

// opened counts the links that an output requests, within the zone and to others.
func opened(out Output, zones map[model.InstanceID]model.ZoneName, own model.ZoneName) (inZone, elsewhere []model.InstanceID) {
	for _, p := range out.Open {
		if zones[p.ID] == own {
			inZone = append(inZone, p.ID)
		} else {
			elsewhere = append(elsewhere, p.ID)
		}
	}
	return inZone, elsewhere
}

// TestStartingInstanceLinksToItsZoneFirst replays restarts in fleets of 78, 303 and 784
// instances: an instance that knows its zone from the list only would take itself for a
// bridge, and exchange all records with two instances of each other zone.
func TestStartingInstanceLinksToItsZoneFirst(t *testing.T) {
	const zones = 9
	for _, inZone := range []int{9, 34, 87} {
		list, records := listedFleet(zones, inZone)
		zoneOf := map[model.InstanceID]model.ZoneName{}
		for _, l := range list {
			zoneOf[l.ID] = l.Zone
		}
		far := 0
		for i := range inZone {
			self := records[i]
			self.Incarnation = 2
			own := zoneName(0)
			g := New(self, DefaultSettings())
			g.Tick(testStart)
			near, elsewhere := opened(g.SetListed(testStart, list), zoneOf, own)
			require.NotEmpty(t, near)
			require.Empty(t, elsewhere)
			now := testStart.Add(100 * time.Millisecond)
			for _, peer := range near {
				_, elsewhere = opened(g.Receive(now, peer, &Message{From: peer, Incarnation: 1, Records: records[i+1:]}), zoneOf, own)
				far += len(elsewhere)
			}
		}
		bridges := DefaultSettings().Bridges
		require.LessOrEqual(t, far, (bridges+1)*(zones-1)*bridges, "only bridges connect zones")
		require.GreaterOrEqual(t, far, zones-1)
	}
}

// TestStartingInstanceDoesNotWaitForSilentZone covers an instance whose zone is empty or
// silent: it connects to the other zones at once, or after a bounded wait.
func TestStartingInstanceDoesNotWaitForSilentZone(t *testing.T) {
	for _, inZone := range []int{1, 2, 9, 87} {
		list, records := listedFleet(6, inZone)
		zoneOf := map[model.InstanceID]model.ZoneName{}
		for _, l := range list {
			zoneOf[l.ID] = l.Zone
		}
		g := New(records[0], DefaultSettings())
		g.Tick(testStart)
		_, elsewhere := opened(g.SetListed(testStart, list), zoneOf, zoneName(0))
		if inZone == 1 {
			require.Len(t, elsewhere, 5)
			continue
		}
		require.Empty(t, elsewhere)
		_, elsewhere = opened(g.Tick(testStart.Add(zonePatience-1)), zoneOf, zoneName(0))
		require.Empty(t, elsewhere)
		_, elsewhere = opened(g.Tick(testStart.Add(zonePatience)), zoneOf, zoneName(0))
		require.GreaterOrEqual(t, len(elsewhere), 5)
	}
}
