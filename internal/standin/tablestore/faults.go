package tablestore

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Outage is the way in which the services are unavailable.
type Outage string

// Kinds of outages.
const (
	OutageNone   Outage = ""       // the services are available
	OutageClosed Outage = "closed" // each call's connection is closed immediately, without an answer
	OutageError  Outage = "error"  // each call is answered 503 and marked as not applied
)

// Service identifies a service of the platform.
type Service string

// Services of the platform.
const (
	ServiceTable     Service = "table"
	ServiceObjects   Service = "objects"
	ServiceInstances Service = "instances"
)

// access distinguishes calls that read from calls that write.
type access int

const (
	read access = iota
	write

	accessCount
)

// Faults configures the injected faults. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage"`
	// Services are the services affected by the outage, the latency and the losses; empty
	// means all.
	Services []Service `json:"services,omitempty"`
	// LatencyMillis and JitterMillis delay each call before it takes effect: LatencyMillis
	// is the fixed part, JitterMillis the upper bound of a uniformly distributed part.
	LatencyMillis int64 `json:"latency_ms"`
	JitterMillis  int64 `json:"jitter_ms"`
	// LostReplies is the probability that a call takes effect and its connection is then
	// closed without an answer.
	LostReplies float64 `json:"lost_replies"`
	// LostRequests is the probability that the connection is closed before the call takes
	// effect.
	LostRequests float64 `json:"lost_requests"`
	// ListLagMillis is the age of the returned instance list, at most listHistory.
	ListLagMillis int64 `json:"list_lag_ms"`
	// WritesPerSecond limits the total rate of commits, object writes and registrations;
	// ReadsPerSecond limits the total rate of all other calls. 0 means unlimited.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Seed seeds the random generator, which is restarted whenever the faults are set.
	Seed uint64 `json:"seed"`
}

// ListLag returns ListLagMillis as a duration.
func (f Faults) ListLag() time.Duration { return time.Duration(f.ListLagMillis) * time.Millisecond }

// faultInjector decides which faults affect each call. It holds the current faults, a random
// generator and the rate limiters.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	limits [accessCount]*rate.Limiter
}

func newFaultInjector(f Faults) *faultInjector {
	i := &faultInjector{}
	i.set(f)
	return i
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.rng = rand.New(rand.NewPCG(f.Seed, f.Seed))
	i.limits[write] = newLimiter(f.WritesPerSecond)
	i.limits[read] = newLimiter(f.ReadsPerSecond)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// callFaults are the faults that affect one call.
type callFaults struct {
	outage      Outage
	delay       time.Duration
	loseRequest bool
	loseReply   bool
	rateLimited bool
}

// draw determines the faults of one call.
func (i *faultInjector) draw(service Service, kind access) callFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	rateLimited := !i.limits[kind].Allow()
	if len(i.faults.Services) > 0 && !slices.Contains(i.faults.Services, service) {
		return callFaults{rateLimited: rateLimited}
	}
	c := callFaults{
		outage:      i.faults.Outage,
		delay:       time.Duration(i.faults.LatencyMillis) * time.Millisecond,
		loseRequest: i.rng.Float64() < i.faults.LostRequests,
		loseReply:   i.rng.Float64() < i.faults.LostReplies,
		rateLimited: rateLimited,
	}
	if i.faults.JitterMillis > 0 {
		c.delay += time.Duration(i.rng.Int64N(int64(time.Duration(i.faults.JitterMillis) * time.Millisecond)))
	}
	return c
}
