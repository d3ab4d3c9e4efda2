package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestBlocksShareSlotTime keeps several blocks backlogged with requests of random
// cost. The slot time served to any two of them must not differ by more than two
// turns.
func TestBlocksShareSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const quantum, maxCost = 100.0, 400.0
		q := newFairQueue()
		blocks := simulatedBlocks[:rapid.IntRange(2, len(simulatedBlocks)).Draw(t, "blocks")]
		push := func(block model.CallerGroupName) {
			q.push(&request{cost: rapid.Float64Range(1, maxCost).Draw(t, "cost")}, block)
		}
		for _, block := range blocks {
			push(block)
			push(block)
		}
		served := map[model.CallerGroupName]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			before := map[model.CallerGroupName]int{}
			for _, block := range blocks {
				before[block] = q.blocks[block].requests.count
			}
			r := q.pop(quantum)
			for _, block := range blocks {
				if q.blocks[block].requests.count < before[block] {
					served[block] += r.cost
					push(block)
				}
			}
			for _, a := range blocks {
				for _, b := range blocks {
					require.LessOrEqual(t, served[a]-served[b], 2*(quantum+maxCost))
				}
			}
		}
	})
}

func TestOneBlocksFloodLeavesOthersTheirShare(t *testing.T) {
	q := newFairQueue()
	for range 1000 {
		q.push(&request{cost: 1}, "flood")
	}
	require.LessOrEqual(t, q.workAhead("quiet", 1), 1.0)
	require.InDelta(t, 1000, q.workAhead("flood", 1), 0)
	quiet := &request{cost: 1}
	q.push(quiet, "quiet")
	first, second := q.pop(1), q.pop(1)
	require.True(t, first == quiet || second == quiet)
}
