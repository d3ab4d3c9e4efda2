// Package load generates open-loop load for entry instances and records how it is
// served. Arrivals follow a seeded Poisson process and do not wait for answers; each
// answer is verified against its request.
package load

import (
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Experiment describes one run.
type Experiment struct {
	Seed    uint64   `json:"seed"`
	Entries []string `json:"entries"` // bootstrap addresses for looking up the entry instances
	// Timeout limits one attempt of a class without a deadline.
	Timeout time.Duration `json:"timeout_ns"`
	// MaxInFlight limits the requests in flight. Requests beyond it are not sent but
	// counted as dropped.
	MaxInFlight int `json:"max_in_flight"`
	// Retries is the maximum number of retries of a request that was not run.
	Retries int     `json:"retries"`
	Phases  []Phase `json:"phases"`
	Classes []Class `json:"classes"`
}

// Phase is a period of the run with its own arrival rates.
type Phase struct {
	Name   string        `json:"name"`
	Length time.Duration `json:"length_ns"`
	// Factors multiply the rates of the classes of each rank.
	Factors [model.RankCount]float64 `json:"factors"`
}

// Class is a group of requests with the same parameters.
type Class struct {
	Name string `json:"name"`
	// Rank selects the factor of a phase and labels the results. It is not sent; the
	// system ranks requests by its own configuration.
	Rank   model.Rank `json:"rank"`
	Kind   model.Kind `json:"kind"`
	Method string     `json:"method"`
	Path   string     `json:"path"`
	Rate   float64    `json:"rate"` // arrivals per second
	// Callers is the IPv4 block of source addresses. The host must be able to send from
	// them, as from the loopback addresses in 127.0.0.0/8.
	Callers     netip.Prefix `json:"callers"`
	BodyBytes   int          `json:"body_bytes"`
	AnswerBytes int          `json:"answer_bytes"`
	// Repeat is the share of requests, 0 to 1, that repeat an earlier request of the
	// class with the same idempotency key.
	Repeat float64 `json:"repeat"`
	// Deadline is sent as X-Deadline-Ms; only answers within it count as in time.
	// With 0 no deadline is sent and every served answer with a status below 500 counts.
	Deadline time.Duration `json:"deadline_ns"`
}

// Default settings of an experiment.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultMaxInFlight = 20000
)

// timeout returns the limit for one attempt of a class.
func (e *Experiment) timeout(c *Class) time.Duration {
	if c.Deadline > 0 {
		return 2*c.Deadline + lateGrace
	}
	return e.Timeout
}

// lateGrace is added to twice the deadline to obtain the timeout of an attempt, so
// that late answers are still observed.
const lateGrace = 500 * time.Millisecond

// Length returns the total length of all phases.
func (e *Experiment) Length() time.Duration {
	var total time.Duration
	for _, p := range e.Phases {
		total += p.Length
	}
	return total
}
