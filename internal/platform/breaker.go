package platform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ErrBreakerOpen is wrapped by the UnavailableError of a call that was refused by the
// circuit breaker.
var ErrBreakerOpen = errors.New("circuit breaker is open")

// BreakerSettings configure a circuit breaker.
type BreakerSettings struct {
	Failures int           // consecutive failures that open the breaker
	Cooldown time.Duration // mean time that the breaker stays open; jittered by ±50 %
}

// BreakerState is the state of a circuit breaker. Its numeric values are exported as
// metrics.
type BreakerState int

// The states of a circuit breaker.
const (
	BreakerClosed   BreakerState = iota // all calls are allowed
	BreakerHalfOpen                     // one call is allowed, to probe the service
	BreakerOpen                         // all calls are refused
)

// String returns the name of the state.
func (s BreakerState) String() string {
	switch s {
	case BreakerClosed:
		return "closed"
	case BreakerHalfOpen:
		return "half-open"
	case BreakerOpen:
		return "open"
	default:
		return fmt.Sprintf("breaker(%d)", int(s))
	}
}

// breaker is a circuit breaker that opens after consecutive failures.
type breaker struct {
	settings BreakerSettings
	now      func() time.Time
	jitter   func() float64 // uniform in [0, 1)

	mu        sync.Mutex
	state     BreakerState
	failures  int
	openUntil time.Time
	probing   bool // half-open: the probe call is in flight
}

func newBreaker(settings BreakerSettings) *breaker {
	return &breaker{settings: settings, now: time.Now, jitter: rand.Float64}
}

// allow reports whether a call may be sent. If it returns true, record must be called
// with the result.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.currentState() {
	case BreakerClosed:
		return true
	case BreakerHalfOpen:
		if b.probing {
			return false
		}
		b.probing = true
		return true
	default:
		return false
	}
}

// record records the result of an allowed call.
func (b *breaker) record(success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasProbe := b.state == BreakerHalfOpen && b.probing
	b.probing = false
	if success {
		b.state = BreakerClosed
		b.failures = 0
		return
	}
	b.failures++
	if b.state == BreakerOpen {
		return
	}
	if wasProbe || b.failures >= b.settings.Failures {
		b.open()
	}
}

func (b *breaker) open() {
	const jitterShare = 0.5
	factor := 1 - jitterShare + 2*jitterShare*b.jitter()
	b.state = BreakerOpen
	b.openUntil = b.now().Add(time.Duration(factor * float64(b.settings.Cooldown)))
}

// State returns the current state.
func (b *breaker) State() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.currentState()
}

// currentState returns the state, after moving an open breaker to half-open if its
// cooldown is over. The caller must hold mu.
func (b *breaker) currentState() BreakerState {
	if b.state == BreakerOpen && !b.now().Before(b.openUntil) {
		b.state = BreakerHalfOpen
		b.probing = false
	}
	return b.state
}
