package backend

import "time"

// Distribution names how service times are distributed.
type Distribution string

// The distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// ServiceTime is a distribution of service times. The zero value is no time.
type ServiceTime struct {
	Distribution Distribution // empty means Fixed
	Mean         time.Duration
	Sigma        float64 // of the underlying normal distribution, for Lognormal
}

// PathTime gives the paths with a prefix their own service time.
type PathTime struct {
	Prefix string
	Time   ServiceTime
}

// ColdStart multiplies service times after a start. The factor falls linearly
// with the requests served and ends with Duration at the latest.
type ColdStart struct {
	Duration time.Duration // 0 means no cold start
	Factor   float64       // of the first request, at least 1
	Requests int           // requests after which the server is warm; 0 means by Duration alone
}

// Config describes one backend server.
type Config struct {
	Name  string // answered as X-Backend
	Slots int    // requests that run at the same time; 0 means 1
	// Queue is how many requests may wait for a slot; the next one is shed.
	Queue       int
	Time        ServiceTime
	PathTimes   []PathTime // the longest matching prefix wins over Time
	AnswerBytes int        // length of an answer that asks for none
	Cold        ColdStart
	RetryAfter  time.Duration // told with a shed answer, in whole seconds
	Cancellable bool          // work stops when the caller closes its connection
	// CrashDowntime is how long connections are refused after a crash; 0 means
	// DefaultCrashDowntime.
	CrashDowntime time.Duration
	Seed          uint64
	Faults        Faults
}

// DefaultCrashDowntime is how long a crashed server refuses connections.
const DefaultCrashDowntime = 2 * time.Second

// Faults are the switches that can be changed while the server runs. The zero
// value is a server without faults.
type Faults struct {
	Draining  bool `json:"draining"`  // answers and status say so; work is still served
	Unhealthy bool `json:"unhealthy"` // the status says so; work is still served
	// Slots replaces Config.Slots where it is positive.
	Slots int `json:"slots"`
	// Slowdown multiplies service times; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// FailShare is the share of requests that run and are answered 500.
	FailShare float64 `json:"fail_share"`
	// CutLengthShare is the share of answers that end before their Content-Length.
	CutLengthShare float64 `json:"cut_length_share"`
	// CutChunkedShare is the share of answers that are sent chunked and end
	// inside a chunk.
	CutChunkedShare float64 `json:"cut_chunked_share"`
	// StatusLagMillis is how old the state is that the status endpoint reports.
	StatusLagMillis int64 `json:"status_lag_ms"`
	// StatusLie replaces what the status endpoint reports.
	StatusLie *Status `json:"status_lie,omitempty"`
	// StatusDown closes the connections of the status endpoint without an answer.
	StatusDown bool `json:"status_down"`
}

// Status is what the status endpoint reports.
type Status struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	InUse    int  `json:"in_use"`
	Slots    int  `json:"slots"`
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 1
	}
	if c.CrashDowntime <= 0 {
		c.CrashDowntime = DefaultCrashDowntime
	}
	return c
}
