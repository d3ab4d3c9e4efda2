package membership

import (
	"math"
	"math/bits"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// fullWeightAfter is the uptime at which ByUptime gives an instance its full
// share of backend servers. The weight reaches it in weightSteps steps.
const (
	fullWeightAfter = 2 * time.Hour
	weightSteps     = 4
)

// pairHash combines the hashes of an instance and a backend server into a score
// for rendezvous hashing. The instance with the highest score is the owner.
func pairHash(instance, backend uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 / golden ratio
	hi, lo := bits.Mul64(instance^bits.RotateLeft64(backend, 32), multiplier)
	mixed := hi ^ lo ^ backend
	hi, lo = bits.Mul64(mixed, multiplier^instance)
	return hi ^ lo
}

// weightedScore returns a score for weighted rendezvous hashing. The probability
// that an instance has the highest score is proportional to its weight, and a
// change of one weight moves only backend servers to or from that instance.
func weightedScore(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// weightStep returns the weight of an instance, from 1 to weightSteps, by its
// uptime.
func weightStep(startedAt, now model.Instant) int {
	reached := int(now.Sub(startedAt) * weightSteps / fullWeightAfter)
	return min(max(reached, 0), weightSteps-1) + 1
}

// ownerOf returns the owner of a backend server among candidates, or nil if there
// are none.
func ownerOf(backend uint64, candidates []*member, w Weighting, now model.Instant) *member {
	if w == ByUptime {
		return weightedOwnerOf(backend, candidates, now)
	}
	var best *member
	var bestScore uint64
	for _, m := range candidates {
		score := pairHash(m.hash, backend)
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

func weightedOwnerOf(backend uint64, candidates []*member, now model.Instant) *member {
	var best *member
	var bestScore float64
	for _, m := range candidates {
		weight := float64(weightStep(m.record.StartedAt, now))
		score := weightedScore(pairHash(m.hash, backend), weight)
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}
