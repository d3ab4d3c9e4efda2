// Package stats counts what became of callers' requests, by service and rank, in
// buckets of time that grow longer with age, so that three days fit into little
// memory.
package stats

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// tier is one resolution in which history is kept.
type tier struct {
	width time.Duration
	keep  int // buckets
}

// tiers keep ten minutes, six hours and three days. Every request is counted in
// each of them; a report takes the finest that still covers a time.
var tiers = [...]tier{
	{width: 10 * time.Second, keep: 60},
	{width: 5 * time.Minute, keep: 72},
	{width: time.Hour, keep: 73},
}

// Sample is the end of one request.
type Sample struct {
	Service model.ServiceName
	Rank    model.Rank
	Outcome model.Outcome
	Cause   model.Cause
	Latency time.Duration
	Good    bool // served within the objective's latency
}

type seriesKey struct {
	service model.ServiceName
	rank    model.Rank
}

type countKey struct {
	outcome model.Outcome
	cause   model.Cause
}

type bucket struct {
	start   time.Time
	good    uint64
	counts  map[countKey]uint64
	latency [binCount]uint32
}

type series struct{ tiers [len(tiers)][]*bucket }

// Recorder counts samples. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	since  time.Time
	series map[seriesKey]*series
}

// NewRecorder returns a recorder that counts from since on.
func NewRecorder(since time.Time) *Recorder {
	return &Recorder{since: since, series: make(map[seriesKey]*series)}
}

// Add counts a request that ended at now.
func (r *Recorder) Add(now time.Time, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := seriesKey{s.Service, s.Rank}
	kept := r.series[key]
	if kept == nil {
		kept = &series{}
		r.series[key] = kept
	}
	for i := range tiers {
		kept.bucket(i, now).add(s)
	}
}

func (s *series) bucket(i int, now time.Time) *bucket {
	start := now.Truncate(tiers[i].width)
	list := s.tiers[i]
	if n := len(list); n > 0 && !list[n-1].start.Before(start) {
		return list[n-1]
	}
	if len(list) == tiers[i].keep {
		list = slices.Delete(list, 0, 1)
	}
	b := &bucket{start: start, counts: make(map[countKey]uint64)}
	s.tiers[i] = append(list, b)
	return b
}

func (b *bucket) add(s Sample) {
	b.counts[countKey{s.Outcome, s.Cause}]++
	if s.Good {
		b.good++
	}
	if s.Outcome == model.Served || s.Outcome == model.Late {
		b.latency[binOf(s.Latency)]++
	}
}

// Report returns the series of the last window, everything for 0. The objective
// of each service comes from the text in force.
func (r *Recorder) Report(now time.Time, window time.Duration, objective func(model.ServiceName) control.Objective) control.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := control.Report{At: now, Since: r.since}
	from := r.since
	if window > 0 {
		from = now.Add(-window)
	}
	for key, kept := range r.series {
		report.Series = append(report.Series, control.Series{
			Service:   key.service,
			Rank:      key.rank,
			Objective: objective(key.service),
			Buckets:   kept.since(from),
		})
	}
	slices.SortFunc(report.Series, func(a, b control.Series) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return report
}

// since returns buckets without overlap from the given time on, oldest first. A
// coarse bucket is used only where it ends before the finer tier begins; where
// the two overlap in part, the coarse one is used and the fine ones inside it
// are left out, so that no request is counted twice.
func (s *series) since(from time.Time) []control.Bucket {
	var out []control.Bucket
	covered := time.Time{} // everything before it is in out already
	for i := len(tiers) - 1; i >= 0; i-- {
		finer := s.start(i - 1)
		for _, b := range s.tiers[i] {
			end := b.start.Add(tiers[i].width)
			if !end.After(from) || b.start.Before(covered) {
				continue
			}
			if i > 0 && !b.start.Before(finer) {
				break
			}
			out = append(out, b.export(tiers[i].width))
			covered = end
		}
	}
	return out
}

// start returns the time from which a tier is complete; the finest tier of a
// young series covers all of it.
func (s *series) start(i int) time.Time {
	if i < 0 || len(s.tiers[i]) == 0 {
		return time.Time{}
	}
	return s.tiers[i][0].start
}

func (b *bucket) export(width time.Duration) control.Bucket {
	out := control.Bucket{Start: b.start, Width: width, Good: b.good}
	for key, n := range b.counts {
		out.Counts = append(out.Counts, control.Count{Outcome: key.outcome, Cause: key.cause, Requests: n})
	}
	slices.SortFunc(out.Counts, func(a, b control.Count) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	for i, n := range b.latency {
		if n > 0 {
			out.Latency = append(out.Latency, control.LatencyBin{Upper: binUpper(i), Requests: uint64(n)})
		}
	}
	return out
}
