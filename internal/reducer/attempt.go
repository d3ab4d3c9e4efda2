package reducer

import (
	"time"

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
	case event.AttemptComplete, event.AttemptFailed, event.AttemptCut:
		r.endOffer(ev, o)
	case event.AttemptCancelled:
		r.cancelled(ev, o)
	case event.AttemptShed, event.AttemptNotSent:
		r.notRun(ev, o)
	default:
		r.mayHaveRun(ev, o)
	}
	r.syncLimits(ev.At)
	r.pump(ev.At)
}

// noteAttempt records what an attempt says about its server and its request. One
// that was cancelled for another counts as a time-out.
func (r *Reducer) noteAttempt(ev *event.AttemptFinished, o *offer) {
	result := ev.Result
	if result == event.AttemptCancelled && o.replaced {
		result = event.AttemptTimeout
	}
	r.health.Attempted(ev.At, health.Attempt{
		Backend:  ev.Backend,
		Result:   result,
		Started:  o.started,
		Draining: ev.Draining,
	})
	r.noteSuspicion(ev, o)
	r.condemn(ev)
}

// noteSuspicion feeds the search for requests that crash backend servers.
func (r *Reducer) noteSuspicion(ev *event.AttemptFinished, o *offer) {
	switch ev.Result {
	case event.AttemptComplete:
		r.suspects.Completed(ev.At, o.meta.Fingerprint)
	case event.AttemptBroken, event.AttemptCut, event.AttemptStaleBroken:
		r.suspects.ConnectionBroken(ev.At, o.meta.Fingerprint, ev.Backend, o.started)
		r.out.add(&event.Probe{Backend: ev.Backend}) // a refused connection proves a crash
	case event.AttemptNotSent:
		r.suspects.ServerFailed(ev.At, ev.Backend)
	}
}

// condemn closes the pooled connections of a server when one of them went silent
// or was found dead: what lost track of it may have lost the others too.
func (r *Reducer) condemn(ev *event.AttemptFinished) {
	if ev.Result == event.AttemptTimeout || ev.Result == event.AttemptStaleBroken {
		r.out.add(&event.CondemnConnections{Backend: ev.Backend})
	}
}

// attemptSlow gives an attempt up for another one on a new connection, within
// the retry budget: the connection may have gone silent.
func (r *Reducer) attemptSlow(ev *event.AttemptSlow) {
	o := r.offers[ev.Request]
	if o == nil || !o.running || o.replaced || o.withdrawn {
		return
	}
	if !o.meta.Kind.Repeatable() || o.attempts >= maxAttempts {
		return
	}
	if ev.BodyUsed && !o.meta.Replayable {
		return
	}
	if !r.retries.Allow(ev.At, o.meta.Service) {
		return
	}
	o.replaced = true
	r.out.add(&event.CondemnConnections{Backend: ev.Backend})
	r.out.record(ev.At, o.meta.Trace, string(ev.Backend), "attempt replaced", "no answer in time")
	r.out.add(&event.CancelAttempt{Request: ev.Request})
}

// cancelled handles the end of an attempt that this instance cancelled.
func (r *Reducer) cancelled(ev *event.AttemptFinished, o *offer) {
	o.uncertain = true
	if !o.replaced || o.withdrawn {
		r.giveUp(ev, o, model.CauseCallerGone)
		return
	}
	o.replaced = false
	o.slot = false
	if refused := r.admission.Requeue(ev.At, ev.Request, r.otherThan(ev)); refused != model.CauseNone {
		r.refuseOffer(ev.Request, o, model.CauseTimeout)
	}
}

// otherThan returns the server that a replaced attempt is to avoid: its own,
// unless this instance has no other for the service. A new connection to the
// same server may well work.
func (r *Reducer) otherThan(ev *event.AttemptFinished) model.BackendName {
	silent, ok := r.index.Backend(ev.Backend)
	if !ok {
		return ""
	}
	for _, name := range r.ownedNames {
		b, known := r.index.Backend(name)
		if known && name != silent.Name && b.Service == silent.Service && r.health.Limit(ev.At, name) > 0 {
			return silent.Name
		}
	}
	return ""
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
	if !o.meta.Kind.Repeatable() {
		r.giveUp(ev, o, causeOf(ev.Result))
		return
	}
	if ev.Result == event.AttemptBroken || ev.Result == event.AttemptStaleBroken {
		r.parked = append(r.parked, *ev)
		return
	}
	r.repeat(ev, o)
}

// repeat sends a request that may have run again, within the retry budget.
func (r *Reducer) repeat(ev *event.AttemptFinished, o *offer) {
	cause := causeOf(ev.Result)
	atRisk := r.suspects.AtRisk(ev.At, o.meta.Fingerprint) || o.attempts >= maxUncertainAttempts
	if atRisk || !r.retries.Allow(ev.At, o.meta.Service) {
		r.giveUp(ev, o, cause)
		return
	}
	r.again(ev, o, cause)
}

// parkedFor is how long a request whose connection broke waits for the probe of
// its server.
const parkedFor = time.Second

// unpark goes on with the requests whose connections to a server broke, now that
// the server has been probed. Where it refuses connections, one of them may have
// crashed it, so none is sent to another server.
func (r *Reducer) unpark(now model.Instant, backend model.BackendName, crashed bool) {
	r.endParked(now, crashed, func(p *event.AttemptFinished) bool { return p.Backend == backend })
}

// expireParked gives up the requests whose probe was never answered.
func (r *Reducer) expireParked(now model.Instant) {
	r.endParked(now, true, func(p *event.AttemptFinished) bool { return now.Sub(p.At) > parkedFor })
}

func (r *Reducer) endParked(now model.Instant, final bool, selected func(*event.AttemptFinished) bool) {
	waiting := r.parked
	r.parked = nil
	for i := range waiting {
		p := &waiting[i]
		if !selected(p) {
			r.parked = append(r.parked, *p)
			continue
		}
		o := r.offers[p.Request]
		if o == nil {
			continue // withdrawn meanwhile
		}
		p.At = now
		if final {
			r.giveUp(p, o, causeOf(p.Result))
		} else {
			r.repeat(p, o)
		}
	}
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
