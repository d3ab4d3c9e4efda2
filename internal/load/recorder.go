package load

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatency    = 1
	maxLatency    = 120_000_000
	latencyDigits = 3
	secondsDigits = 2
	maxProblems   = 20
	servedOutcome = "served"
	lateOutcome   = "late"
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

// cell records one class in one phase.
type cell struct {
	row      Row
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

// classRecorder records one class.
type classRecorder struct {
	mu       sync.Mutex
	class    *Class
	cells    []cell
	second   int // of the run, being filled
	outcomes map[string]int64
	latency  *hdrhistogram.Histogram
	points   []Point
	problems []string
	notRun   []string // identifiers of requests that were told so in every attempt
}

func newClassRecorder(e *Experiment, c *Class) *classRecorder {
	r := &classRecorder{class: c, outcomes: make(map[string]int64), latency: newHistogram(secondsDigits)}
	for _, p := range e.Phases {
		r.cells = append(r.cells, cell{
			row: Row{
				Class: c.Name, Rank: c.Rank.String(), Phase: p.Name,
				Outcomes: make(map[string]int64), Causes: make(map[string]int64), Statuses: make(map[string]int64),
			},
			latency:  newHistogram(latencyDigits),
			refusals: newHistogram(latencyDigits),
		})
	}
	return r
}

// add records a request that ended at the given time since the start.
func (r *classRecorder) add(q *request, o observation, latency, ended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.cells[q.phase]
	c.row.Requests++
	c.row.Outcomes[o.outcome]++
	c.row.Retries += int64(o.retries)
	c.row.Moved += int64(o.moved)
	if o.cause != "" {
		c.row.Causes[o.cause]++
	}
	if o.status != 0 {
		c.row.Statuses[strconv.Itoa(o.status)]++
	}
	r.advance(int(ended / time.Second))
	r.outcomes[o.outcome]++
	r.addLatency(c, o, latency)
	r.addProblem(o)
	r.addNotRun(q, o)
}

// addNotRun leaves out classes that repeat requests, since another one with the
// same identifier may have run.
func (r *classRecorder) addNotRun(q *request, o observation) {
	if o.outcome == model.NotRun.String() && r.class.Repeat == 0 {
		r.notRun = append(r.notRun, q.id)
	}
}

func (r *classRecorder) addLatency(c *cell, o observation, latency time.Duration) {
	switch o.outcome {
	case servedOutcome, lateOutcome:
		record(c.latency, latency)
		record(r.latency, latency)
	case model.NotRun.String(), model.Unknown.String():
		record(c.refusals, latency)
	}
	if o.outcome == servedOutcome && o.status < 500 && (r.class.Deadline == 0 || latency <= r.class.Deadline) {
		c.row.InTime++
	}
}

func (r *classRecorder) addProblem(o observation) {
	faulty := o.outcome == outcomeWrong || o.outcome == outcomeCut
	if faulty && len(r.problems) < maxProblems {
		r.problems = append(r.problems, r.class.Name+": "+o.outcome+": "+o.detail)
	}
}

// advance closes the seconds before the given one.
func (r *classRecorder) advance(second int) {
	if second <= r.second {
		return
	}
	r.closeSecond()
	r.second = second
}

func (r *classRecorder) closeSecond() {
	if len(r.outcomes) == 0 {
		return
	}
	r.points = append(r.points, Point{
		Second:   r.second,
		Class:    r.class.Name,
		Outcomes: r.outcomes,
		Latency:  quantilesOf(r.latency),
	})
	r.outcomes = make(map[string]int64)
	r.latency.Reset()
}

// finish adds what was recorded to a result.
func (r *classRecorder) finish(result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeSecond()
	for i := range r.cells {
		c := &r.cells[i]
		c.row.Latency = quantilesOf(c.latency)
		c.row.RefusalLatency = quantilesOf(c.refusals)
		c.row.Goodput = float64(c.row.InTime) / result.Experiment.Phases[i].Length.Seconds()
		result.Rows = append(result.Rows, c.row)
	}
	result.Series = append(result.Series, r.points...)
	result.Problems = append(result.Problems, r.problems...)
	result.NotRun = append(result.NotRun, r.notRun...)
}
