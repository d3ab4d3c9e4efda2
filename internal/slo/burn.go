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

// Windows are the spans over which burn rates are computed, shortest first. The
// longest is the one that the budget is for.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Burn rates at which an alert is raised: a fast burn uses up the budget of the
// longest window within hours, a slow burn before its end.
const (
	fastBurn = 14.4
	slowBurn = 1.0
)

// Alert says how urgent a burn is.
type Alert string

// The alerts.
const (
	NoAlert       Alert = ""
	FastBurnAlert Alert = "fast-burn" // over 5 minutes and over 1 hour
	SlowBurnAlert Alert = "slow-burn" // over 6 hours and over 3 days
)

// Burn is how one service and rank uses up its error budget.
type Burn struct {
	Service    model.ServiceName `json:"service"`
	Rank       model.Rank        `json:"rank"`
	Objective  control.Objective `json:"objective"`
	Windows    []WindowBurn      `json:"windows"`     // in the order of Windows
	BudgetLeft float64           `json:"budget_left"` // share of the longest window's budget, negative where overspent
	Consumed   []Consumption     `json:"consumed"`    // of the longest window's budget, the largest first
	Excluded   []Consumption     `json:"excluded"`    // refusals that the caller caused, which cost no budget
	Latency    Quantiles         `json:"latency"`     // over the longest window
	Alert      Alert             `json:"alert,omitempty"`
}

// WindowBurn is the burn rate over one window. Rate 1 uses up exactly the budget.
type WindowBurn struct {
	Window time.Duration `json:"window_ns"`
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"` // 0 where the service has no objective
}

// Consumption is the number of requests that were bad for one reason.
type Consumption struct {
	Outcome  model.Outcome `json:"outcome"`
	Cause    model.Cause   `json:"cause,omitempty"` // empty for served requests that were slower than the objective
	Requests uint64        `json:"requests"`
	Share    float64       `json:"share"` // of all bad requests
}

// Quantiles are answer latencies; each is at most 10 % above the true one.
type Quantiles struct {
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
}

// callerCauses are refusals that no operator can mend: they cost no budget.
var callerCauses = map[model.Cause]bool{
	model.CauseNoRoute:        true,
	model.CauseDigestMismatch: true,
	model.CauseKeyMissing:     true,
	model.CauseInvalidRequest: true,
	model.CauseCallerGone:     true,
	model.CauseCancelled:      true,
}

// Evaluate merges the series of several instances and returns their burn by
// service and rank.
func Evaluate(now time.Time, reports []control.Report) []Burn {
	return lo.Map(mergeSeries(reports), func(s *control.Series, _ int) Burn { return evaluateSeries(now, s) })
}

// mergeSeries puts the buckets of several instances together, by service and
// rank. Where instances have different objectives, since a text is not in force
// everywhere yet, the last one given wins.
func mergeSeries(reports []control.Report) []*control.Series {
	merged := map[seriesKey]*control.Series{}
	for _, report := range reports {
		for _, s := range report.Series {
			key := seriesKey{s.Service, s.Rank}
			into := merged[key]
			if into == nil {
				into = &control.Series{Service: s.Service, Rank: s.Rank}
				merged[key] = into
			}
			into.Objective = s.Objective
			into.Buckets = append(into.Buckets, s.Buckets...)
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

// sumBetween adds up the buckets whose middle lies after from and not after to.
func sumBetween(buckets []control.Bucket, from, to time.Time) control.Bucket {
	var sum control.Bucket
	for i := range buckets {
		middle := buckets[i].Start.Add(buckets[i].Width / 2)
		if middle.After(from) && !middle.After(to) {
			addBucket(&sum, &buckets[i])
		}
	}
	return sum
}

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

// alertOf expects the windows in the order of Windows.
func alertOf(windows []WindowBurn) Alert {
	above := func(i int, rate float64) bool { return windows[i].Rate > rate }
	switch {
	case above(0, fastBurn) && above(1, fastBurn):
		return FastBurnAlert
	case above(2, slowBurn) && above(3, slowBurn):
		return SlowBurnAlert
	default:
		return NoAlert
	}
}
