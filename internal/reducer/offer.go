package reducer

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/admission"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxAttempts is the maximum number of attempts at backend servers for one offer.
const maxAttempts = 3

// maxUncertainAttempts is the number of attempts after which an offer that may have
// run is not retried, since it may be crashing the backend servers.
const maxUncertainAttempts = 2

// offer is the state of a request at the owner of the backend servers that may
// serve it.
type offer struct {
	meta    *model.RequestMeta
	from    model.InstanceID
	spill   bool
	claimed bool
	// claiming reports that the ledger's answer to the claim is pending.
	claiming bool
	refused  model.Cause // set if the offer is refused while claiming
	hasSlot  bool        // holds a slot of backend
	running  bool        // an attempt at backend is under way
	backend  model.BackendName
	started  model.Instant
	attempts int
	slowRun  time.Duration // run time that few runs of the route exceed; 0 if unknown
	// uncertain reports that an attempt may have run the request.
	uncertain bool
	withdrawn bool
	// replaced reports that the attempt is being cancelled in favour of another one.
	replaced bool
}

func (r *Reducer) dropOffer(id model.RequestID, o *offer) {
	delete(r.offers, id)
	o.meta = nil
	r.offerPool.put(o)
}

func (r *Reducer) offerReceived(ev *event.OfferReceived) {
	o := r.offerPool.get()
	o.meta = ev.Meta
	o.from = ev.From
	o.spill = ev.Spill
	r.offers[ev.Request] = o
	if cause := r.offerRefusal(ev.At, o); cause != model.CauseNone {
		r.refuseOffer(ev.Request, o, cause)
		return
	}
	r.admit(ev.At, ev.Request, o)
}

// offerRefusal returns the cause for refusing an offer before it is queued, or
// CauseNone.
func (r *Reducer) offerRefusal(now model.Instant, o *offer) model.Cause {
	switch {
	case r.text == nil:
		return model.CauseNoConfiguration
	case r.group.OwnershipSuspended(now):
		return model.CauseNotOwner
	case !now.Before(o.meta.Deadline):
		return model.CauseDeadline
	case r.suspects.Blocked(now, o.meta.Fingerprint):
		return model.CauseCrashSuspect
	default:
		return model.CauseNone
	}
}

// admit queues the offer and starts requests for which slots are free. A once
// request is claimed while it is queued: a request that is refused immediately costs
// no ledger write, and the wait for the ledger overlaps the wait for a slot. A
// request that gets its slot before the ledger replies holds it until then.
func (r *Reducer) admit(now model.Instant, id model.RequestID, o *offer) {
	cause := r.admission.Offer(now, admission.Request{ID: id, Meta: o.meta, Spill: o.spill})
	if cause != model.CauseNone {
		r.refuseOffer(id, o, cause)
		r.runAdmission(now)
		return
	}
	if o.meta.Kind == model.Once {
		o.claiming = true
		r.out.addClaim(id)
	}
	r.runAdmission(now)
}

// runAdmission starts the requests that were given a slot and refuses those that
// can no longer be served in time.
func (r *Reducer) runAdmission(now model.Instant) {
	r.applyRates(now)
	r.admission.Next(now, &r.decisions)
	for i := range r.decisions.Refuse {
		refused := &r.decisions.Refuse[i]
		if o := r.offers[refused.ID]; o != nil {
			r.refuseOffer(refused.ID, o, refused.Cause)
		}
	}
	for i := range r.decisions.Start {
		r.start(now, &r.decisions.Start[i])
	}
}

func (r *Reducer) start(now model.Instant, s *admission.Start) {
	o := r.offers[s.ID]
	if o == nil {
		r.admission.Finish(now, s.ID, 0, false)
		return
	}
	o.hasSlot = true
	o.backend = s.Backend
	o.started = now
	r.countRate(now, s.Backend)
	o.slowRun = r.admission.SlowRunTime(s.ID)
	if !o.claiming {
		r.dispatch(s.ID, o)
	}
}

// dispatch sends a request that holds a slot to the slot's server. A once request
// is dispatched only after its claim was granted.
func (r *Reducer) dispatch(id model.RequestID, o *offer) {
	o.running = true
	o.attempts++
	r.out.addDispatch(event.Dispatch{
		Request:         id,
		Backend:         o.backend,
		FreshConnection: o.meta.Kind == model.Once || o.attempts > 1,
		SlowAfter:       r.slowAfter(o),
	})
}

const (
	// slowRunFactor is the multiple of the route's slow run time after which an
	// answer that has not begun counts as slow.
	slowRunFactor = 3
	// minSlowAfter is the minimum wait, so that on routes with short run times
	// network jitter does not look like a silent connection.
	minSlowAfter = 100 * time.Millisecond
)

