package watch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

// Report is the evaluation of the samples of a run.
type Report struct {
	Command []string      `json:"command"`
	Started time.Time     `json:"started"`
	Every   time.Duration `json:"every_ns"`
	Samples int           `json:"samples"` // one per entry instance and interval
	Missed  int           `json:"missed"`  // samples without an answer
	// Window is the time window of the shift cap, and Fraction its share of the
	// capacity.
	Window   time.Duration `json:"window_ns"`
	Fraction float64       `json:"fraction"`

	ZoneServices []ZoneServiceReport `json:"cells"`
	Backends     []ServerReport      `json:"backends"`
	// NotRun is the number of requests that were answered with not-run; NotRunButRan
	// lists the IDs of those that a backend server ran all the same.
	NotRun       int      `json:"not_run"`
	NotRunButRan []string `json:"not_run_but_ran"`
	// Repeated lists the idempotency keys that ran more than once, counted over all
	// backend servers.
	Repeated []string `json:"repeated_keys"`
}

// ZoneServiceReport is the evaluation of a service in a zone. SpillRise and
// CapacityRise are the largest rises of the spill level and of the usable slots between
// two samples within a window of the shift cap, shortened by two sampling intervals.
type ZoneServiceReport struct {
	ZoneService
	Slots int     `json:"slots"` // configured
	Cap   float64 `json:"cap"`   // slots by which a shift may grow within a window
	// Bound is Cap rounded down to whole slots, at least one. The report does not judge
	// the rises by it.
	Bound int `json:"bound"`

	SpillRise    float64 `json:"spill_rise"`
	CapacityRise int     `json:"capacity_rise"`
	SpillPeak    int     `json:"spill_peak"`
	InUsePeak    int     `json:"in_use_peak"`
	// OverLevel counts the samples in which SpillInUse exceeded SpillLevel.
	OverLevel int `json:"over_level"`
	// Series holds the samples: milliseconds since the start of sampling, usable slots,
	// slots in use, spill level, spill in use.
	Series [][5]int `json:"series"`
}

func (p *Point) row() [5]int {
	return [5]int{int(p.At.Milliseconds()), p.Slots, p.InUse, int(p.SpillLevel), p.SpillInUse}
}

// ServerReport holds the counters that a backend server reports itself.
type ServerReport struct {
	Backend   model.BackendName `json:"backend"`
	Zone      model.ZoneName    `json:"zone"`
	Slots     int               `json:"slots"`
	Peak      int               `json:"peak"` // maximum number of slots in use
	Started   int64             `json:"started"`
	Completed int64             `json:"completed"`
	Cancelled int64             `json:"cancelled"`
	Shed      int64             `json:"shed"`
	Crashes   int64             `json:"crashes"`
	Reached   bool              `json:"reached"` // answered at the end of the run
}

// Check evaluates the samples, the IDs of the requests that were answered with
// not-run, and the requests that each backend server reports as run.
func Check(text *config.Text, s *Series, notRun []string, runs map[model.BackendName]*backend.Runs) *Report {
	limit := text.Limits.ShiftCap
	r := &Report{
		Started: s.Started, Every: s.Every, Samples: s.Samples, Missed: s.Missed,
		Window: limit.Window, Fraction: limit.Fraction, NotRun: len(notRun),
		NotRunButRan: []string{}, Repeated: []string{},
	}
	for key, points := range s.Points {
		r.ZoneServices = append(r.ZoneServices, evaluateZoneService(text, key, points, s.Every))
	}
	slices.SortFunc(r.ZoneServices, func(a, b ZoneServiceReport) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service))
	})
	r.evaluateRuns(text, notRun, runs)
	return r
}

func evaluateZoneService(text *config.Text, key ZoneService, points []Point, every time.Duration) ZoneServiceReport {
	c := ZoneServiceReport{ZoneService: key}
	for _, b := range text.Backends {
		if b.Zone == key.Zone && b.Service == key.Service {
			c.Slots += b.Slots
		}
	}
	c.Cap = text.Limits.ShiftCap.Fraction * float64(c.Slots)
	c.Bound = max(1, int(math.Floor(c.Cap)))
	window := text.Limits.ShiftCap.Window - 2*every
	c.SpillRise = maxRise(points, window, func(p *Point) float64 { return p.SpillLevel })
	c.CapacityRise = int(maxRise(points, window, func(p *Point) float64 { return float64(p.Slots) }))
	for i := range points {
		p := &points[i]
		c.Series = append(c.Series, p.row())
		c.SpillPeak = max(c.SpillPeak, p.SpillInUse)
		c.InUsePeak = max(c.InUsePeak, p.InUse)
		if float64(p.SpillInUse) > p.SpillLevel {
			c.OverLevel++
		}
	}
	return c
}

// maxRise returns the largest rise between two samples that are at most a window
// apart.
func maxRise(points []Point, window time.Duration, value func(*Point) float64) float64 {
	largest := 0.0
	first := 0
	for i := range points {
		for points[i].At-points[first].At > window {
			first++
		}
		for j := first; j < i; j++ {
			largest = max(largest, value(&points[i])-value(&points[j]))
		}
	}
	return largest
}

func (r *Report) evaluateRuns(text *config.Text, notRun []string, runs map[model.BackendName]*backend.Runs) {
	ran := make(map[string]bool)
	keys := make(map[string]int)
	for _, b := range text.Backends {
		server := ServerReport{Backend: b.Name, Zone: b.Zone, Slots: b.Slots}
		if counted := runs[b.Name]; counted != nil {
			server.Reached = true
			server.Peak = counted.PeakInUse
			server.Started, server.Completed, server.Cancelled = counted.Started, counted.Completed, counted.Cancelled
			server.Shed, server.Crashes = counted.Shed, counted.Crashes
			for id := range counted.RequestIDs {
				ran[id] = true
			}
			for key, n := range counted.IdempotencyKeys {
				keys[key] += n
			}
		}
		r.Backends = append(r.Backends, server)
	}
	for _, id := range notRun {
		if ran[id] {
			r.NotRunButRan = append(r.NotRunButRan, id)
		}
	}
	for key, n := range keys {
		if n > 1 {
			r.Repeated = append(r.Repeated, key)
		}
	}
	slices.Sort(r.Repeated)
}

// WriteFile writes the report as JSON.
func (r *Report) WriteFile(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
