package reducer

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/admission"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxAttempts bounds the backend servers that one offer is sent to.
const maxAttempts = 3

// maxUncertainAttempts bounds the backend servers that may have run one offer: it
// may be what crashes them.
const maxUncertainAttempts = 2

// offer is a request at the owner of the backend servers that may serve it.
type offer struct {
	meta    *model.RequestMeta
	from    model.InstanceID
	spill   bool
	claimed bool
	// claiming reports that the ledger has been asked and has not answered.
	claiming bool
	refused  model.Cause // set while the ledger has not answered
	slot     bool        // holds a slot of backend
	running  bool        // an attempt at backend is under way
	backend  model.BackendName
	started  model.Instant
	attempts int
	longRun  time.Duration // that few runs of the route exceed
	// uncertain reports that an attempt may have run the request.
	uncertain bool
	withdrawn bool
	// replaced reports that the attempt is cancelled for another one.
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

func (r *Reducer) offerRefusal(now model.Instant, o *offer) model.Cause {
	switch {
	case r.text == nil:
		return model.CauseNoConfiguration
	case r.group.Frozen(now):
		return model.CauseNotOwner
	case !now.Before(o.meta.Deadline):
		return model.CauseDeadline
	case r.suspects.Blocked(now, o.meta.Fingerprint):
		return model.CauseCrashSuspect
	default:
		return model.CauseNone
	}
}

// admit queues the offer and starts what can start. A once request is claimed
// while it waits: a refusal at once costs no write, and an idle slot is held for
// the ledger only where no other request waits for it.
func (r *Reducer) admit(now model.Instant, id model.RequestID, o *offer) {
	cause := r.admission.Offer(now, admission.Request{ID: id, Meta: o.meta, Spill: o.spill})
	if cause != model.CauseNone {
		r.refuseOffer(id, o, cause)
		r.pump(now)
		return
	}
	if o.meta.Kind == model.Once {
		o.claiming = true
		r.out.addClaim(id)
	}
	r.pump(now)
}

// pump starts what has a slot and refuses what can no longer be served in time.
func (r *Reducer) pump(now model.Instant) {
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
	o.slot = true
	o.backend = s.Backend
	o.started = now
	o.longRun = r.admission.LongRun(s.ID)
	if !o.claiming {
		r.dispatch(s.ID, o)
	}
}

// dispatch sends a request that holds a slot, and its claim where it needs one.
func (r *Reducer) dispatch(id model.RequestID, o *offer) {
	o.running = true
	o.attempts++
	r.out.addDispatch(event.Dispatch{
		Request:         id,
		Backend:         o.backend,
		FreshConnection: o.meta.Kind == model.Once || o.attempts > 1,
		Patience:        r.patience(o),
	})
}

const (
	// patienceRuns is how many times a run that few exceed an answer may take to
	// begin.
	patienceRuns = 3
	// minPatience keeps short run times from making the noise of the network look
	// like silence.
	minPatience = 100 * time.Millisecond
)

// patience is how long an attempt may be silent before another is considered:
// at most half of what is left, so that there is time for it. Work that must not
// be repeated is never tried twice.
func (r *Reducer) patience(o *offer) time.Duration {
	if !o.meta.Kind.Repeatable() {
		return 0
	}
	half := o.meta.Deadline.Sub(o.started) / 2
	if o.longRun == 0 {
		return half
	}
	return min(max(minPatience, patienceRuns*o.longRun), half)
}

// leaveAdmission gives back an offer's slot or its place in the queue.
func (r *Reducer) leaveAdmission(now model.Instant, id model.RequestID, o *offer) {
	if o.slot {
		r.admission.Finish(now, id, now.Sub(o.started), false)
		o.slot = false
		return
	}
	r.admission.Withdraw(now, id)
}

// refuseOffer ends an offer that is out of admission. While the ledger has not
// answered, the offer stays: its claim has to be released.
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
		r.useClaim(ev, o)
	} else {
		r.endRefused(ev, o)
	}
	r.pump(ev.At)
}

// useClaim goes on with an offer that was waiting for the ledger's word.
func (r *Reducer) useClaim(ev *event.ClaimResolved, o *offer) {
	cause := r.claimRefusal(ev, o)
	switch {
	case ev.Result == event.ClaimFinished:
		r.leaveAdmission(ev.At, ev.Request, o)
		r.out.add(&event.Replay{Request: ev.Request})
		r.dropOffer(ev.Request, o)
	case cause != model.CauseNone:
		r.leaveAdmission(ev.At, ev.Request, o)
		r.refuseOffer(ev.Request, o, cause)
	case o.slot:
		r.dispatch(ev.Request, o)
	}
}

// endRefused ends an offer that was refused while the ledger was asked.
func (r *Reducer) endRefused(ev *event.ClaimResolved, o *offer) {
	o.uncertain = ev.Result == event.ClaimInProgress || ev.Result == event.ClaimFinished
	o.claimed = o.claimed || ev.Result == event.ClaimUncertain
	r.refuseOffer(ev.Request, o, o.refused)
}

// claimRefusal returns why a request does not run after the ledger's answer.
func (r *Reducer) claimRefusal(ev *event.ClaimResolved, o *offer) model.Cause {
	switch ev.Result {
	case event.ClaimGranted:
		if r.group.Frozen(ev.At) {
			return model.CauseNotOwner
		}
		return model.CauseNone
	case event.ClaimInProgress:
		o.uncertain = true // of the earlier attempt with this key
		return model.CauseInProgress
	case event.ClaimCancelled:
		return model.CauseCancelled
	case event.ClaimMismatch:
		return model.CauseDigestMismatch
	case event.ClaimOverBudget:
		return model.CauseLedgerBudget
	case event.ClaimUncertain:
		o.claimed = true // this attempt sends nothing; the release defeats a late claim
		return model.CauseLedgerDown
	default:
		return model.CauseLedgerDown
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
		// Ends when the ledger answers.
	case o.running && o.meta.Kind == model.Once:
		// Runs to its end, so that the ledger holds its answer.
	case o.running:
		r.out.add(&event.CancelAttempt{Request: ev.Request})
	default:
		r.leaveAdmission(ev.At, ev.Request, o)
		r.refuseOffer(ev.Request, o, model.CauseCallerGone)
		r.pump(ev.At)
	}
}
