package pacing

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// RetrySettings limit the retries to one service from all instances together.
type RetrySettings struct {
	Window time.Duration
	Ratio  float64 // retries per first send in a window
	Extra  float64 // additional retries in a window, from all instances together
}

// retryMargin is the fraction of the limit that is used, so that instances that disagree
// on the number of instances stay within it together.
const retryMargin = 0.8

// RetryBudget is one instance's share of a service's retry budget over a sliding
// window. It counts the retries of one service only.
type RetryBudget struct {
	key        uint64
	settings   RetrySettings
	firstSends *Counter
	retries    *Counter
}

// NewRetryBudget returns an empty RetryBudget of the service with the given key.
func NewRetryBudget(key uint64, s RetrySettings) *RetryBudget {
	return &RetryBudget{key: key, settings: s, firstSends: NewCounter(s.Window), retries: NewCounter(s.Window)}
}

// Configure replaces the settings. The counts are reset only if the window changes.
func (b *RetryBudget) Configure(s RetrySettings) {
	if s.Window != b.settings.Window {
		b.firstSends, b.retries = NewCounter(s.Window), NewCounter(s.Window)
	}
	b.settings = s
}

// RecordSend counts a request that is sent for the first time.
func (b *RetryBudget) RecordSend(now model.Instant) { b.firstSends.Add(now, 1) }

// Take reports whether one more retry is within this instance's share, and counts it if so.
// The load pattern is servers that fail while instances start again in turn: the process before
// one that has just started may have used the whole share of the extra retries, so that this
// one uses its share of those that the margin leaves.
func (b *RetryBudget) Take(now model.Instant, instances *Fleet) bool {
	part, span := retryMargin, maxCounted(b.settings.Window)
	if instances.startedWithin(now, span) {
		part = 1 - retryMargin
	}
	extra := instances.Share(now, Bound{Key: b.key, Units: int(part * b.settings.Extra), Span: span})
	share := retryMargin*b.settings.Ratio*float64(b.firstSends.Count(now)) + float64(extra)
	if float64(b.retries.Count(now)+1) > share {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// Used returns the numbers of first sends and of retries in the window.
func (b *RetryBudget) Used(now model.Instant) (firstSends, retries int) {
	return b.firstSends.Count(now), b.retries.Count(now)
}
