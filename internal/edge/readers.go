package edge

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// readersPerRegion is the number of instances per region that read the store all the time.
const readersPerRegion = 1

// readerRank returns the position of an instance in the order in which the instances of its
// region read the store: the first instance of each availability zone, then the second of
// each, and so on. Instances that follow each other are in different zones, so that they
// seldom fail together.
func readerRank(self model.InstanceID, zone model.ZoneName, region []membership.Entry) int {
	sizes := map[model.ZoneName]int{}
	lower := 0
	for _, m := range region {
		if m.Instance == self {
			continue
		}
		sizes[m.Zone]++
		if m.Zone == zone && m.Instance < self {
			lower++
		}
	}
	rank := lower
	for other, size := range sizes {
		if other == zone {
			continue
		}
		rank += min(lower, size)
		if size > lower && other < zone {
			rank++
		}
	}
	return rank
}

// deputyAgeShares are the fractions of the maximum age of a copy after which the instances
// that follow the reader read the store. If the reader fails, they renew the copies of the
// others before these reach the maximum age: otherwise all instances of a region call the
// store at once.
var deputyAgeShares = [...]float64{0.75, 0.85}

// ageLimit returns the age of a copy beyond which an instance with the given rank reads the
// store itself.
func ageLimit(maxAge time.Duration, rank int) time.Duration {
	deputy := rank - readersPerRegion
	if deputy < 0 || deputy >= len(deputyAgeShares) {
		return maxAge
	}
	return time.Duration(deputyAgeShares[deputy] * float64(maxAge))
}
