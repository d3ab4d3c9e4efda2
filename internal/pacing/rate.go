package pacing

import (
	"math"
	"time"
)

const (
	// minRateSpan and maxRateSpan bound the span over which a rate is counted: the shortest in
	// which each of those that share it has a unit.
	minRateSpan = time.Second
	maxRateSpan = 4 * time.Second
	// LongestRateSpan is the longest span of one unit. A lower rate, or one of 0, counts as one
	// unit in it, which shows whether the rate still holds.
	LongestRateSpan = time.Minute
	// fewUnits is the number of units below which the fraction of a unit that is left of a rate
	// counts, so that the span is shortened by it.
	fewUnits = 10
	// maxUnits bounds the units of a rate.
	maxUnits = 1 << 20
)

// RateUnits returns a rate per second as a number of units in a sliding window, for a number of
// instances that share it. The rate must not be negative.
func RateUnits(perSecond float64, sharers int) (int, time.Duration) {
	span := minRateSpan
	for span < maxRateSpan && perSecond*span.Seconds() < float64(sharers) {
		span *= 2
	}
	units := math.Floor(min(perSecond*span.Seconds(), maxUnits))
	switch {
	case units >= fewUnits:
		return int(units), span
	case units >= 1:
		return int(units), seconds(units / perSecond)
	case perSecond*LongestRateSpan.Seconds() > 1:
		return 1, seconds(1 / perSecond)
	default:
		return 1, LongestRateSpan
	}
}

const (
	// lendBelow is the number of units in maxRateSpan for each of those that share a rate from
	// which on they lend one another none.
	lendBelow = 4
	// spareUnits are the units of a lent rate beyond those of maxRateSpan. The span is longer
	// by them, so that more of those that share the rate have a unit at the same moment.
	spareUnits = 4
	// maxLentUnits bounds the units of a rate that is lent.
	maxLentUnits = 32
)

// LentUnits is RateUnits for a rate of which each of those that share it has few units or none,
// so that they lend them to one another. It reports false for other rates.
func LentUnits(perSecond float64, sharers int) (int, time.Duration, bool) {
	inSpan := perSecond * maxRateSpan.Seconds()
	if sharers < 2 || inSpan >= lendBelow*float64(sharers) || inSpan+spareUnits > maxLentUnits {
		return 0, 0, false
	}
	units := math.Floor(inSpan + spareUnits)
	if units >= perSecond*LongestRateSpan.Seconds() {
		return 0, 0, false
	}
	return int(units), seconds(units / perSecond), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
