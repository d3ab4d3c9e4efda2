package load

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Parameters of the recorders.
const (
	minLatency    = 1           // microseconds, lower bound of the histograms
	maxLatency    = 120_000_000 // microseconds, upper bound of the histograms
	latencyDigits = 3           // significant digits of the histograms of a phase and of the dispatch lag
	secondsDigits = 2           // significant digits of the histogram of a second
	maxProblems   = 20          // problems kept per class
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

// phaseRecorder records one class in one phase.
type phaseRecorder struct {
	row      Row
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

// classRecorder records one class.
type classRecorder struct {
	mu       sync.Mutex
	class    *Class
	phases   []phaseRecorder
	second   int // second of the run that is being recorded
	outcomes map[string]int64
	latency  *hdrhistogram.Histogram
	points   []Point
	problems []string
	notRun   []string // IDs of requests whose attempts were all answered with not-run
}

func newClassRecorder(e *Experiment, c *Class) *classRecorder {
	r := &classRecorder{class: c, outcomes: make(map[string]int64), latency: newHistogram(secondsDigits)}
	for _, p := range e.Phases {
		r.phases = append(r.phases, phaseRecorder{
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

// add records a request that ended at the given time after the start of the run.
func (r *classRecorder) add(q *request, o observation, latency, ended time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.phases[q.phase]
	c.row.Requests++
	c.row.Outcomes[o.outcome]++
	c.row.Retries += int64(o.retries)
	c.row.Moved += int64(o.failedDials)
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

// addNotRun records the ID of a request that was not run. It skips classes that
// repeat requests, because another request with the same ID may have run.
func (r *classRecorder) addNotRun(q *request, o observation) {
	if o.outcome == model.NotRun.String() && r.class.Repeat == 0 {
		r.notRun = append(r.notRun, q.id)
	}
}

func (r *classRecorder) addLatency(c *phaseRecorder, o observation, latency time.Duration) {
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

// advance closes the current second if the given one is later.
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

// finish adds the recorded data to a result.
func (r *classRecorder) finish(result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeSecond()
	for i := range r.phases {
		c := &r.phases[i]
		c.row.Latency = quantilesOf(c.latency)
		c.row.RefusalLatency = quantilesOf(c.refusals)
		c.row.Goodput = float64(c.row.InTime) / result.Experiment.Phases[i].Length.Seconds()
		result.Rows = append(result.Rows, c.row)
	}
	result.Series = append(result.Series, r.points...)
	result.Problems = append(result.Problems, r.problems...)
	result.NotRun = append(result.NotRun, r.notRun...)
}
