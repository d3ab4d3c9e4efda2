package control

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ReportQuery selects how far back a report reaches.
type ReportQuery struct {
	Window time.Duration // 0 for everything that is kept
}

// Report is the answer to GET /v1/report: what became of the requests that
// callers sent to one instance. Reports of several instances can be merged by
// adding up buckets.
type Report struct {
	Instance model.InstanceID `json:"instance"`
	Zone     model.ZoneName   `json:"zone"`
	At       time.Time        `json:"at"`
	Since    time.Time        `json:"since"` // when the instance began to count
	Series   []Series         `json:"series"`
}

// Series is what became of the requests of one service and rank.
type Series struct {
	Service   model.ServiceName `json:"service"`
	Rank      model.Rank        `json:"rank"`
	Objective Objective         `json:"objective"`
	Buckets   []Bucket          `json:"buckets"` // oldest first, without overlap
}

// Objective is the service's target of the text in force.
type Objective struct {
	Ratio   float64       `json:"ratio"`      // 0 where the service has no target
	Latency time.Duration `json:"latency_ns"` // of a good answer at most
}

// Bucket counts the requests that were answered in one span of time. Recent
// buckets are short, older ones longer.
type Bucket struct {
	Start time.Time     `json:"start"`
	Width time.Duration `json:"width_ns"`
	// Good counts requests that were served within the objective's latency.
	Good    uint64       `json:"good"`
	Counts  []Count      `json:"counts"`  // by outcome, then cause
	Latency []LatencyBin `json:"latency"` // of served and late answers, shortest first
}

// Count is the number of requests with one outcome and cause.
type Count struct {
	Outcome  model.Outcome `json:"outcome"`
	Cause    model.Cause   `json:"cause,omitempty"`
	Requests uint64        `json:"requests"`
}

// LatencyBin counts answers up to a latency and above the bin before it. All
// instances use the same bounds.
type LatencyBin struct {
	Upper    time.Duration `json:"upper_ns"`
	Requests uint64        `json:"requests"`
}
