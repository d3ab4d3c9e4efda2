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
		r.health.RecordOutcome(ev.At, ev.Backend, ev.Result, ev.Draining)
		return
	}
	o.running = false
	if !ev.OwnLimit {
		r.recordAttempt(ev, o)
	}
	switch ev.Result {
	case event.AttemptComplete, event.AttemptFailed, event.AttemptTruncated:
		r.endOffer(ev, o)
	case event.AttemptCancelled:
		r.handleCancelled(ev, o)
	case event.AttemptShed, event.AttemptNotSent:
		r.handleNotRun(ev, o)
	default:
		r.handleMayHaveRun(ev, o)
	}
	r.syncLimits(ev.At)
	r.rateNamed(ev)
	r.runAdmission(ev.At)
}

// recordAttempt passes the result of an attempt to the health tracker and the
// detection of crashing requests, and closes the pooled connections to the server
// if necessary. For the server's health, an attempt that was cancelled in favour of
// another one counts as a timeout.
func (r *Reducer) recordAttempt(ev *event.AttemptFinished, o *offer) {
	result := ev.Result
	if result == event.AttemptCancelled && o.replaced {
		result = event.AttemptTimeout
	}
	r.health.RecordAttempt(ev.At, health.Attempt{
		Backend:  ev.Backend,
		Result:   result,
		Started:  o.started,
		Draining: ev.Draining,
	})
	r.recordCrashEvidence(ev, o)
	r.closePooledConnections(ev)
}

// recordCrashEvidence updates the detection of requests that crash backend
// servers.
func (r *Reducer) recordCrashEvidence(ev *event.AttemptFinished, o *offer) {
	switch ev.Result {
	case event.AttemptComplete:
		r.suspects.Completed(ev.At, o.meta.Fingerprint)
	case event.AttemptBroken, event.AttemptTruncated, event.AttemptStaleBroken:
		r.suspects.ConnectionBroken(ev.At, o.meta.Fingerprint, ev.Backend, o.started)
		r.out.add(&event.Probe{Backend: ev.Backend}) // a refused probe connection proves a crash
	case event.AttemptTimeout, event.AttemptCancelled:
		r.suspects.Unanswered(ev.At, o.meta.Fingerprint, ev.Backend, o.started)
	case event.AttemptNotSent:
		r.suspects.ServerFailed(ev.At, ev.Backend)
	}
}

// serverSilent records a strike against each request that a server has not answered and that
// may have crashed it, so that its connections did not break.
func (r *Reducer) serverSilent(now model.Instant, backend model.BackendName) {
	for _, o := range r.offers {
		if o.running && o.backend == backend {
			r.suspects.Unanswered(now, o.meta.Fingerprint, backend, o.started)
		}
	}
	r.suspects.ServerSilent(now, backend, r.health.LastAnswer(backend))
}

// closePooledConnections closes the pooled connections to a server when one of
// them became unresponsive or was found broken: a device on the path that dropped
// the state of one connection may have dropped that of the others too.
func (r *Reducer) closePooledConnections(ev *event.AttemptFinished) {
	if ev.Result == event.AttemptTimeout || ev.Result == event.AttemptStaleBroken {
		r.out.add(&event.ClosePooledConnections{Backend: ev.Backend})
	}
}

// attemptSlow cancels a slow attempt in favour of another one on a new
// connection, within the retry budget: the old connection may be unresponsive. The attempt
// goes on if the other one cannot be made, or would probably be too late.
func (r *Reducer) attemptSlow(ev *event.AttemptSlow) {
	o := r.offers[ev.Request]
	if o == nil || !o.running || o.replaced || o.withdrawn || r.leavingAt != 0 {
		return
	}
	if !o.meta.Kind.Repeatable() || o.attempts >= maxAttempts {
		return
	}
	if ev.BodyUsed && !o.meta.Replayable {
		return
	}
	if !r.admission.MayRequeue(ev.At, ev.Request, r.serverToAvoid(ev.At, ev.Backend)) || !r.retries.Allow(ev.At, o.meta.Service) {
		return
	}
	o.replaced = true
	r.out.add(&event.ClosePooledConnections{Backend: ev.Backend})
	r.out.record(ev.At, o.meta.TraceID, string(ev.Backend), "attempt replaced", "no answer in time")
	r.out.add(&event.CancelAttempt{Request: ev.Request})
}

// handleCancelled handles the end of an attempt that this instance cancelled.
func (r *Reducer) handleCancelled(ev *event.AttemptFinished, o *offer) {
	o.uncertain = true
	if !o.replaced || o.withdrawn {
		r.releaseAndRefuse(ev, o, model.CauseCallerGone)
		return
	}
	o.replaced = false
	o.hasSlot = false
	if refused := r.admission.Requeue(ev.At, ev.Request, r.serverToAvoid(ev.At, ev.Backend)); refused != model.CauseNone {
		r.refuseOffer(ev.Request, o, model.CauseTimeout)
	}
}

