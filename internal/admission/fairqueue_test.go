package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestCallerGroupsShareSlotTime keeps several groups backlogged with requests of random
// cost. The slot time served to any two of them must not differ by more than two
// turns.
func TestCallerGroupsShareSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const quantum, maxCost = 100.0, 400.0
		q := newFairQueue()
		groups := simulatedCallerGroups[:rapid.IntRange(2, len(simulatedCallerGroups)).Draw(t, "caller groups")]
		push := func(group model.CallerGroupName) {
			q.push(&request{cost: rapid.Float64Range(1, maxCost).Draw(t, "cost")}, group)
		}
		for _, group := range groups {
			push(group)
			push(group)
		}
		served := map[model.CallerGroupName]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			before := map[model.CallerGroupName]int{}
			for _, group := range groups {
				before[group] = q.groups[group].requests.count
			}
			r := q.pop(quantum)
			for _, group := range groups {
				if q.groups[group].requests.count < before[group] {
					served[group] += r.cost
					push(group)
				}
			}
			for _, a := range groups {
				for _, b := range groups {
					require.LessOrEqual(t, served[a]-served[b], 2*(quantum+maxCost))
				}
			}
		}
	})
}

func TestFloodOfOneCallerGroupLeavesOthersTheirShare(t *testing.T) {
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
