// Package load offers an open-loop load to entry instances and records how it
// was served. Arrivals follow a Poisson process drawn from a seed, whatever the
// answers do; each answer is checked against its request.
package load

import (
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Experiment describes one run.
type Experiment struct {
	Seed    uint64   `json:"seed"`
	Entries []string `json:"entries"` // addresses asked first for the list of entry instances
	// Timeout bounds one attempt of a class without a deadline.
	Timeout time.Duration `json:"timeout_ns"`
	// MaxInFlight bounds the requests in flight; what is beyond is counted as
	// dropped by the tool, not sent.
	MaxInFlight int `json:"max_in_flight"`
	// Retries is how often a caller sends a request again that was not run.
	Retries int     `json:"retries"`
	Phases  []Phase `json:"phases"`
	Classes []Class `json:"classes"`
}

// Phase is a span of the run with its own rates.
type Phase struct {
	Name   string        `json:"name"`
	Length time.Duration `json:"length_ns"`
	// Factors multiply the rates of the classes of each rank.
	Factors [model.RankCount]float64 `json:"factors"`
}

// Class is one kind of request.
type Class struct {
	Name   string     `json:"name"`
	Rank   model.Rank `json:"rank"` // a label; the system ranks by its own text
	Kind   model.Kind `json:"kind"`
	Method string     `json:"method"`
	Path   string     `json:"path"`
	Rate   float64    `json:"rate"` // arrivals a second
	// Callers is the block of source addresses, on loopback 127.0.0.0/8.
	Callers     netip.Prefix `json:"callers"`
	BodyBytes   int          `json:"body_bytes"`
	AnswerBytes int          `json:"answer_bytes"`
	// Repeat is the share of requests that send an earlier one of the class again
	// with its idempotency key, 0 to 1.
	Repeat float64 `json:"repeat"`
	// Deadline is sent as X-Deadline-Ms and decides what counts as in time; 0
	// sends none and counts every served answer.
	Deadline time.Duration `json:"deadline_ns"`
}

// The defaults of an experiment.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultMaxInFlight = 20000
)

// timeout bounds one attempt of a class.
func (e *Experiment) timeout(c *Class) time.Duration {
	if c.Deadline > 0 {
		return 2*c.Deadline + lateGrace
	}
	return e.Timeout
}

// lateGrace is how long after twice its deadline a late answer is awaited.
const lateGrace = 500 * time.Millisecond

// Length returns the length of all phases.
func (e *Experiment) Length() time.Duration {
	var total time.Duration
	for _, p := range e.Phases {
		total += p.Length
	}
	return total
}
