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

// Report is what a run of samples shows.
type Report struct {
	Command []string      `json:"command"`
	Started time.Time     `json:"started"`
	Every   time.Duration `json:"every_ns"`
	Samples int           `json:"samples"`
	Missed  int           `json:"missed"`
	// Window is the shift cap's, and Fraction its part of the capacity.
	Window   time.Duration `json:"window_ns"`
	Fraction float64       `json:"fraction"`

	Cells    []CellReport   `json:"cells"`
	Backends []ServerReport `json:"backends"`
	// NotRun is how many requests were told not-run; Ran those of them that a
	// backend server ran.
	NotRun int      `json:"not_run"`
	Ran    []string `json:"not_run_but_ran"`
	// Repeated are the idempotency keys that ran more than once.
	Repeated []string `json:"repeated_keys"`
}

// CellReport is a service in a zone. Rises are the largest in any window of the
// shift cap, between samples less than a window apart by two sample times.
type CellReport struct {
	Cell
	Slots int     `json:"slots"` // of the text
	Cap   float64 `json:"cap"`   // slots by which a shift may grow in a window
	// Bound is Cap in whole slots, and one slot where Cap is less.
	Bound int `json:"bound"`

	SpillRise    float64 `json:"spill_rise"`
	CapacityRise int     `json:"capacity_rise"`
	SpillPeak    int     `json:"spill_peak"`
	InUsePeak    int     `json:"in_use_peak"`
	// OverLevel counts samples with more spill in use than the level.
	OverLevel int `json:"over_level"`
	// Series are the samples: milliseconds since the first one, usable slots, slots
	// in use, spill level, spill in use.
	Series [][5]int `json:"series"`
}

func (p *Point) row() [5]int {
	return [5]int{int(p.At.Milliseconds()), p.Slots, p.InUse, int(p.SpillLevel), p.SpillInUse}
}

// ServerReport is a backend server's own count.
type ServerReport struct {
	Backend   model.BackendName `json:"backend"`
	Zone      model.ZoneName    `json:"zone"`
	Slots     int               `json:"slots"`
	Peak      int               `json:"peak"`
	Started   int64             `json:"started"`
	Completed int64             `json:"completed"`
	Cancelled int64             `json:"cancelled"`
	Shed      int64             `json:"shed"`
	Crashes   int64             `json:"crashes"`
	Reached   bool              `json:"reached"` // answered at the end of the run
}

// Check works a report out.
func Check(text *config.Text, s *Series, notRun []string, runs map[model.BackendName]*backend.Runs) *Report {
	limit := text.Limits.ShiftCap
	r := &Report{
		Started: s.Started, Every: s.Every, Samples: s.Samples, Missed: s.Missed,
		Window: limit.Window, Fraction: limit.Fraction, NotRun: len(notRun),
		Ran: []string{}, Repeated: []string{},
	}
	for cell, points := range s.Cells {
		r.Cells = append(r.Cells, checkCell(text, cell, points, s.Every))
	}
	slices.SortFunc(r.Cells, func(a, b CellReport) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service))
	})
	r.checkRuns(text, notRun, runs)
	return r
}

func checkCell(text *config.Text, cell Cell, points []Point, every time.Duration) CellReport {
	c := CellReport{Cell: cell}
	for _, b := range text.Backends {
		if b.Zone == cell.Zone && b.Service == cell.Service {
			c.Slots += b.Slots
		}
	}
	c.Cap = text.Limits.ShiftCap.Fraction * float64(c.Slots)
	c.Bound = max(1, int(math.Floor(c.Cap)))
	window := text.Limits.ShiftCap.Window - 2*every
	c.SpillRise = rise(points, window, func(p *Point) float64 { return p.SpillLevel })
	c.CapacityRise = int(rise(points, window, func(p *Point) float64 { return float64(p.Slots) }))
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

// rise is the largest growth between two samples that are at most a window apart.
func rise(points []Point, window time.Duration, value func(*Point) float64) float64 {
	worst := 0.0
	first := 0
	for i := range points {
		for points[i].At-points[first].At > window {
			first++
		}
		for j := first; j < i; j++ {
			worst = max(worst, value(&points[i])-value(&points[j]))
		}
	}
	return worst
}

func (r *Report) checkRuns(text *config.Text, notRun []string, runs map[model.BackendName]*backend.Runs) {
	ran := make(map[string]bool)
	keys := make(map[string]int)
	for _, b := range text.Backends {
		own := ServerReport{Backend: b.Name, Zone: b.Zone, Slots: b.Slots}
		if counted := runs[b.Name]; counted != nil {
			own.Reached = true
			own.Peak = counted.PeakInUse
			own.Started, own.Completed, own.Cancelled = counted.Started, counted.Completed, counted.Cancelled
			own.Shed, own.Crashes = counted.Shed, counted.Crashes
			for id := range counted.RequestIDs {
				ran[id] = true
			}
			for key, n := range counted.IdempotencyKeys {
				keys[key] += n
			}
		}
		r.Backends = append(r.Backends, own)
	}
	for _, id := range notRun {
		if ran[id] {
			r.Ran = append(r.Ran, id)
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
