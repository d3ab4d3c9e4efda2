// Package slo counts the outcomes of requests by service and rank and computes how
// fast each of them consumes the error budget of its service level objective.
package slo

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

// Recorder counts finished requests of one instance in time buckets. It is safe for
// concurrent use and does not allocate per request in steady state.
type Recorder struct {
	mu         sync.RWMutex // guards the maps
	since      time.Time
	objectives map[model.ServiceName]config.Target
	series     map[seriesKey]*series
}

type seriesKey struct {
	service model.ServiceName
	rank    model.Rank
}

type series struct {
	mu      sync.Mutex
	buckets tieredBuckets
}

// NewRecorder returns a Recorder that starts counting at now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{since: now, series: map[seriesKey]*series{}}
}

// SetText adopts the objectives of a new text. They apply to requests recorded from
// then on; earlier requests keep the classification by their former objectives.
func (r *Recorder) SetText(text *config.Text) {
	objectives := lo.SliceToMap(text.Services, func(s config.Service) (model.ServiceName, config.Target) {
		return s.Name, s.Target
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = objectives
}

// FinishedRequest describes one finished request.
type FinishedRequest struct {
	At      time.Time
	Service model.ServiceName
	Rank    model.Rank
	Outcome model.Outcome
	Cause   model.Cause
	Latency time.Duration // from the request's arrival to the end of its answer
}

// Record counts a request.
func (r *Recorder) Record(f FinishedRequest) {
	s, target := r.find(seriesKey{f.Service, f.Rank})
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.buckets.current(f.At)
	bucket.Counts = addCount(bucket.Counts, f.Outcome, f.Cause, 1)
	if f.Outcome != model.Served && f.Outcome != model.Late {
		return
	}
	bucket.Latency = addLatency(bucket.Latency, latencyBound(f.Latency), 1)
	if f.Outcome == model.Served && (target.Latency == 0 || f.Latency <= target.Latency) {
		bucket.Good++
	}
}

// find returns the series for key, creating it if necessary, and the target of its
// service.
func (r *Recorder) find(key seriesKey) (*series, config.Target) {
	r.mu.RLock()
	s, target := r.series[key], r.objectives[key.service]
	r.mu.RUnlock()
	if s != nil {
		return s, target
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.series[key]; s == nil {
		s = &series{}
		r.series[key] = s
	}
	return s, target
}

// Since returns the time at which the recorder started counting.
func (r *Recorder) Since() time.Time { return r.since }

// Snapshot returns the series with the buckets of the last window before now, sorted
// by service and rank. With window 0 it returns all retained buckets.
func (r *Recorder) Snapshot(now time.Time, window time.Duration) []control.Series {
	oldest := time.Time{}
	if window > 0 {
		oldest = now.Add(-window)
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []control.Series
	for key, s := range r.series {
		target := r.objectives[key.service]
		out = append(out, control.Series{
			Service:   key.service,
			Rank:      key.rank,
			Objective: control.Objective{Ratio: target.Ratio, Latency: target.Latency},
			Buckets:   s.snapshot(now, oldest),
		})
	}
	slices.SortFunc(out, func(a, b control.Series) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
	return out
}

func (s *series) snapshot(now, oldest time.Time) []control.Bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buckets.rollUp(now)
	return s.buckets.since(oldest)
}
