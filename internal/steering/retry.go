package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	retryShare       = 0.1             // retries earned per request
	retryBurst       = 20              // maximum number of saved retries
	retryRefillEvery = 5 * time.Second // time in which one retry accrues even without traffic
)

// RetryBudget limits the retries that this instance makes for each service to a tenth
// of the requests that it sends, plus a small allowance that accrues over time.
type RetryBudget struct {
	services map[model.ServiceName]*retryTokens
}

type retryTokens struct {
	tokens     float64
	refilledAt model.Instant
}

// NewRetryBudget returns a budget in which every service starts with half of the
// maximum number of saved retries.
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

// Earn records the first attempt of a request, which adds to the service's budget.
func (b *RetryBudget) Earn(service model.ServiceName) {
	t := b.tokensOf(service)
	t.tokens = min(retryBurst, t.tokens+retryShare)
}

// Allow takes one retry from the service's budget and reports whether one was
// available.
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
