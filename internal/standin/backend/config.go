package backend

import "time"

// Distribution is the probability distribution of service times.
type Distribution string

// Distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// ServiceTime describes the distribution of service times. The zero value is a fixed
// service time of 0.
type ServiceTime struct {
	Distribution Distribution // empty means Fixed
	Mean         time.Duration
	Sigma        float64 // of the underlying normal distribution, for Lognormal
}

// PathTime is the service time of requests whose path starts with Prefix.
type PathTime struct {
	Prefix string
	Time   ServiceTime
}

// ColdStart multiplies service times after a start. The factor falls linearly to 1, with the
// number of requests served if Requests is set and else with time. It ends after Duration
// at the latest.
type ColdStart struct {
	Duration time.Duration // 0 means no cold start
	Factor   float64       // for the first request, at least 1
	Requests int           // requests after which the server is warm; 0 means that only Duration counts
}

// Config configures a Server.
type Config struct {
	Name  string // sent in X-Backend
	Slots int    // requests that can run concurrently; 0 means 1
	// Queue is the number of requests that can wait for a slot; further requests are shed.
	Queue       int
	Time        ServiceTime
	PathTimes   []PathTime // the longest matching prefix wins over Time
	AnswerBytes int        // length of the answer if the request does not specify one
	Cold        ColdStart
	RetryAfter  time.Duration // sent with the answer to a shed request, rounded up to whole seconds
	Cancellable bool          // cancels a running request when its caller closes the connection
	// CrashDowntime is the time for which connections are refused after a crash; 0 means
	// DefaultCrashDowntime.
	CrashDowntime time.Duration
	Seed          uint64
	Faults        Faults
}

// DefaultCrashDowntime is the default of Config.CrashDowntime.
const DefaultCrashDowntime = 2 * time.Second

// Faults configures injected faults and overrides. It can be changed while the server
// runs. The zero value injects no faults.
type Faults struct {
	Draining bool `json:"draining"` // reported in answers and status; requests are still served
	// Limit is named in answers as the number of requests per second that the server takes, if
	// it is positive; more are served.
	Limit float64 `json:"limit"`
	// RetryAfterSeconds is named in answers with status 503 to all requests, none of which runs,
	// if it is positive.
	RetryAfterSeconds int64 `json:"retry_after_s"`
	Unhealthy         bool  `json:"unhealthy"` // reported in the status; requests are still served
	// Slots overrides Config.Slots if positive.
	Slots int `json:"slots"`
	// Slowdown multiplies service times; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// FailShare is the fraction of requests that run and are answered with status 500.
	FailShare float64 `json:"fail_share"`
	// CutLengthShare is the fraction of answers that are truncated before their
	// Content-Length.
	CutLengthShare float64 `json:"cut_length_share"`
	// CutChunkedShare is the fraction of answers that are sent chunked and truncated
	// within a chunk.
	CutChunkedShare float64 `json:"cut_chunked_share"`
	// StatusLagMillis is the age in milliseconds of the state that the status endpoint
	// reports.
	StatusLagMillis int64 `json:"status_lag_ms"`
	// StatusLie, if set, is reported by the status endpoint instead of the actual state.
	StatusLie *Status `json:"status_lie,omitempty"`
	// StatusDown makes the status endpoint close the connection without an answer.
	StatusDown bool `json:"status_down"`
}

// Status is the report of the status endpoint.
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
