package backend

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// timing draws service times and keeps the cold start.
type timing struct {
	config Config

	mu     sync.Mutex
	rng    *rand.Rand
	start  time.Time // of the cold start
	served int       // since the cold start
}

func newTiming(config Config) *timing {
	return &timing{config: config, rng: rand.New(rand.NewPCG(config.Seed, config.Seed)), start: time.Now()}
}

// restart begins a new cold start.
func (t *timing) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start = time.Now()
	t.served = 0
}

// draw returns the service time of one request.
func (t *timing) draw(path string, slowdown float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	seconds := t.sample(t.timeOf(path)) * t.coldFactor(time.Now())
	if slowdown > 0 {
		seconds *= slowdown
	}
	t.served++
	return time.Duration(seconds * float64(time.Second))
}

// chance draws whether an event of a probability happens.
func (t *timing) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64() < probability
}

func (t *timing) timeOf(path string) ServiceTime {
	chosen, length := t.config.Time, -1
	for _, candidate := range t.config.PathTimes {
		if len(candidate.Prefix) > length && strings.HasPrefix(path, candidate.Prefix) {
			chosen, length = candidate.Time, len(candidate.Prefix)
		}
	}
	return chosen
}

// sample draws from a distribution, in seconds.
func (t *timing) sample(s ServiceTime) float64 {
	mean := s.Mean.Seconds()
	switch s.Distribution {
	case Exponential:
		return mean * t.rng.ExpFloat64()
	case Lognormal:
		return mean * math.Exp(s.Sigma*t.rng.NormFloat64()-s.Sigma*s.Sigma/2)
	default:
		return mean
	}
}

// coldFactor returns the multiplier of the cold start, 1 when warm.
func (t *timing) coldFactor(now time.Time) float64 {
	cold := t.config.Cold
	if !t.coldAt(now) {
		return 1
	}
	left := 1 - float64(now.Sub(t.start))/float64(cold.Duration)
	if cold.Requests > 0 {
		left = 1 - float64(t.served)/float64(cold.Requests)
	}
	return 1 + (cold.Factor-1)*left
}

func (t *timing) coldAt(now time.Time) bool {
	cold := t.config.Cold
	if cold.Factor <= 1 || now.Sub(t.start) >= cold.Duration {
		return false
	}
	return cold.Requests == 0 || t.served < cold.Requests
}

// cold reports whether the server is still in its cold start.
func (t *timing) cold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldAt(time.Now())
}
