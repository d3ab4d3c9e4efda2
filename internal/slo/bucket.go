package slo

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// addCount adds requests to the count of an outcome and cause. It keeps counts
// sorted and inserts a missing count.
func addCount(counts []control.Count, outcome model.Outcome, cause model.Cause, requests uint64) []control.Count {
	key := control.Count{Outcome: outcome, Cause: cause}
	i, found := slices.BinarySearchFunc(counts, key, compareCounts)
	if !found {
		counts = slices.Insert(counts, i, key)
	}
	counts[i].Requests += requests
	return counts
}

func compareCounts(a, b control.Count) int {
	return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
}

// addBucket adds the counts of src to dst. The start and width of dst are unchanged.
func addBucket(dst *control.Bucket, src *control.Bucket) {
	dst.Good += src.Good
	for _, count := range src.Counts {
		dst.Counts = addCount(dst.Counts, count.Outcome, count.Cause, count.Requests)
	}
	for _, bin := range src.Latency {
		dst.Latency = addLatency(dst.Latency, bin.Upper, bin.Requests)
	}
}

func cloneBucket(b control.Bucket) control.Bucket {
	b.Counts = slices.Clone(b.Counts)
	b.Latency = slices.Clone(b.Latency)
	return b
}

// tier is a range of bucket ages that is stored at one resolution.
type tier struct {
	width  time.Duration // width of a bucket
	maxAge time.Duration // age above which a bucket moves to the next tier
}

// tiers is ordered from recent to old. Each width divides the next one.
var tiers = [...]tier{
	{width: 10 * time.Second, maxAge: 10 * time.Minute},
	{width: 5 * time.Minute, maxAge: 7 * time.Hour},
	{width: time.Hour, maxAge: 73 * time.Hour},
}

// tieredBuckets contains the buckets of one series by tier, oldest first within a
// tier. The tiers do not overlap in time.
type tieredBuckets [len(tiers)][]control.Bucket

// current returns the bucket in which to count a request at a point in time,
// creating it if necessary. A time before the start of the newest bucket counts in
// the newest bucket; it must not be earlier by more than one bucket width.
func (t *tieredBuckets) current(at time.Time) *control.Bucket {
	start := at.Truncate(tiers[0].width)
	buckets := t[0]
	if n := len(buckets); n > 0 && !buckets[n-1].Start.Before(start) {
		return &buckets[n-1]
	}
	t.rollUp(at)
	t[0] = append(t[0], control.Bucket{Start: start, Width: tiers[0].width})
	return &t[0][len(t[0])-1]
}

// rollUp merges buckets that are too old for their tier into the next tier and drops
// those that are too old for the last tier. All buckets that belong to the same
// bucket of the next tier move together, so that the tiers never overlap.
func (t *tieredBuckets) rollUp(now time.Time) {
	for i, level := range tiers {
		last := i+1 == len(tiers)
		span := level.width
		if !last {
			span = tiers[i+1].width
		}
		old := 0
		for old < len(t[i]) && now.Sub(t[i][old].Start.Truncate(span)) > level.maxAge {
			if !last {
				addBucket(t.coarserBucket(i+1, t[i][old].Start), &t[i][old])
			}
			old++
		}
		t[i] = slices.Delete(t[i], 0, old)
	}
}

// coarserBucket returns the bucket of tier i that covers a point in time, creating it
// if necessary.
func (t *tieredBuckets) coarserBucket(i int, at time.Time) *control.Bucket {
	start := at.Truncate(tiers[i].width)
	if n := len(t[i]); n > 0 && t[i][n-1].Start.Equal(start) {
		return &t[i][n-1]
	}
	t[i] = append(t[i], control.Bucket{Start: start, Width: tiers[i].width})
	return &t[i][len(t[i])-1]
}

// since returns copies of the buckets that end after oldest, in ascending order of
// time.
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
