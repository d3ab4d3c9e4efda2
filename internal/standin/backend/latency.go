package backend

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// latencyModel draws random service times and tracks the cold start. All random numbers of a
// server come from its generator.
type latencyModel struct {
	config Config

	mu     sync.Mutex
	rng    *rand.Rand
	start  time.Time // when the cold start began
	served int       // requests whose service time was drawn since start
}

func newLatencyModel(config Config) *latencyModel {
	return &latencyModel{config: config, rng: rand.New(rand.NewPCG(config.Seed, config.Seed)), start: time.Now()}
}

// restart begins a new cold start.
func (m *latencyModel) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start = time.Now()
	m.served = 0
}

// draw returns the service time of one request for path. A positive slowdown multiplies
// it.
func (m *latencyModel) draw(path string, slowdown float64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := m.sample(m.serviceTimeOf(path)) * m.coldFactor(time.Now())
	if slowdown > 0 {
		seconds *= slowdown
	}
	m.served++
	return time.Duration(seconds * float64(time.Second))
}

// drawEvent reports true with the given probability.
func (m *latencyModel) drawEvent(probability float64) bool {
	if probability <= 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Float64() < probability
}

// serviceTimeOf returns the service time of the longest matching prefix in PathTimes, or the
// default.
func (m *latencyModel) serviceTimeOf(path string) ServiceTime {
	chosen, length := m.config.Time, -1
	for _, candidate := range m.config.PathTimes {
		if len(candidate.Prefix) > length && strings.HasPrefix(path, candidate.Prefix) {
			chosen, length = candidate.Time, len(candidate.Prefix)
		}
	}
	return chosen
}

// sample draws from the distribution s, in seconds.
func (m *latencyModel) sample(s ServiceTime) float64 {
	mean := s.Mean.Seconds()
	switch s.Distribution {
	case Exponential:
		return mean * m.rng.ExpFloat64()
	case Lognormal:
		return mean * math.Exp(s.Sigma*m.rng.NormFloat64()-s.Sigma*s.Sigma/2)
	default:
		return mean
	}
}

// coldFactor returns the factor by which the cold start multiplies service times, 1 when
// the server is warm.
func (m *latencyModel) coldFactor(now time.Time) float64 {
	cold := m.config.Cold
	if !m.isColdAt(now) {
		return 1
	}
	left := 1 - float64(now.Sub(m.start))/float64(cold.Duration)
	if cold.Requests > 0 {
		left = 1 - float64(m.served)/float64(cold.Requests)
	}
	return 1 + (cold.Factor-1)*left
}

func (m *latencyModel) isColdAt(now time.Time) bool {
	cold := m.config.Cold
	if cold.Factor <= 1 || now.Sub(m.start) >= cold.Duration {
		return false
	}
	return cold.Requests == 0 || m.served < cold.Requests
}

// isCold reports whether the server is still in its cold start.
func (m *latencyModel) isCold() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isColdAt(time.Now())
}
