package runtime

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// Subjects of decisions that concern neither an instance nor a backend server.
const (
	callerSubject = "caller"
	ledgerSubject = "ledger"
)

// choice describes how the owner of a request was chosen.
type choice struct {
	at         model.Instant
	owner      model.InstanceID
	zone       model.ZoneName
	spill      bool
	recorded   bool // the choice is in the journal
	candidates *model.Candidates
}

// recordChoice stores the choice of an owner and records it in the journal. The
// first choice of a request, if no candidate was rejected, is recorded with the
// answer instead. The caller holds Runtime.mu.
func (c *call) recordChoice(f *event.Forward) {
	reoffered := c.choice.owner != ""
	c.choice = choice{
		at:         c.runtime.clock.now(),
		owner:      f.Owner,
		zone:       f.Zone,
		spill:      f.Spill,
		recorded:   reoffered || len(f.Rejected) > 0,
		candidates: f.Candidates,
	}
	if c.choice.recorded {
		e := c.choiceEntry(journal.StepForwarded)
		e.Detail = &journal.Detail{Rejected: slices.Clone(f.Rejected)}
		c.recordEntry(e)
	}
}

func (c *call) choiceEntry(step journal.Step) journal.RequestEntry {
	return journal.RequestEntry{
		Step:           step,
		Subject:        string(c.choice.owner),
		Zone:           c.choice.zone,
		Spill:          c.choice.spill,
		ChoiceRecorded: c.choice.recorded,
		Candidates:     c.choice.candidates,
	}
}

func (c *call) recordAnswer(outcome model.Outcome) {
	e := c.choiceEntry(journal.StepAnswered)
	e.Outcome = outcome
	e.Took = c.runtime.clock.now().Sub(c.started)
	c.recordEntry(e)
}

func (c *call) recordRefusal(f *event.Refuse) {
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
	c.recordEntry(e)
}

func errorEntry(step journal.Step, subject string, err error) journal.RequestEntry {
	return journal.RequestEntry{Step: step, Subject: subject, Detail: &journal.Detail{Err: err.Error()}}
}

// recordEntry adds an entry to the journal. Before the first entry other than
// StepAnswered, it adds the choice of owner if that is not recorded yet.
func (c *call) recordEntry(e journal.RequestEntry) {
	if e.Step != journal.StepAnswered && !c.choice.recorded && c.choice.owner != "" {
		c.choice.recorded = true
		chosen := c.choiceEntry(journal.StepForwarded)
		chosen.At = c.choice.at
		chosen.TraceID = c.meta.TraceID
		c.runtime.journal.AddRequest(chosen)
	}
	e.At = c.runtime.clock.now()
	e.TraceID = c.meta.TraceID
	c.runtime.journal.AddRequest(e)
}

func (o *offer) recordAnswer(backend model.BackendName, started model.Instant, status int) {
	o.recordEntry(journal.RequestEntry{
		Step:    journal.StepServerAnswered,
		Subject: string(backend),
		Status:  uint16(status),
		Spill:   o.frame.GetSpill(),
		Claimed: o.claimed,
		Attempt: uint8(o.attempts),
		Took:    o.runtime.clock.now().Sub(started),
		Waited:  started.Sub(o.waitingSince),
	})
}

func (o *offer) recordAttemptFailure(backend model.BackendName, started model.Instant, err *upstream.SendError) {
	o.recordEntry(journal.RequestEntry{
		Step:    journal.StepAttemptFailed,
		Subject: string(backend),
		Attempt: uint8(o.attempts),
		Took:    o.runtime.clock.now().Sub(started),
		Waited:  started.Sub(o.waitingSince),
		Detail:  &journal.Detail{Err: err.Error()},
	})
}

func (o *offer) recordEntry(e journal.RequestEntry) {
	e.At = o.runtime.clock.now()
	e.TraceID = o.meta.TraceID
	o.runtime.journal.AddRequest(e)
}

// inFlight returns a journal entry for each request and offer with the given trace
// identifier that is still in flight on this instance.
func (r *Runtime) inFlight(trace string) []event.JournalEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event.JournalEntry
	now := r.clock.now()
	for _, c := range r.calls {
		if c.meta.TraceID == trace {
			why := "for " + now.Sub(c.started).String() + "; no owner chosen yet"
			if c.choice.owner != "" {
				why = "for " + now.Sub(c.started).String() + "; owner " + string(c.choice.owner) + " in " + string(c.choice.zone)
			}
			found = append(found, event.JournalEntry{At: now, TraceID: trace, Subject: callerSubject, Message: "in flight", Reason: why})
		}
	}
	for _, o := range r.offers {
		if o.meta.TraceID == trace {
			found = append(found, event.JournalEntry{At: now, TraceID: trace, Subject: string(r.self), Message: "offer in flight"})
		}
	}
	return found
}
