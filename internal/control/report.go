package control

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ReportQuery selects how far back a report reaches.
type ReportQuery struct {
	Window time.Duration // 0 for all retained buckets
}

// Report is the response body of GET /v1/report: the outcomes of the requests that
// callers sent to one instance. Reports of several instances can be merged by
// adding up their buckets.
type Report struct {
	Instance model.InstanceID `json:"instance"`
	Zone     model.ZoneName   `json:"zone"`
	At       time.Time        `json:"at"`
	Since    time.Time        `json:"since"` // when the instance started counting
	Series   []Series         `json:"series"`
}

// Series counts the requests of one service and rank over time.
type Series struct {
	Service   model.ServiceName `json:"service"`
	Rank      model.Rank        `json:"rank"`
	Objective Objective         `json:"objective"`
	Buckets   []Bucket          `json:"buckets"` // oldest first, without overlap
}

// Objective is the service level objective of a service in the current text.
type Objective struct {
	Ratio   float64       `json:"ratio"`      // 0 where the service has no target
	Latency time.Duration `json:"latency_ns"` // maximum latency of a good response
}

// Bucket counts the requests that ended within one time span. Older buckets
// cover longer spans than recent ones.
type Bucket struct {
	Start time.Time     `json:"start"`
	Width time.Duration `json:"width_ns"`
	// Good counts requests that were served within the objective's latency, or
	// served at all if there is no objective.
	Good    uint64       `json:"good"`
	Counts  []Count      `json:"counts"`  // sorted by outcome, then cause
	Latency []LatencyBin `json:"latency"` // histogram of served and late answers, ascending
}

// Count is the number of requests with one outcome and cause.
type Count struct {
	Outcome  model.Outcome `json:"outcome"`
	Cause    model.Cause   `json:"cause,omitempty"`
	Requests uint64        `json:"requests"`
}

// LatencyBin counts the answers with a latency above the preceding bin's upper bound
// and at most its own. All instances use the same bounds.
type LatencyBin struct {
	Upper    time.Duration `json:"upper_ns"`
	Requests uint64        `json:"requests"`
}
