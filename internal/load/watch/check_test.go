package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

const testEvery = 100 * time.Millisecond

func testText() *config.Text {
	return &config.Text{
		Backends: []config.Backend{
			{Name: "shop-1", Service: "shop", Zone: "north-a", Slots: 10},
			{Name: "shop-2", Service: "shop", Zone: "north-a", Slots: 10},
			{Name: "shop-3", Service: "shop", Zone: "north-b", Slots: 4},
		},
		Limits: config.Limits{ShiftCap: config.ShiftCap{Fraction: 0.1, Window: time.Second}},
	}
}

func levels(values ...float64) []Point {
	var points []Point
	for i, v := range values {
		points = append(points, Point{At: time.Duration(i) * testEvery, SpillLevel: v, Slots: int(v)})
	}
	return points
}

func TestRiseIsMeasuredWithinAWindow(t *testing.T) {
	key := ZoneService{Zone: "north-a", Service: "shop"}
	slow := evaluateZoneService(testText(), key, levels(0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2), testEvery)
	require.InDelta(t, 1.0, slow.SpillRise, 0)
	require.Equal(t, 2, slow.Bound)
	require.Equal(t, 20, slow.Slots)

	dip := evaluateZoneService(testText(), key, levels(3, 0, 1, 2, 3), testEvery)
	require.InDelta(t, 3.0, dip.SpillRise, 0)
	require.Equal(t, 3, dip.CapacityRise)
}

func TestBoundIsAtLeastOneSlot(t *testing.T) {
	report := evaluateZoneService(testText(), ZoneService{Zone: "north-b", Service: "shop"}, levels(0, 1), testEvery)
	require.InDelta(t, 0.4, report.Cap, 1e-9)
	require.Equal(t, 1, report.Bound)
}

func TestSpillAboveItsLevelIsCounted(t *testing.T) {
	points := []Point{{SpillLevel: 1, SpillInUse: 2, InUse: 5}, {At: testEvery, SpillLevel: 2, SpillInUse: 2, InUse: 4}}
	report := evaluateZoneService(testText(), ZoneService{Zone: "north-a", Service: "shop"}, points, testEvery)
	require.Equal(t, 1, report.OverLevel)
	require.Equal(t, 2, report.SpillPeak)
	require.Equal(t, 5, report.InUsePeak)
}

func TestRequestsThatRanAfterARefusalAreFound(t *testing.T) {
	runs := map[model.BackendName]*backend.Runs{
		"shop-1": {PeakInUse: 3, RequestIDs: map[string]int{"r1": 1}, IdempotencyKeys: map[string]int{"k1": 1, "k2": 1}},
		"shop-2": {Shed: 2, RequestIDs: map[string]int{"r2": 1}, IdempotencyKeys: map[string]int{"k1": 1}},
	}
	report := Check(testText(), &Series{}, []string{"r2", "r3"}, runs)
	require.Equal(t, []string{"r2"}, report.NotRunButRan)
	require.Equal(t, []string{"k1"}, report.Repeated)
	require.Equal(t, 2, report.NotRun)
	require.True(t, report.Backends[0].Reached)
	require.False(t, report.Backends[2].Reached)
}

func TestOwnersAreSummedByTheZoneOfTheirServers(t *testing.T) {
	zones := map[model.BackendName]model.ZoneName{"shop-1": "north-a", "shop-3": "north-b"}
	load := []control.ServiceLoad{{Service: "shop", Slots: 10, SpillLevel: 1}}
	s := &Series{Points: make(map[ZoneService][]Point)}
	s.add(0, zones, []*control.Status{
		{Zone: "north-a", Loads: load, Backends: []control.Backend{{Backend: "shop-1", Service: "shop"}}},
		{Zone: "north-a", Loads: load, Backends: []control.Backend{{Backend: "shop-3", Service: "shop"}}},
		nil,
	})
	require.Equal(t, 3, s.Samples)
	require.Equal(t, 1, s.Missed)
	require.Equal(t, 10, s.Points[ZoneService{Zone: "north-a", Service: "shop"}][0].Slots)
	require.Equal(t, 10, s.Points[ZoneService{Zone: "north-b", Service: "shop"}][0].Slots)
}
