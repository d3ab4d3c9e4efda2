package slo

import (
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newTestRecorder() *Recorder {
	r := NewRecorder(start)
	target := config.Target{Ratio: 0.9, Latency: 100 * time.Millisecond}
	r.SetText(&config.Text{Services: []config.Service{{Name: "s", Target: target}}})
	return r
}

func finished(at time.Time, outcome model.Outcome, cause model.Cause, latency time.Duration) FinishedRequest {
	return FinishedRequest{At: at, Service: "s", Rank: model.Urgent, Outcome: outcome, Cause: cause, Latency: latency}
}

func TestEvaluateMergesInstances(t *testing.T) {
	now := start.Add(2 * time.Hour)
	first, second := newTestRecorder(), newTestRecorder()
	record := func(r *Recorder, count int, f FinishedRequest) {
		for range count {
			r.Record(f)
		}
	}
	old, recent := now.Add(-90*time.Minute), now.Add(-time.Minute)
	record(first, 100, finished(old, model.Served, "", 50*time.Millisecond))
	record(first, 40, finished(recent, model.Served, "", 50*time.Millisecond))
	record(first, 30, finished(recent, model.Served, "", 200*time.Millisecond)) // above the objective's latency
	record(second, 20, finished(recent, model.Late, model.CauseDeadline, time.Second))
	record(second, 10, finished(recent, model.NotRun, model.CauseShed, 0))
	record(second, 5, finished(recent, model.NotRun, model.CauseNoRoute, 0))
	burns := Evaluate(now, []control.Report{{Series: first.Snapshot(now, 0)}, {Series: second.Snapshot(now, 0)}})
	require.Len(t, burns, 1)
	burn := burns[0]
	require.EqualValues(t, 100, burn.Windows[0].Total)
	require.EqualValues(t, 60, burn.Windows[0].Bad)
	require.InDelta(t, 6, burn.Windows[0].Rate, 1e-9)
	require.EqualValues(t, 200, burn.Windows[3].Total)
	require.InDelta(t, 1-3.0, burn.BudgetLeft, 1e-9)
	require.Equal(t, SlowBurnAlert, burn.Alert)
	require.Equal(t, []Consumption{
		{Outcome: model.Served, Requests: 30, Share: 0.5},
		{Outcome: model.Late, Cause: model.CauseDeadline, Requests: 20, Share: 20.0 / 60},
		{Outcome: model.NotRun, Cause: model.CauseShed, Requests: 10, Share: 10.0 / 60},
	}, burn.Consumed)
	require.Equal(t, []Consumption{{Outcome: model.NotRun, Cause: model.CauseNoRoute, Requests: 5}}, burn.Excluded)
	require.InEpsilon(t, 50*time.Millisecond, burn.Latency.P50, 0.1)
	require.InEpsilon(t, time.Second, burn.Latency.P999, 0.1)
}

func TestFastBurnNeedsBothWindows(t *testing.T) {
	windows := []WindowBurn{{Rate: 20}, {Rate: 15}, {Rate: 0}, {Rate: 0}}
	require.Equal(t, FastBurnAlert, alertOf(windows))
	windows[1].Rate = 14
	require.Equal(t, NoAlert, alertOf(windows))
}

// TestRollUpKeepsRequests checks that the roll-up into coarser buckets keeps every
// request of the last 72 hours, in order and without overlap. Buckets that move to
// the next tier at the wrong time would lose requests or count them twice.
func TestRollUpKeepsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRecorder()
		now := start
		var times []time.Time
		longestGap := rapid.SampledFrom([]time.Duration{time.Second, time.Minute, time.Hour}).Draw(t, "longest gap")
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "gap") * float64(longestGap)))
			times = append(times, now)
			r.Record(finished(now, model.Served, "", time.Millisecond))
		}
		kept, end := 0, time.Time{}
		for _, bucket := range r.Snapshot(now, 0)[0].Buckets {
			require.False(t, bucket.Start.Before(end), "buckets overlap")
			end = bucket.Start.Add(bucket.Width)
			inside := 0
			for _, at := range times {
				if !at.Before(bucket.Start) && at.Before(end) {
					inside++
				}
			}
			require.EqualValues(t, inside, bucket.Good)
			kept += inside
		}
		recent := 0
		for _, at := range times {
			if now.Sub(at) <= 72*time.Hour {
				recent++
			}
		}
		require.GreaterOrEqual(t, kept, recent)
	})
}

func BenchmarkRecord(b *testing.B) {
	r := newTestRecorder()
	f := finished(start, model.Served, "", 20*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(f)
	}
}
