package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Result is what one run recorded.
type Result struct {
	Command    []string      `json:"command"`
	Started    time.Time     `json:"started"`
	Elapsed    time.Duration `json:"elapsed_ns"`
	Experiment *Experiment   `json:"experiment"`
	Rows       []Row         `json:"rows"`
	Series     []Point       `json:"series"`
	// DispatchLag is how late the tool itself started requests.
	DispatchLag Quantiles `json:"dispatch_lag"`
	Lookups     int64     `json:"lookups"`
	// FailedLookups are those that no entry instance answered.
	FailedLookups int64 `json:"failed_lookups"`
	// Problems are the first wrong or cut answers.
	Problems []string `json:"problems"`
	// NotRun lists the requests that were told so in every attempt. It is not part
	// of the result file.
	NotRun []string `json:"-"`
}

// Row is one class in one phase, by the time of arrival.
type Row struct {
	Class    string           `json:"class"`
	Rank     string           `json:"rank"`
	Phase    string           `json:"phase"`
	Requests int64            `json:"requests"`
	Outcomes map[string]int64 `json:"outcomes"`
	Causes   map[string]int64 `json:"causes"`
	Statuses map[string]int64 `json:"statuses"`
	Retries  int64            `json:"retries"`
	Moved    int64            `json:"moved"` // connections refused by an entry instance
	// InTime counts the served answers within the class's deadline.
	InTime int64 `json:"in_time"`
	// Goodput is InTime a second of the phase.
	Goodput float64 `json:"goodput"`
	// Latency is that of answers from backend servers.
	Latency Quantiles `json:"latency"`
	// RefusalLatency is that of refusals.
	RefusalLatency Quantiles `json:"refusal_latency"`
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// Point is one class in one second, by the time of the answer.
type Point struct {
	Second   int              `json:"second"`
	Class    string           `json:"class"`
	Outcomes map[string]int64 `json:"outcomes"`
	Latency  Quantiles        `json:"latency"`
}

// Faulty returns how many answers were wrong or cut.
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
