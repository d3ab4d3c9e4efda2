package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Result holds the recorded data of one run.
type Result struct {
	Command    []string      `json:"command"`
	Started    time.Time     `json:"started"`
	Elapsed    time.Duration `json:"elapsed_ns"`
	Experiment *Experiment   `json:"experiment"`
	Rows       []Row         `json:"rows"`
	Series     []Point       `json:"series"`
	// DispatchLag is the delay between the scheduled arrival of a request and its start
	// by the tool.
	DispatchLag Quantiles `json:"dispatch_lag"`
	Lookups     int64     `json:"lookups"`
	// FailedLookups counts the lookups that no entry instance answered.
	FailedLookups int64 `json:"failed_lookups"`
	// Problems describes the first wrong or cut answers of each class.
	Problems []string `json:"problems"`
	// NotRun lists the IDs of the requests whose attempts were all answered with
	// not-run, except for classes that repeat requests. It is not part of the result
	// file.
	NotRun []string `json:"-"`
}

// Row holds the figures of one class in one phase. A request belongs to the phase of
// its arrival.
type Row struct {
	Class    string           `json:"class"`
	Rank     string           `json:"rank"`
	Phase    string           `json:"phase"`
	Requests int64            `json:"requests"`
	Outcomes map[string]int64 `json:"outcomes"`
	Causes   map[string]int64 `json:"causes"`
	Statuses map[string]int64 `json:"statuses"`
	Retries  int64            `json:"retries"`
	Moved    int64            `json:"moved"` // failed connection attempts to entry instances
	// InTime counts the served answers with a status below 500 that came within the
	// class's deadline, if it has one.
	InTime int64 `json:"in_time"`
	// Goodput is InTime per second of the phase.
	Goodput float64 `json:"goodput"`
	// Latency covers the requests with outcome served or late.
	Latency Quantiles `json:"latency"`
	// RefusalLatency covers the answers with outcome not-run or unknown.
	RefusalLatency Quantiles `json:"refusal_latency"`
}

// Quantiles holds a count of latencies and their quantiles in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// Point holds the figures of one class in one second of the run. A request belongs
// to the second in which it ended.
type Point struct {
	Second   int              `json:"second"`
	Class    string           `json:"class"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  Quantiles        `json:"latency"`
}

// Faulty returns the number of wrong or cut answers.
func (r *Result) Faulty() int64 {
	var n int64
	for _, row := range r.Rows {
		n += row.Outcomes[outcomeWrong] + row.Outcomes[outcomeCut]
	}
	return n
}

// WriteFile writes the result as JSON.
func (r *Result) WriteFile(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// ReadResult reads a result file.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read result: %w", err)
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("decode result %s: %w", path, err)
	}
	return &r, nil
}
