package pacing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

func TestWindowLimitsEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		w := Window{Span: time.Second}
		var sent []model.Instant
		now := model.Instant(0)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			if wait := w.TimeUntilBelow(now, limit); wait > 0 {
				now = now.Add(wait)
				require.Zero(t, w.TimeUntilBelow(now, limit), "the limit permits an event after the wait")
			}
			w.Add(now)
			sent = append(sent, now)
		}
		for i := limit; i < len(sent); i++ {
			require.GreaterOrEqual(t, sent[i].Sub(sent[i-limit]), time.Second)
		}
	})
}

func TestCounterCoversItsSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCounter(10 * time.Second)
		var times []model.Instant
		now := model.Instant(time.Hour)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			c.Add(now, 1)
			times = append(times, now)
			least, most := 0, 0
			for _, at := range times {
				if now.Sub(at) < 10*time.Second {
					least++
				}
				if now.Sub(at) < 11*time.Second {
					most++
				}
			}
			got := c.Count(now)
			require.GreaterOrEqual(t, got, least)
			require.LessOrEqual(t, got, most)
		}
	})
}

func TestRetryBudgetAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 7
		s := RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 60}
		var budgets [instances]*RetryBudget
		for i := range budgets {
			budgets[i] = NewRetryBudget(1, s)
		}
		type send struct {
			at    model.Instant
			retry bool
		}
		var sends []send
		now := model.Instant(time.Hour)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 40), 200, 800).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			b.RecordSend(now)
			sends = append(sends, send{now, false})
			// A network partition may hide two instances from each other.
			believed := &Fleet{}
			believed.Count(rapid.IntRange(instances-1, instances).Draw(t, "believed"))
			if b.Take(now, believed) {
				sends = append(sends, send{now, true})
			}
		}
		for end := range sends {
			first, retry := 0, 0
			for i := end; i >= 0 && sends[end].at.Sub(sends[i].at) < s.Window; i-- {
				if sends[i].retry {
					retry++
				} else {
					first++
				}
			}
			require.LessOrEqual(t, float64(retry), s.Ratio*float64(first)*11/10+s.Extra+1)
		}
	})
}
