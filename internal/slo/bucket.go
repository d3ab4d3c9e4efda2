package slo

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// addCount adds requests to the count of an outcome and cause. Counts are
// sorted.
func addCount(counts []control.Count, outcome model.Outcome, cause model.Cause, requests uint64) []control.Count {
	wanted := control.Count{Outcome: outcome, Cause: cause}
	i, found := slices.BinarySearchFunc(counts, wanted, compareCounts)
	if !found {
		counts = slices.Insert(counts, i, wanted)
	}
	counts[i].Requests += requests
	return counts
}

func compareCounts(a, b control.Count) int {
	return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
}

// addBucket adds what from counted to into, whose start and width stay.
func addBucket(into *control.Bucket, from *control.Bucket) {
	into.Good += from.Good
	for _, count := range from.Counts {
		into.Counts = addCount(into.Counts, count.Outcome, count.Cause, count.Requests)
	}
	for _, bin := range from.Latency {
		into.Latency = addLatency(into.Latency, bin.Upper, bin.Requests)
	}
}

func cloneBucket(b control.Bucket) control.Bucket {
	b.Counts = slices.Clone(b.Counts)
	b.Latency = slices.Clone(b.Latency)
	return b
}

// tier is a span of time that is kept at one resolution.
type tier struct {
	width time.Duration // of a bucket
	keep  time.Duration // age at which a bucket moves to the next tier
}

// tiers are ordered from recent to old. Each width divides the next one.
var tiers = [...]tier{
	{width: 10 * time.Second, keep: 10 * time.Minute},
	{width: 5 * time.Minute, keep: 7 * time.Hour},
	{width: time.Hour, keep: 73 * time.Hour},
}

// tieredBuckets holds one series' buckets: in each tier oldest first, without
// overlap between tiers.
type tieredBuckets [len(tiers)][]control.Bucket

// current returns the bucket for a point in time, which must not be before the
// newest bucket's start by more than one width; an earlier one counts there.
func (t *tieredBuckets) current(at time.Time) *control.Bucket {
	start := at.Truncate(tiers[0].width)
	buckets := t[0]
	if n := len(buckets); n > 0 && !buckets[n-1].Start.Before(start) {
		return &buckets[n-1]
	}
	t.age(at)
	t[0] = append(t[0], control.Bucket{Start: start, Width: tiers[0].width})
	return &t[0][len(t[0])-1]
}

// age moves buckets that have become too old for their tier to the next one and
// drops those of the last. All buckets that share one of the next tier's move
// together, so that the tiers never overlap.
func (t *tieredBuckets) age(now time.Time) {
	for i, level := range tiers {
		last := i+1 == len(tiers)
		span := level.width
		if !last {
			span = tiers[i+1].width
		}
		old := 0
		for old < len(t[i]) && now.Sub(t[i][old].Start.Truncate(span)) > level.keep {
			if !last {
				addBucket(t.coarser(i+1, t[i][old].Start), &t[i][old])
			}
			old++
		}
		t[i] = slices.Delete(t[i], 0, old)
	}
}

// coarser returns the bucket of a tier that holds a point in time.
func (t *tieredBuckets) coarser(i int, at time.Time) *control.Bucket {
	start := at.Truncate(tiers[i].width)
	if n := len(t[i]); n > 0 && t[i][n-1].Start.Equal(start) {
		return &t[i][n-1]
	}
	t[i] = append(t[i], control.Bucket{Start: start, Width: tiers[i].width})
	return &t[i][len(t[i])-1]
}

// since returns copies of the buckets that end after a point in time, oldest
// first.
func (t *tieredBuckets) since(oldest time.Time) []control.Bucket {
	var out []control.Bucket
	for i := len(tiers) - 1; i >= 0; i-- {
		for _, bucket := range t[i] {
			if bucket.Start.Add(bucket.Width).After(oldest) {
				out = append(out, cloneBucket(bucket))
			}
		}
	}
	return out
}
