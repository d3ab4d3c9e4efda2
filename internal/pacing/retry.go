package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// RetrySettings bound the requests of one service that are sent once more, over
// all instances together.
type RetrySettings struct {
	Window time.Duration
	Ratio  float64 // of the first sends in a window
	Extra  float64 // requests in a window beside the ratio, of all instances together
}

// retryMargin is the part of the bound that is used, so that instances that
// disagree on their number stay within it together.
const retryMargin = 0.8

// RetryBudget is one instance's part of a service's retry budget.
type RetryBudget struct {
	settings   RetrySettings
	firstSends *Counter
	retries    *Counter
}

// NewRetryBudget returns a budget without history.
func NewRetryBudget(s RetrySettings) *RetryBudget {
	return &RetryBudget{settings: s, firstSends: NewCounter(s.Window), retries: NewCounter(s.Window)}
}

// Configure takes new settings over. What was counted is kept unless the window changes.
func (b *RetryBudget) Configure(s RetrySettings) {
	if s.Window != b.settings.Window {
		b.firstSends, b.retries = NewCounter(s.Window), NewCounter(s.Window)
	}
	b.settings = s
}

// Sent counts a first send.
func (b *RetryBudget) RecordSend(now model.Instant) { b.firstSends.Add(now, 1) }

// Take reports whether one more send is within this instance's part among
// instances, and counts it if so.
func (b *RetryBudget) Take(now model.Instant, instances int) bool {
	share := b.settings.Ratio*float64(b.firstSends.Count(now)) + b.settings.Extra/float64(max(1, instances))
	if float64(b.retries.Count(now)+1) > retryMargin*share {
		return false
	}
	b.retries.Add(now, 1)
	return true
}
