// Package contain keeps a panic in one unit of work, such as a request or a frame of a peer, from
// ending the process and everything else that it serves. Each panic is counted and logged.
package contain

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Place is the kind of work that panicked. It is a metric label.
type Place string

// The places.
const (
	Request      Place = "request"      // a caller's request, up to its answer
	Answer       Place = "answer"       // an answer that is being passed on, and what follows it
	Attempt      Place = "attempt"      // an attempt beside the one that the request's goroutine makes
	Offer        Place = "offer"        // a request that a peer offers
	HealthCheck  Place = "health check" // of a backend server
	Connection   Place = "connection"   // upkeep of connections to callers and backend servers
	Link         Place = "link"         // a link or a stream of a peer
	Frame        Place = "frame"        // a message of a peer
	Decision     Place = "decision"     // an event in the decisions' state; the work that it belongs to fails, too
	Effect       Place = "effect"       // carrying out a decision
	Row          Place = "row"          // a row of the store
	Store        Place = "store"        // a call to the store or the platform
	Tick         Place = "tick"         // periodic work
	Operator     Place = "operator"     // an operator's call
	Lookup       Place = "lookup"       // a lookup
	Ready        Place = "ready"        // a readiness check
	Settings     Place = "settings"     // reading the settings again
	Registration Place = "registration" // of this instance
	Ledger       Place = "ledger"       // a write of the idempotency ledger
	Stop         Place = "stop"         // a step of a planned stop
)

const (
	// maxStackBytes is the length up to which a stack is logged.
	maxStackBytes = 4 << 10
	// maxStacksPerSecond limits the stacks in the log. Further panics are logged without.
	maxStacksPerSecond = 10
	// restartDelay is the delay before work that has panicked begins again.
	restartDelay = 500 * time.Millisecond
)

// Panics counts and logs panics. It is safe for concurrent use. A nil *Panics contains nothing.
type Panics struct {
	log     *logrus.Entry
	counter *prometheus.CounterVec // by place
	stacks  *rate.Limiter
}

// New returns a Panics that counts in a metric of the given name.
func New(log *logrus.Entry, metric string) *Panics {
	return &Panics{
		log: log,
		counter: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metric, Help: "Panics that ended only the work in which they arose, by place.",
		}, []string{"place"}),
		stacks: rate.NewLimiter(maxStacksPerSecond, maxStacksPerSecond),
	}
}

// Counter returns the counter of panics by place.
func (p *Panics) Counter() *prometheus.CounterVec { return p.counter }

// Do calls f and reports whether it returned. If f panics, the panic is counted and logged, and
// ends there.
func (p *Panics) Do(place Place, f func()) (returned bool) {
	if p == nil {
		f()
		return true
	}
	defer func() {
		if returned {
			return
		}
		if value := recover(); value != nil { // nil on runtime.Goexit
			p.note(place, value)
		}
	}()
	f()
	return true
}

// Keep calls f, and calls it again restartDelay after each panic, until f returns or ctx is done.
func (p *Panics) Keep(ctx context.Context, place Place, f func()) {
	for !p.Do(place, f) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}

func (p *Panics) note(place Place, value any) {
	p.counter.WithLabelValues(string(place)).Inc()
	log := p.log.WithFields(logrus.Fields{"place": place, "panic": fmt.Sprint(value)})
	if p.stacks.Allow() {
		stack := make([]byte, maxStackBytes)
		log = log.WithField("stack", string(stack[:runtime.Stack(stack, false)]))
	}
	log.Error("panic contained")
}
