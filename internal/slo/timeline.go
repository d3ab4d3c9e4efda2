package slo

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// BurnSeries is the burn rate of one service and rank over time.
type BurnSeries struct {
	Service model.ServiceName
	Rank    model.Rank
	Points  []BurnPoint // oldest first
}

// BurnPoint is the burn rate over one step.
type BurnPoint struct {
	Ago  time.Duration // time between the end of the step and now
	Rate float64
}

// BurnOverTime returns the burn rate for each step of the last span before now, for
// services that have an objective. A bucket counts in the step that contains its
// midpoint.
func BurnOverTime(now time.Time, span, step time.Duration, reports []control.Report) []BurnSeries {
	var lines []BurnSeries
	for _, s := range mergeSeries(reports) {
		if s.Objective.Ratio == 0 {
			continue
		}
		line := BurnSeries{Service: s.Service, Rank: s.Rank}
		for ago := span - step; ago >= 0; ago -= step {
			end := now.Add(-ago)
			sum := sumBetween(s.Buckets, end.Add(-step), end)
			line.Points = append(line.Points, BurnPoint{Ago: ago, Rate: windowBurn(step, &sum, s.Objective).Rate})
		}
		lines = append(lines, line)
	}
	return lines
}
