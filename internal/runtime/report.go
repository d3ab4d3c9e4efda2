package runtime

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// recordBreakerState records each change of the platform's circuit breaker, except
// to half-open and from the unknown initial state to closed. The caller holds r.mu.
func (r *Runtime) recordBreakerState(now model.Instant) {
	state := r.platformStatus()
	if state.State == r.breakerState || state.State == "half-open" {
		return
	}
	first := r.breakerState == ""
	r.breakerState = state.State
	if first && state.State == "closed" {
		return
	}
	why := "calls succeed again"
	if state.Reason != "" {
		why = state.Reason
	}
	r.record(event.JournalEntry{At: now, Subject: "platform", Message: "circuit breaker " + state.State, Reason: why})
}

// refusalPeriod is the interval between two summaries of refused requests.
const refusalPeriod = 10 * time.Second

// refusalKey is a kind of refusal. The configuration and the causes of package
// model bound the number of kinds.
type refusalKey struct {
	service model.ServiceName
	rank    model.Rank
	outcome model.Outcome
	cause   model.Cause
}

// refusalCounts counts refusals between two summaries, so that a flood of refusals
// takes only a few log lines.
type refusalCounts struct {
	counts     map[refusalKey]int
	nextReport model.Instant
}

func (s *refusalCounts) add(m *model.RequestMeta, outcome model.Outcome, cause model.Cause) {
	if s.counts == nil {
		s.counts = make(map[refusalKey]int)
	}
	s.counts[refusalKey{m.Service, m.Rank, outcome, cause}]++
}

// report records one entry for each kind of refusal since the last summary, if
// refusalPeriod has passed. The caller holds r.mu.
func (s *refusalCounts) report(r *Runtime, now model.Instant) {
	if now.Before(s.nextReport) {
		return
	}
	s.nextReport = now.Add(refusalPeriod)
	for _, k := range slices.SortedFunc(maps.Keys(s.counts), compareRefusals) {
		r.record(event.JournalEntry{
			At:      now,
			Subject: string(k.service),
			Message: fmt.Sprintf("%d %s requests ended %s in %s", s.counts[k], k.rank, k.outcome, refusalPeriod),
			Reason:  k.cause.Describe(),
		})
	}
	clear(s.counts)
}

func compareRefusals(a, b refusalKey) int {
	return cmp.Or(
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.outcome, b.outcome),
		cmp.Compare(a.cause, b.cause),
	)
}
