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

// TestFailedReaderIsReplacedByDeputies replays the death of a region's reader: of 100
// instances whose copies age together, two read the store; the others hear from them in
// time.
func TestFailedReaderIsReplacedByDeputies(t *testing.T) {
	const (
		maxAge = 3300 * time.Millisecond
		spread = 600 * time.Millisecond // from one instance to all others of a region
		step   = 10 * time.Millisecond
	)
	region := fleetOf(34, 33, 33)
	var limits []time.Duration // of all but the reader, whose death is not noticed yet
	for _, m := range region[1:] {
		limits = append(limits, ageLimit(maxAge, readerRank(m.Instance, m.Zone, region)))
	}
	reads := 0
	var renewed time.Duration // when the first deputy read the store
	for age := time.Duration(0); age < 2*maxAge; age += step {
		for _, limit := range limits {
			heard := renewed > 0 && age >= renewed+spread
			if !heard && age > limit && age-step <= limit {
				reads++
				if renewed == 0 {
					renewed = age
				}
			}
		}
	}
	require.Equal(t, 2, reads)
}