// serverToAvoid returns the server that the replacement of an attempt has to
// avoid: the server of the attempt, or none if this instance owns no other usable
// server of the service. A new connection to the same server may still work.
func (r *Reducer) serverToAvoid(now model.Instant, attempted model.BackendName) model.BackendName {
	silent, ok := r.index.Backend(attempted)
	if !ok {
		return ""
	}
	for _, name := range r.ownedNames {
		b, known := r.index.Backend(name)
		if known && name != silent.Name && b.Service == silent.Service && r.health.Limit(now, name) > 0 {
			return silent.Name
		}
	}
	return ""
}

func (r *Reducer) endOffer(ev *event.AttemptFinished, o *offer) {
	learn := ev.Result == event.AttemptComplete
	r.admission.Finish(ev.At, ev.Request, ev.At.Sub(o.started), learn)
	o.hasSlot = false
	r.dropOffer(ev.Request, o)
}

// handleNotRun handles an attempt that provably did not run the request.
func (r *Reducer) handleNotRun(ev *event.AttemptFinished, o *offer) {
	if ev.Result == event.AttemptShed {
		r.admission.Shed(ev.At, ev.Backend, ev.RetryAfter)
	}
	r.requeueOrRefuse(ev, o, causeOf(ev.Result))
}

// handleMayHaveRun handles an attempt that may have run the request. If its
// connection broke, the request waits for a probe of the server.
func (r *Reducer) handleMayHaveRun(ev *event.AttemptFinished, o *offer) {
	o.uncertain = true
	if !o.meta.Kind.Repeatable() {
		r.releaseAndRefuse(ev, o, causeOf(ev.Result))
		return
	}
	if ev.Result == event.AttemptBroken || ev.Result == event.AttemptStaleBroken {
		r.parked = append(r.parked, *ev)
		return
	}
	r.retryUncertain(ev, o)
}

// retryUncertain retries a request that may have run, within the retry budget. It
// refuses the request if it is suspected of crashing servers or has had
// maxUncertainAttempts attempts.
func (r *Reducer) retryUncertain(ev *event.AttemptFinished, o *offer) {
	cause := causeOf(ev.Result)
	noRetry := r.suspects.HasStrike(ev.At, o.meta.Fingerprint) || o.attempts >= maxUncertainAttempts
	if noRetry || !r.retries.Allow(ev.At, o.meta.Service) {
		r.releaseAndRefuse(ev, o, cause)
		return
	}
	r.requeueOrRefuse(ev, o, cause)
}

// parkTimeout is the maximum time for which a request whose connection broke waits
// for the probe of its server.
const parkTimeout = time.Second

// resumeParked retries the requests whose connections to a server broke, after the
// server has been probed. If the server refuses connections, one of the requests
// may have crashed it, so all of them are refused instead of being sent to another
// server.
func (r *Reducer) resumeParked(now model.Instant, backend model.BackendName, crashed bool) {
	r.resolveParked(now, crashed, func(p *event.AttemptFinished) bool { return p.Backend == backend })
}

// expireParked refuses the requests whose probe was not answered in time.
func (r *Reducer) expireParked(now model.Instant) {
	r.resolveParked(now, true, func(p *event.AttemptFinished) bool { return now.Sub(p.At) > parkTimeout })
}

func (r *Reducer) resolveParked(now model.Instant, final bool, selected func(*event.AttemptFinished) bool) {
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
			continue // withdrawn in the meantime
		}
		p.At = now
		if final {
			r.releaseAndRefuse(p, o, causeOf(p.Result))
		} else {
			r.retryUncertain(p, o)
		}
	}
}

// requeueOrRefuse queues the request for another server of this owner if that is
// possible, and refuses it otherwise.
func (r *Reducer) requeueOrRefuse(ev *event.AttemptFinished, o *offer, cause model.Cause) {
	bodyGone := ev.BodyUsed && !o.meta.Replayable
	if bodyGone || o.withdrawn || o.attempts >= maxAttempts || r.suspects.Blocked(ev.At, o.meta.Fingerprint) {
		r.releaseAndRefuse(ev, o, cause)
		return
	}
	o.hasSlot = false
	if refused := r.admission.Requeue(ev.At, ev.Request, ev.Backend); refused != model.CauseNone {
		r.refuseOffer(ev.Request, o, cause)
	}
}

// releaseAndRefuse releases the request's slot or queue entry and refuses the
// offer.
func (r *Reducer) releaseAndRefuse(ev *event.AttemptFinished, o *offer, cause model.Cause) {
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
	case event.AttemptTruncated:
		return model.CauseAnswerIncomplete
	case event.AttemptCancelled:
		return model.CauseCallerGone
	default:
		return model.CauseConnectionBroken
	}
}
