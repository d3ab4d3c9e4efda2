package runtime

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// The subjects of decisions that are about no instance and no backend server.
const (
	callerSubject = "caller"
	ledgerSubject = "ledger"
)

// choice is how the owner of a request was chosen.
type choice struct {
	at         model.Instant
	owner      model.InstanceID
	zone       model.ZoneName
	spill      bool
	announced  bool // the journal has it
	candidates *model.Candidates
}

// choose notes the choice of an owner. A first choice that passed nothing over
// enters the journal with the answer. It runs under the runtime's lock.
func (c *call) choose(f *event.Forward) {
	again := c.choice.owner != ""
	c.choice = choice{
		at:         c.runtime.clock.now(),
		owner:      f.Owner,
		zone:       f.Zone,
		spill:      f.Spill,
		announced:  again || len(f.Rejected) > 0,
		candidates: f.Candidates,
	}
	if c.choice.announced {
		e := c.choiceEntry(journal.StepForwarded)
		e.Detail = &journal.Detail{Rejected: slices.Clone(f.Rejected)}
		c.explain(e)
	}
}

func (c *call) choiceEntry(step journal.Step) journal.RequestEntry {
	return journal.RequestEntry{
		Step:           step,
		Subject:        string(c.choice.owner),
		Zone:           c.choice.zone,
		Spill:          c.choice.spill,
		ChoiceRecorded: c.choice.announced,
		Candidates:     c.choice.candidates,
	}
}

func (c *call) explainAnswer(outcome model.Outcome) {
	e := c.choiceEntry(journal.StepAnswered)
	e.Outcome = outcome
	e.Took = c.runtime.clock.now().Sub(c.started)
	c.explain(e)
}

func (c *call) explainRefusal(f *event.Refuse) {
	e := journal.RequestEntry{
		Step:       journal.StepRefused,
		Subject:    callerSubject,
		Outcome:    f.Outcome,
		Cause:      f.Cause,
		Candidates: f.Candidates,
	}
	if f.Final != event.FinalNone || len(f.Rejected) > 0 {
		e.Detail = &journal.Detail{Rejected: slices.Clone(f.Rejected), Final: f.Final}
	}
	c.explain(e)
}

func errorEntry(step journal.Step, subject string, err error) journal.RequestEntry {
	return journal.RequestEntry{Step: step, Subject: subject, Detail: &journal.Detail{Err: err.Error()}}
}

// explain records a decision, and before the first one that is out of the
// ordinary how the owner was chosen.
func (c *call) explain(e journal.RequestEntry) {
	if e.Step != journal.StepAnswered && !c.choice.announced && c.choice.owner != "" {
		c.choice.announced = true
		chosen := c.choiceEntry(journal.StepForwarded)
		chosen.At = c.choice.at
		chosen.Request = c.meta.Trace
		c.runtime.journal.AddRequest(chosen)
	}
	e.At = c.runtime.clock.now()
	e.Request = c.meta.Trace
	c.runtime.journal.AddRequest(e)
}

func (o *offer) explainAnswer(backend model.BackendName, started model.Instant, status int) {
	o.explain(journal.RequestEntry{
		Step:    journal.StepServerAnswered,
		Subject: string(backend),
		Status:  uint16(status),
		Spill:   o.frame.GetSpill(),
		Claimed: o.claimed,
		Attempt: uint8(o.attempts),
		Took:    o.runtime.clock.now().Sub(started),
		Waited:  started.Sub(o.waiting),
	})
}

func (o *offer) explainFailure(backend model.BackendName, started model.Instant, err *upstream.SendError) {
	o.explain(journal.RequestEntry{
		Step:    journal.StepAttemptFailed,
		Subject: string(backend),
		Attempt: uint8(o.attempts),
		Took:    o.runtime.clock.now().Sub(started),
		Waited:  started.Sub(o.waiting),
		Detail:  &journal.Detail{Err: err.Error()},
	})
}

func (o *offer) explain(e journal.RequestEntry) {
	e.At = o.runtime.clock.now()
	e.Request = o.meta.Trace
	o.runtime.journal.AddRequest(e)
}

// inFlight describes the requests with a trace identifier that have not ended
// here.
func (r *Runtime) inFlight(trace string) []event.JournalEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event.JournalEntry
	now := r.clock.now()
	for _, c := range r.calls {
		if c.meta.Trace == trace {
			why := "since " + now.Sub(c.started).String() + "; no owner has been chosen"
			if c.choice.owner != "" {
				why = "since " + now.Sub(c.started).String() + "; owner " + string(c.choice.owner) + " in " + string(c.choice.zone)
			}
			found = append(found, event.JournalEntry{At: now, Request: trace, Subject: callerSubject, What: "in flight", Why: why})
		}
	}
	for _, o := range r.offers {
		if o.meta.Trace == trace {
			found = append(found, event.JournalEntry{At: now, Request: trace, Subject: string(r.self), What: "offer in flight"})
		}
	}
	return found
}
