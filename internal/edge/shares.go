package edge

import (
	"math"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// lookupVariants is the number of different answers to lookups from one region. Each caller
// gets one of them, so that instances of less capacity are named to fewer callers.
const lookupVariants = 16

// relativeCapacities returns the capacity of each instance as a fraction of the largest of
// them, by its scarcest resource. An instance that states no capacity counts as the largest.
//
// The load pattern is a burst of uploads at a fleet whose instances have links of 10 and of
// 200 Mbit/s: with equal shares the queues at the slow links delay new connections to
// backend servers beyond their timeout, while the fast links stay idle.
func relativeCapacities(instances []catalog.Instance) []float64 {
	var maxBandwidth, maxCPU float64
	for _, i := range instances {
		maxBandwidth, maxCPU = max(maxBandwidth, i.BandwidthMbit), max(maxCPU, i.CPUs)
	}
	list := make([]float64, len(instances))
	largest := 0.0
	for n, i := range instances {
		list[n] = min(fraction(i.BandwidthMbit, maxBandwidth), fraction(i.CPUs, maxCPU))
		largest = max(largest, list[n])
	}
	for n := range list {
		list[n] /= largest
	}
	return list
}

// fraction returns part/whole, 1 if the part is unknown.
func fraction(part, whole float64) float64 {
	if part <= 0 {
		return 1
	}
	return part / whole
}

// shareWeight returns the weight of an instance where instances share a bound, from its own
// entry only, so that a change to another one changes nothing. Callers are sent to instances
// by their capacity.
func shareWeight(i *catalog.Instance) float64 {
	weight := 1.0
	for _, capacity := range [...]float64{i.BandwidthMbit, i.CPUs} {
		if capacity > 0 {
			weight *= capacity
		}
	}
	return weight
}

// namedIn reports whether a variant of the lookup answers names an instance. The instance is
// in its share of the variants, and in one at least.
func namedIn(variant int, id model.InstanceID, share float64) bool {
	offset := float64(xxh3.HashString(string(id))>>11) / (1 << 53)
	_, position := math.Modf(offset + float64(variant)/lookupVariants)
	return position < max(share, 1.0/lookupVariants)
}

// variantOf returns the variant of the lookup answers for a caller.
func variantOf(l *Lookup) int {
	return int(xxh3.HashString(l.Caller+"\x00"+l.Host) % lookupVariants)
}
