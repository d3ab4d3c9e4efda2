package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Rates of the retry budget.
const (
	retryShare       = 0.1             // retries earned by each request
	retryBurst       = 20              // most retries saved up
	retryRefillEvery = 5 * time.Second // for one retry without any traffic
)

// RetryBudget bounds retries to a tenth of each service's traffic.
type RetryBudget struct {
	services map[model.ServiceName]*retryTokens
}

type retryTokens struct {
	tokens     float64
	refilledAt model.Instant
}

// NewRetryBudget returns a budget in which every service may retry a little at
// once.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: map[model.ServiceName]*retryTokens{}}
}

func (b *RetryBudget) tokensOf(service model.ServiceName) *retryTokens {
	t, ok := b.services[service]
	if !ok {
		t = &retryTokens{tokens: retryBurst / 2}
		b.services[service] = t
	}
	return t
}

// Earn counts a first attempt of a service.
func (b *RetryBudget) Earn(service model.ServiceName) {
	t := b.tokensOf(service)
	t.tokens = min(retryBurst, t.tokens+retryShare)
}

// Allow takes one retry from a service's budget, if there is one.
func (b *RetryBudget) Allow(now model.Instant, service model.ServiceName) bool {
	t := b.tokensOf(service)
	if t.refilledAt != 0 && now > t.refilledAt {
		t.tokens = min(retryBurst, t.tokens+now.Sub(t.refilledAt).Seconds()/retryRefillEvery.Seconds())
	}
	t.refilledAt = max(t.refilledAt, now)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
