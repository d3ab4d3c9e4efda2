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

// TestRestartedInstancesStayWithinRetryBudget guards against instances that start again one
// after the other while servers fail, and of which each takes its share once more.
func TestRestartedInstancesStayWithinRetryBudget(t *testing.T) {
	const (
		instances = 7
		step      = 50 * time.Millisecond
		length    = 60 * time.Second
	)
	s := RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 60}
	for _, restartEvery := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second} {
		var members []Member
		for i := range instances {
			members = append(members, Member{ID: model.InstanceID(rune('a' + i)), Region: "r", Weight: 1})
		}
		start := model.Instant(time.Hour)
		fleets, budgets := make([]*Fleet, instances), make([]*RetryBudget, instances)
		begin := func(i int, now model.Instant, restarted bool) {
			fleets[i] = &Fleet{Self: members[i].ID, MaxAge: time.Hour}
			fleets[i].SetListed(now.Add(-time.Hour), members)
			fleets[i].Confirm(now)
			if restarted {
				fleets[i].StartedAt = now
			}
			budgets[i] = NewRetryBudget(7, s)
		}
		for i := range instances {
			begin(i, start, false)
		}
		var sends, retries []model.Instant
		for now := start; now < start.Add(length); now = now.Add(step) {
			elapsed := now.Sub(start)
			if elapsed > 0 && elapsed%restartEvery == 0 {
				if restartEvery == 30*time.Second {
					for i := range instances {
						begin(i, now, true)
					}
				} else {
					begin(int(elapsed/restartEvery)%instances, now, true)
				}
			}
			for i := range instances {
				if elapsed%(10*step) == 0 {
					budgets[i].RecordSend(now)
					sends = append(sends, now)
				}
				for budgets[i].Take(now, fleets[i]) {
					retries = append(retries, now)
				}
			}
		}
		for at := start; at < start.Add(length-s.Window); at = at.Add(step) {
			within := func(list []model.Instant) int {
				n := 0
				for _, t := range list {
					if t >= at && t < at.Add(s.Window) {
						n++
					}
				}
				return n
			}
			allowed := s.Ratio*float64(within(sends)) + s.Extra
			require.LessOrEqual(t, float64(within(retries)), allowed, "restarts every %s, from %s", restartEvery, at.Sub(start))
		}
	}
}
