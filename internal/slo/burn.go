package slo

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

// Windows lists the time spans over which burn rates are computed, shortest first.
// The error budget applies to the longest.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Burn rates above which an alert is raised: a fast burn uses up the budget of the
// longest window within hours, a slow burn before the window ends.
const (
	fastBurnRate = 14.4
	slowBurnRate = 1.0
)

// Alert is the urgency of a burn.
type Alert string

// Alert levels.
const (
	NoAlert       Alert = ""
	FastBurnAlert Alert = "fast-burn" // over 5 minutes and over 1 hour
	SlowBurnAlert Alert = "slow-burn" // over 6 hours and over 3 days
)

// Burn describes the consumption of the error budget of one service and rank.
type Burn struct {
	Service    model.ServiceName `json:"service"`
	Rank       model.Rank        `json:"rank"`
	Objective  control.Objective `json:"objective"`
	Windows    []WindowBurn      `json:"windows"`     // in the order of Windows
	BudgetLeft float64           `json:"budget_left"` // share of the longest window's budget, negative where overspent
	Consumed   []Consumption     `json:"consumed"`    // of the longest window's budget, largest first
	Excluded   []Consumption     `json:"excluded"`    // refusals caused by callers, which consume no budget
	Latency    Quantiles         `json:"latency"`     // over the longest window
	Alert      Alert             `json:"alert,omitempty"`
}

// WindowBurn is the burn rate over one window. A rate of 1 uses up exactly the
// error budget.
type WindowBurn struct {
	Window time.Duration `json:"window_ns"`
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"` // 0 where the service has no objective
}

// Consumption counts the bad requests with one outcome and cause.
type Consumption struct {
	Outcome  model.Outcome `json:"outcome"`
	Cause    model.Cause   `json:"cause,omitempty"` // empty for served requests above the objective's latency
	Requests uint64        `json:"requests"`
	Share    float64       `json:"share"` // of all bad requests; 0 for excluded ones
}

// Quantiles contains quantiles of the answer latency. Each is at most 10 % above the
// exact value for latencies from 100 us to 2 min; outside, it is the nearer of the two
// bounds.
type Quantiles struct {
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
}

// callerCauses are the causes of refusals that operators cannot prevent. They
// consume no budget.
var callerCauses = map[model.Cause]bool{
	model.CauseNoRoute:        true,
	model.CauseUnauthorized:   true,
	model.CauseOverQuota:      true,
	model.CauseDigestMismatch: true,
	model.CauseKeyMissing:     true,
	model.CauseInvalidRequest: true,
	model.CauseCallerGone:     true,
	model.CauseCancelled:      true,
}

// Evaluate merges the reports of several instances and returns the burn of each
// service and rank, sorted by both.
func Evaluate(now time.Time, reports []control.Report) []Burn {
	return lo.Map(mergeSeries(reports), func(s *control.Series, _ int) Burn { return evaluateSeries(now, s) })
}

// mergeSeries combines the buckets of several instances by service and rank, sorted
// by both. If objectives differ, because not all instances have adopted a new text
// yet, the objective of the last report is used.
func mergeSeries(reports []control.Report) []*control.Series {
	merged := map[seriesKey]*control.Series{}
	for _, report := range reports {
		for _, s := range report.Series {
			key := seriesKey{s.Service, s.Rank}
			combined := merged[key]
			if combined == nil {
				combined = &control.Series{Service: s.Service, Rank: s.Rank}
				merged[key] = combined
			}
			combined.Objective = s.Objective
			combined.Buckets = append(combined.Buckets, s.Buckets...)
		}
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b *control.Series) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
	})
}

func evaluateSeries(now time.Time, s *control.Series) Burn {
	burn := Burn{Service: s.Service, Rank: s.Rank, Objective: s.Objective, BudgetLeft: 1}
	var sum control.Bucket
	for _, window := range Windows {
		// The sum extends one bucket beyond now, since the midpoint of the current bucket
		// may lie after now.
		sum = sumBetween(s.Buckets, now.Add(-window), now.Add(tiers[0].width))
		burn.Windows = append(burn.Windows, windowBurn(window, &sum, s.Objective))
	}
	longest := burn.Windows[len(burn.Windows)-1]
	if s.Objective.Ratio > 0 {
		burn.BudgetLeft = 1 - longest.Rate
	}
	burn.Consumed, burn.Excluded = consumption(&sum, longest.Bad)
	burn.Latency = Quantiles{
		P50:  quantile(sum.Latency, 0.50),
		P99:  quantile(sum.Latency, 0.99),
		P999: quantile(sum.Latency, 0.999),
	}
	burn.Alert = alertOf(burn.Windows)
	return burn
}

// sumBetween returns the sum of the buckets whose midpoint is after from and not
// after to.
func sumBetween(buckets []control.Bucket, from, to time.Time) control.Bucket {
	var sum control.Bucket
	for i := range buckets {
		midpoint := buckets[i].Start.Add(buckets[i].Width / 2)
		if midpoint.After(from) && !midpoint.After(to) {
			addBucket(&sum, &buckets[i])
		}
	}
	return sum
}

// windowBurn computes the burn rate of the requests in sum. Refusals caused by
// callers do not count.
func windowBurn(window time.Duration, sum *control.Bucket, objective control.Objective) WindowBurn {
	burn := WindowBurn{Window: window}
	for _, count := range sum.Counts {
		if !callerCauses[count.Cause] {
			burn.Total += count.Requests
		}
	}
	burn.Bad = burn.Total - min(burn.Total, sum.Good)
	if burn.Total > 0 && objective.Ratio > 0 {
		burn.Rate = float64(burn.Bad) / float64(burn.Total) / (1 - objective.Ratio)
	}
	return burn
}

// consumption splits the requests that were not good into those that consume the
// budget and those that callers caused. bad is the total of the former.
func consumption(sum *control.Bucket, bad uint64) (consumed, excluded []Consumption) {
	for _, count := range sum.Counts {
		c := Consumption{Outcome: count.Outcome, Cause: count.Cause, Requests: count.Requests}
		if callerCauses[count.Cause] {
			excluded = append(excluded, c)
			continue
		}
		if c.Outcome == model.Served {
			c.Requests -= min(c.Requests, sum.Good)
		}
		if c.Requests > 0 {
			c.Share = float64(c.Requests) / float64(bad)
			consumed = append(consumed, c)
		}
	}
	slices.SortStableFunc(consumed, func(a, b Consumption) int { return cmp.Compare(b.Requests, a.Requests) })
	return consumed, excluded
}

// alertOf returns the most urgent alert for windows, which must be in the order of
// Windows. An alert requires a high burn rate over both of its windows.
func alertOf(windows []WindowBurn) Alert {
	above := func(i int, rate float64) bool { return windows[i].Rate > rate }
	switch {
	case above(0, fastBurnRate) && above(1, fastBurnRate):
		return FastBurnAlert
	case above(2, slowBurnRate) && above(3, slowBurnRate):
		return SlowBurnAlert
	default:
		return NoAlert
	}
}
