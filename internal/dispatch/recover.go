package dispatch

import (
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Recover brings the state back in order after Step has panicked half way through an event. It
// returns the effects of the event up to then, since the state counts on them, except those of the
// request that the event concerns: that request is forgotten and refused. They are valid until the
// next call of Step.
func (d *Dispatcher) Recover(ev Event) []Effect {
	switch ev := ev.(type) {
	case *RequestArrived:
		d.abandon(ev.Request, model.NotRun)
	case *AttemptEnded:
		d.abandon(ev.Request, model.Unknown)
	case *AnswerStarted:
		d.forget(ev.Request)
	case *RequestEnded:
		d.forget(ev.Request)
	case *ServerProbed:
		if s := d.servers[ev.Server]; s != nil {
			s.probing = false
		}
	case *SuspectsSaved:
		d.saver.running = false
	}
	d.recoverHeld()
	d.recountInFlight()
	return d.effects
}

// abandon forgets a request and refuses it.
func (d *Dispatcher) abandon(id model.RequestID, outcome model.Outcome) {
	var organisation model.OrganisationName
	if q := d.requests[id]; q != nil {
		organisation = nameOf(q.organisation)
	}
	d.forget(id)
	d.add(&Refuse{Request: id, Outcome: outcome, Cause: model.CauseInternal, Organisation: organisation})
}

// forget drops a request and its effects.
func (d *Dispatcher) forget(id model.RequestID) {
	delete(d.requests, id)
	kept := make([]Effect, 0, len(d.effects)+1)
	for _, f := range d.effects {
		if !concerns(f, id) {
			kept = append(kept, f)
		}
	}
	d.effects = kept
}

// concerns reports whether an effect is about a request.
func concerns(f Effect, id model.RequestID) bool {
	switch f := f.(type) {
	case *Send:
		return f.Request == id
	case *Hedge:
		return f.Send.Request == id
	case *Refuse:
		return f.Request == id
	case *PassOn:
		return f.Request == id
	case *Resume:
		return f.Request == id
	default:
		return false
	}
}

// recountInFlight counts the requests at each server anew.
func (d *Dispatcher) recountInFlight() {
	for _, s := range d.servers {
		s.inFlight = 0
	}
	for _, q := range d.requests {
		for _, a := range q.running {
			a.server.inFlight = 0 // it may have been removed
		}
	}
	for _, q := range d.requests {
		for _, a := range q.running {
			a.server.inFlight++
		}
	}
}
