package stats

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

func noObjective(model.ServiceName) control.Objective { return control.Objective{} }

// TestReportCountsEachRequestOnce adds samples over two days at random times
// and compares the report's sum with a plain count.
func TestReportCountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		r := NewRecorder(start)
		now := start
		n := rapid.IntRange(1, 200).Draw(t, "samples")
		for range n {
			gap := rapid.SampledFrom([]time.Duration{0, time.Second, 11 * time.Second, time.Minute, 20 * time.Minute}).Draw(t, "gap")
			now = now.Add(gap)
			r.Add(now, Sample{Service: "s", Rank: model.Normal, Outcome: model.Served, Latency: time.Millisecond})
		}
		report := r.Report(now, 0, noObjective)
		var total uint64
		end := time.Time{}
		for _, b := range report.Series[0].Buckets {
			if b.Start.Before(end) {
				t.Fatalf("bucket at %s overlaps the one before, which ends at %s", b.Start, end)
			}
			end = b.Start.Add(b.Width)
			for _, c := range b.Counts {
				total += c.Requests
			}
		}
		if total != uint64(n) {
			t.Fatalf("report holds %d requests of %d", total, n)
		}
	})
}

func TestBinsCoverLatencies(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, time.Millisecond, 55 * time.Millisecond, time.Second, time.Hour} {
		i := binOf(d)
		if i < binCount-1 {
			require.LessOrEqual(t, d, binUpper(i))
		}
		if i > 0 {
			require.Greater(t, d, binUpper(i-1))
		}
	}
}

func TestReportWindow(t *testing.T) {
	r := NewRecorder(time.Unix(0, 0))
	now := time.Unix(100_000, 0)
	r.Add(now.Add(-time.Hour), Sample{Service: "s", Outcome: model.NotRun, Cause: model.CauseShed})
	r.Add(now, Sample{Service: "s", Outcome: model.Served, Good: true})
	require.Len(t, r.Report(now, time.Minute, noObjective).Series[0].Buckets, 1)
	require.Len(t, r.Report(now, 0, noObjective).Series[0].Buckets, 2)
}
