package reducer

import (
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

func (r *Reducer) attemptFinished(ev *event.AttemptFinished) {
	o := r.offers[ev.Request]
	if o == nil || !o.running {
		r.health.Outcome(ev.At, ev.Backend, ev.Result, ev.Draining)
		return
	}
	o.running = false
	if !ev.OwnLimit {
		r.noteAttempt(ev, o)
	}
	switch ev.Result {
	case event.AttemptComplete, event.AttemptFailed, event.AttemptCut, event.AttemptCancelled:
		r.endOffer(ev, o)
	case event.AttemptShed, event.AttemptNotSent:
		r.notRun(ev, o)
	default:
		r.mayHaveRun(ev, o)
	}
	r.syncLimit(ev.At, ev.Backend)
	r.pump(ev.At)
}

// noteAttempt records what an attempt says about its server and its request.
func (r *Reducer) noteAttempt(ev *event.AttemptFinished, o *offer) {
	r.health.Attempted(ev.At, health.Attempt{
		Backend: ev.Backend, Result: ev.Result, Started: o.started, Draining: ev.Draining,
	})
	r.noteSilence(ev, o)
	r.noteSuspicion(ev, o)
}

// noteSilence closes the pooled connections of a server that left one without an
// answer: what is between the two ends may have lost track of all of them.
func (r *Reducer) noteSilence(ev *event.AttemptFinished, o *offer) {
	if ev.Result != event.AttemptTimeout {
		return
	}
	o.timedOut = true
	r.out.add(&event.CondemnConnections{Backend: ev.Backend})
	r.out.record(ev.At, o.meta.Trace, string(ev.Backend), "pooled connections closed", "no answer in time")
}

// noteSuspicion feeds the search for requests that crash backend servers.
func (r *Reducer) noteSuspicion(ev *event.AttemptFinished, o *offer) {
	switch ev.Result {
	case event.AttemptComplete:
		r.suspects.Completed(ev.At, o.meta.Fingerprint)
	case event.AttemptBroken, event.AttemptStaleBroken, event.AttemptCut:
		r.suspects.ConnectionBroken(ev.At, o.meta.Fingerprint, ev.Backend, o.started)
		r.out.add(&event.Probe{Backend: ev.Backend}) // a refused connection proves a crash
	case event.AttemptNotSent:
		r.suspects.ServerFailed(ev.At, ev.Backend)
	}
}

func (r *Reducer) endOffer(ev *event.AttemptFinished, o *offer) {
	learn := ev.Result == event.AttemptComplete
	r.admission.Finish(ev.At, ev.Request, ev.At.Sub(o.started), learn)
	o.slot = false
	r.dropOffer(ev.Request, o)
}

// notRun handles an attempt that provably did not run the request.
func (r *Reducer) notRun(ev *event.AttemptFinished, o *offer) {
	if ev.Result == event.AttemptShed {
		r.admission.Shed(ev.At, ev.Backend, ev.RetryAfter)
	}
	r.again(ev, o, causeOf(ev.Result))
}

// mayHaveRun handles an attempt after which the request may have run.
func (r *Reducer) mayHaveRun(ev *event.AttemptFinished, o *offer) {
	o.uncertain = true
	cause := causeOf(ev.Result)
	atRisk := r.suspects.AtRisk(ev.At, o.meta.Fingerprint) || o.attempts >= maxUncertainAttempts
	if atRisk || !o.meta.Kind.Repeatable() || !r.retries.Allow(ev.At, o.meta.Service) {
		r.giveUp(ev, o, cause)
		return
	}
	r.again(ev, o, cause)
}

// again sends the request to another server of this owner where that is
// possible, and refuses it otherwise.
func (r *Reducer) again(ev *event.AttemptFinished, o *offer, cause model.Cause) {
	bodyGone := ev.BodyUsed && !o.meta.Replayable
	if bodyGone || o.withdrawn || o.attempts >= maxAttempts || r.suspects.Blocked(ev.At, o.meta.Fingerprint) {
		r.giveUp(ev, o, cause)
		return
	}
	o.slot = false
	if refused := r.admission.Requeue(ev.At, ev.Request, ev.Backend); refused != model.CauseNone {
		r.refuseOffer(ev.Request, o, cause)
	}
}

func (r *Reducer) giveUp(ev *event.AttemptFinished, o *offer, cause model.Cause) {
	r.leaveAdmission(ev.At, ev.Request, o)
	r.refuseOffer(ev.Request, o, cause)
}

func causeOf(result event.AttemptResult) model.Cause {
	switch result {
	case event.AttemptShed:
		return model.CauseShed
	case event.AttemptNotSent:
		return model.CauseConnect
	case event.AttemptTimeout:
		return model.CauseTimeout
	case event.AttemptCut:
		return model.CauseAnswerIncomplete
	case event.AttemptCancelled:
		return model.CauseCallerGone
	default:
		return model.CauseBroken
	}
}
