package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// floodSizes are sets of servers that one owner may own: those of an availability
// zone, of a region that lost its other owners, and of a whole service.
var floodSizes = []struct{ servers, slots int }{{2, 3}, {12, 3}, {2, 9}, {3, 9}}

const floodSeeds = 3

// minGoodput returns the minimum goodput, as a share of the slot time, while a less
// urgent rank floods. It is higher with more slots, since the reserve is then a
// smaller part of them.
func (s simulation) minGoodput() float64 {
	if s.servers*s.slots < 18 {
		return 0.65
	}
	return 0.85
}

// forEachSimulation runs check for every size, run time distribution and seed, with a
// simulation long enough for several thousand urgent requests.
func forEachSimulation(t *testing.T, check func(t *testing.T, s simulation)) {
	for _, size := range floodSizes {
		for _, exponential := range []bool{false, true} {
			for seed := range uint64(floodSeeds) {
				name := fmt.Sprintf("%dx%d/exponential=%v/seed=%d", size.servers, size.slots, exponential, seed)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					check(t, simulation{
						seed: seed, servers: size.servers, slots: size.slots, exponential: exponential,
						length:   30000 * simulatedRun / time.Duration(size.servers*size.slots),
						deadline: 10 * simulatedRun,
					})
				})
			}
		}
	}
}

func TestFloodOfLeastUrgentRank(t *testing.T) {
	forEachSimulation(t, func(t *testing.T, s simulation) {
		s.load = [model.RankCount]float64{0.25, 0.25, 0}
		unloaded := s.run()
		s.load[model.Background] = 10
		flooded := s.run()
		for rank := model.Urgent; rank <= model.Normal; rank++ {
			require.GreaterOrEqual(t, flooded[rank].inTimeShare(), 0.999, "%s served in time", rank)
		}
		urgent := float64(flooded[model.Urgent].p99()) / float64(unloaded[model.Urgent].p99())
		require.LessOrEqual(t, urgent, 1.2, "urgent p99 against unloaded")
		floor := simulatedFloors[model.Background]
		require.GreaterOrEqual(t, flooded[model.Background].slotTime/s.capacity(), floor-0.02)
		require.GreaterOrEqual(t, s.goodput(flooded), s.minGoodput(), "goodput")
	})
}

// TestWorkBelowItsFloorSurvivesFlood floods the most urgent rank while the load of
// each of the two less urgent ranks stays below its floor.
func TestWorkBelowItsFloorSurvivesFlood(t *testing.T) {
	forEachSimulation(t, func(t *testing.T, s simulation) {
		s.load = [model.RankCount]float64{10, 0.15, 0.1}
		flooded := s.run()
		require.GreaterOrEqual(t, flooded[model.Normal].inTimeShare(), 0.97, "normal served in time")
		require.GreaterOrEqual(t, flooded[model.Background].inTimeShare(), 0.95, "background served in time")
	})
}

func TestModerateLoadIsServed(t *testing.T) {
	forEachSimulation(t, func(t *testing.T, s simulation) {
		s.load = [model.RankCount]float64{0.25, 0.25, 0.1}
		for rank, result := range s.run() {
			require.GreaterOrEqual(t, result.inTimeShare(), 0.999, "%s served in time", model.Rank(rank))
		}
	})
}

func TestFloodOfNormalRank(t *testing.T) {
	forEachSimulation(t, func(t *testing.T, s simulation) {
		s.load = [model.RankCount]float64{0.25, 10, 0.1}
		flooded := s.run()
		require.GreaterOrEqual(t, flooded[model.Urgent].inTimeShare(), 0.999, "urgent served in time")
		require.GreaterOrEqual(t, s.goodput(flooded), s.minGoodput(), "goodput")
	})
}

func TestFloodOfMostUrgentRank(t *testing.T) {
	forEachSimulation(t, func(t *testing.T, s simulation) {
		s.load = [model.RankCount]float64{10, 1, 1}
		flooded := s.run()
		for rank := range flooded {
			share := flooded[rank].slotTime / s.capacity()
			require.InDelta(t, simulatedFloors[rank], share, 0.02, "%s's share of slot time", model.Rank(rank))
		}
		require.GreaterOrEqual(t, s.goodput(flooded), 0.95, "goodput")
	})
}