// slowAfter returns the time after which an attempt without an answer counts as
// slow and may be replaced: at most half of the time left, so that the replacement
// has time to run. It returns 0 for requests that must not be repeated, which are
// never replaced.
func (r *Reducer) slowAfter(o *offer) time.Duration {
	if !o.meta.Kind.Repeatable() {
		return 0
	}
	half := o.meta.Deadline.Sub(o.started) / 2
	if o.slowRun == 0 {
		return half
	}
	return min(max(minSlowAfter, slowRunFactor*o.slowRun), half)
}

// leaveAdmission releases an offer's slot or its place in the queue.
func (r *Reducer) leaveAdmission(now model.Instant, id model.RequestID, o *offer) {
	if o.hasSlot {
		r.admission.Finish(now, id, now.Sub(o.started), false)
		o.hasSlot = false
		return
	}
	r.admission.Withdraw(now, id)
}

// refuseOffer ends an offer that has left admission. While the ledger's answer is
// pending, the offer is kept, because its claim may have to be released.
func (r *Reducer) refuseOffer(id model.RequestID, o *offer, cause model.Cause) {
	if o.claiming {
		o.refused = cause
		return
	}
	outcome := model.NotRun
	if o.uncertain {
		outcome = model.Unknown
	}
	r.out.addRefuseOffer(event.RefuseOffer{
		Request: id,
		Outcome: outcome,
		Cause:   cause,
		Release: o.claimed && !o.uncertain,
	})
	r.dropOffer(id, o)
}

func (r *Reducer) claimResolved(ev *event.ClaimResolved) {
	o := r.offers[ev.Request]
	if o == nil || !o.claiming {
		return
	}
	o.claiming = false
	if ev.Result == event.ClaimGranted {
		o.claimed = true
	}
	if o.refused == model.CauseNone {
		r.applyClaim(ev, o)
	} else {
		r.endRefusedOffer(ev, o)
	}
	r.runAdmission(ev.At)
}

// applyClaim continues an offer according to the ledger's answer.
func (r *Reducer) applyClaim(ev *event.ClaimResolved, o *offer) {
	cause := r.claimRefusal(ev, o)
	switch {
	case ev.Result == event.ClaimFinished:
		r.leaveAdmission(ev.At, ev.Request, o)
		r.out.add(&event.Replay{Request: ev.Request})
		r.dropOffer(ev.Request, o)
	case cause != model.CauseNone:
		r.leaveAdmission(ev.At, ev.Request, o)
		r.refuseOffer(ev.Request, o, cause)
	case o.hasSlot:
		r.dispatch(ev.Request, o)
	}
}

// endRefusedOffer ends an offer that was refused while the ledger's answer was
// pending.
func (r *Reducer) endRefusedOffer(ev *event.ClaimResolved, o *offer) {
	o.uncertain = ev.Result == event.ClaimInProgress || ev.Result == event.ClaimFinished
	o.claimed = o.claimed || ev.Result == event.ClaimUncertain
	r.refuseOffer(ev.Request, o, o.refused)
}

// claimRefusal returns the cause for not running a request after the ledger's
// answer, or CauseNone.
func (r *Reducer) claimRefusal(ev *event.ClaimResolved, o *offer) model.Cause {
	switch ev.Result {
	case event.ClaimGranted:
		if r.group.OwnershipSuspended(ev.At) {
			return model.CauseNotOwner
		}
		return model.CauseNone
	case event.ClaimInProgress:
		o.uncertain = true // the earlier attempt with this key may have run
		return model.CauseInProgress
	case event.ClaimCancelled:
		return model.CauseCancelled
	case event.ClaimMismatch:
		return model.CauseDigestMismatch
	case event.ClaimOverBudget:
		return model.CauseLedgerBudget
	case event.ClaimUncertain:
		o.claimed = true // nothing is sent, and the release undoes a claim that takes effect late
		return model.CauseLedgerUnavailable
	default:
		return model.CauseLedgerUnavailable
	}
}

func (r *Reducer) offerWithdrawn(ev *event.OfferWithdrawn) {
	o := r.offers[ev.Request]
	if o == nil || o.withdrawn {
		return
	}
	o.withdrawn = true
	switch {
	case o.refused != model.CauseNone:
		// The offer ends when the ledger answers.
	case o.running && o.meta.Kind == model.Once:
		// The attempt runs to completion, so that the ledger gets its answer.
	case o.running:
		r.out.add(&event.CancelAttempt{Request: ev.Request})
	default:
		r.leaveAdmission(ev.At, ev.Request, o)
		r.refuseOffer(ev.Request, o, model.CauseCallerGone)
		r.runAdmission(ev.At)
	}
}
