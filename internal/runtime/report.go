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

// watchPlatform records each change of the platform's circuit breaker. It runs
// under the lock.
func (r *Runtime) watchPlatform(now model.Instant) {
	state := r.platformStatus()
	if state.State == r.breaker || state.State == "half-open" {
		return
	}
	first := r.breaker == ""
	r.breaker = state.State
	if first && state.State == "closed" {
		return
	}
	why := "calls succeed again"
	if state.Why != "" {
		why = state.Why
	}
	r.record(event.JournalEntry{At: now, Subject: "platform", What: "circuit breaker " + state.State, Why: why})
}

// refusalPeriod is the period at which refused requests are summed up.
const refusalPeriod = 10 * time.Second

// refusalKey is one kind of refusal; the text and package model bound them.
type refusalKey struct {
	service model.ServiceName
	rank    model.Rank
	outcome model.Outcome
	cause   model.Cause
}

// refusalSums counts refusals between two summaries, so that a flood of them is
// a few lines of the log.
type refusalSums struct {
	counts map[refusalKey]int
	next   model.Instant
}

func (s *refusalSums) add(m *model.RequestMeta, outcome model.Outcome, cause model.Cause) {
	if s.counts == nil {
		s.counts = make(map[refusalKey]int)
	}
	s.counts[refusalKey{m.Service, m.Rank, outcome, cause}]++
}

// report records one line for each kind of refusal since the last summary.
func (s *refusalSums) report(r *Runtime, now model.Instant) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(refusalPeriod)
	for _, k := range slices.SortedFunc(maps.Keys(s.counts), compareRefusals) {
		r.record(event.JournalEntry{
			At:      now,
			Subject: string(k.service),
			What:    fmt.Sprintf("%d %s requests ended %s in %s", s.counts[k], k.rank, k.outcome, refusalPeriod),
			Why:     k.cause.Describe(),
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
