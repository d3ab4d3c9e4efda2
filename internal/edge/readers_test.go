package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// fleetOf returns instances of one region with the given number per availability zone.
func fleetOf(zones ...int) []membership.Entry {
	var list []membership.Entry
	for z, n := range zones {
		for i := range n {
			zone := model.ZoneName(fmt.Sprint("zone-", z))
			list = append(list, membership.Entry{Instance: model.InstanceID(fmt.Sprintf("%s-%03d", zone, i)), Zone: zone})
		}
	}
	return list
}

func TestReaderRanksAreAPermutationAcrossZones(t *testing.T) {
	for _, zones := range [][]int{{1}, {3}, {3, 2, 5}, {33, 34, 33}, {1, 260}} {
		region := fleetOf(zones...)
		byRank := map[int]membership.Entry{}
		for _, m := range region {
			byRank[readerRank(m.Instance, m.Zone, region)] = m
		}
		require.Len(t, byRank, len(region))
		for rank := range len(region) {
			require.Contains(t, byRank, rank)
		}
		if len(zones) > 1 {
			require.NotEqual(t, byRank[0].Zone, byRank[1].Zone, "the reader and its first deputy")
		}
	}
}

// TestFailedReaderIsReplacedByDeputies replays the loss of a region's readers, in regions of
// fleets of 7, 78, 303 and 784 instances whose copies age together. If the reader dies, only
// its deputies read the store; the others hear from them in time. If the first deputy fails
// at the same moment or is cut off from the others, the second one may be too late; then each
// instance reads once, at the maximum age.
func TestFailedReaderIsReplacedByDeputies(t *testing.T) {
	none := func(int) bool { return false }
	reader := func(rank int) bool { return rank == 0 }
	for _, zones := range [][]int{{2, 1}, {9, 9, 8}, {34, 33, 33}, {87, 87, 87}} {
		region := fleetOf(zones...)
		others := len(region) - 1
		deputies := min(len(deputyAgeShares), others)
		require.Equal(t, deputies, readsOfAgingCopies(t, region, reader, none), "reader dies")
		for name, c := range map[string]struct {
			failed, cut func(rank int) bool // ranks that read nothing, and that nobody hears
			reads       int                 // at most
		}{
			"reader frozen, first deputy dies": {func(rank int) bool { return rank <= 1 }, none, others - 1},
			"reader dies, first deputy cut":    {reader, func(rank int) bool { return rank == 1 }, others},
			"all deputies gone":                {func(rank int) bool { return rank <= deputies }, none, others - deputies},
		} {
			t.Run(fmt.Sprint(len(region), " ", name), func(t *testing.T) {
				require.LessOrEqual(t, readsOfAgingCopies(t, region, c.failed, c.cut), c.reads)
			})
		}
	}
}

// readsOfAgingCopies steps a region in which nobody has read the store since time 0, until
// all copies have been renewed. It returns how often instances read the store.
func readsOfAgingCopies(t *testing.T, region []membership.Entry, failed, cut func(rank int) bool) int {
	t.Helper()
	const (
		maxAge = 3300 * time.Millisecond
		spread = 600 * time.Millisecond // from one instance to all others of a region
		step   = 10 * time.Millisecond
	)
	limits := map[int]time.Duration{} // by rank
	for _, m := range region {
		if rank := readerRank(m.Instance, m.Zone, region); rank > 0 && !failed(rank) {
			limits[rank] = ageLimit(maxAge, rank)
		}
	}
	reads := map[int]int{}
	var renewed time.Duration // when the first instance read that the others hear
	for age := time.Duration(0); age < 2*maxAge; age += step {
		for rank, limit := range limits {
			heard := renewed > 0 && age >= renewed+spread && !cut(rank)
			if heard || age <= limit || age-step > limit {
				continue
			}
			reads[rank]++
			if renewed == 0 && !cut(rank) {
				renewed = age
			}
		}
	}
	total := 0
	for rank := range limits {
		require.LessOrEqual(t, reads[rank], 1)
		require.True(t, reads[rank] == 1 || renewed+spread <= maxAge+step, "rank %d has an old copy", rank)
		total += reads[rank]
	}
	return total
}
