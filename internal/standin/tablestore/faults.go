package tablestore

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Outage says how the stand-in answers while it is down.
type Outage string

// The outages.
const (
	OutageNone   Outage = ""       // the services work
	OutageClosed Outage = "closed" // each connection is closed at once, without an answer
	OutageError  Outage = "error"  // each call is answered 503, marked as not applied
)

// Service names one of the platform's services.
type Service string

// The platform's services.
const (
	ServiceTable     Service = "table"
	ServiceObjects   Service = "objects"
	ServiceInstances Service = "instances"
)

// access says whether a call reads or writes.
type access int

const (
	read access = iota
	write

	accessCount
)

// Faults are the fault switches. The zero value is a platform without faults.
type Faults struct {
	Outage Outage `json:"outage"`
	// Services are the services to which the outage, the latency and the losses
	// apply; none means all of them.
	Services []Service `json:"services,omitempty"`
	// LatencyMillis and JitterMillis delay each call before it takes effect:
	// the fixed part and the bound of a uniformly distributed part.
	LatencyMillis int64 `json:"latency_ms"`
	JitterMillis  int64 `json:"jitter_ms"`
	// LostReplies is the probability that a call takes effect and its
	// connection is then closed without an answer.
	LostReplies float64 `json:"lost_replies"`
	// LostRequests is the probability that the connection is closed before the
	// call takes effect.
	LostRequests float64 `json:"lost_requests"`
	// ListLagMillis is how far the instance list lags.
	ListLagMillis int64 `json:"list_lag_ms"`
	// WritesPerSecond caps commits, object writes and registrations together;
	// ReadsPerSecond caps all other calls. 0 is no cap.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Seed restarts the random choices when the switches are set.
	Seed uint64 `json:"seed"`
}

// ListLag returns how far the instance list lags.
func (f Faults) ListLag() time.Duration { return time.Duration(f.ListLagMillis) * time.Millisecond }

// faultSwitches holds the switches in force with their random source and the
// rate limiters.
type faultSwitches struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	limits [accessCount]*rate.Limiter
}

func newFaultSwitches(f Faults) *faultSwitches {
	s := &faultSwitches{}
	s.set(f)
	return s
}

func (s *faultSwitches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.rng = rand.New(rand.NewPCG(f.Seed, f.Seed))
	s.limits[write] = newLimiter(f.WritesPerSecond)
	s.limits[read] = newLimiter(f.ReadsPerSecond)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *faultSwitches) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// callFaults are the choices made for one call.
type callFaults struct {
	outage      Outage
	delay       time.Duration
	loseRequest bool
	loseReply   bool
	overCap     bool
}

// choose draws the faults of one call.
func (s *faultSwitches) choose(service Service, kind access) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	overCap := !s.limits[kind].Allow()
	if len(s.faults.Services) > 0 && !slices.Contains(s.faults.Services, service) {
		return callFaults{overCap: overCap}
	}
	c := callFaults{
		outage:      s.faults.Outage,
		delay:       time.Duration(s.faults.LatencyMillis) * time.Millisecond,
		loseRequest: s.rng.Float64() < s.faults.LostRequests,
		loseReply:   s.rng.Float64() < s.faults.LostReplies,
		overCap:     overCap,
	}
	if s.faults.JitterMillis > 0 {
		c.delay += time.Duration(s.rng.Int64N(int64(time.Duration(s.faults.JitterMillis) * time.Millisecond)))
	}
	return c
}
