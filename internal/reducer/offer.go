package reducer

import (
	"github.com/primrosenotch/primrosenotch/internal/admission"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxAttempts bounds the backend servers that one offer is sent to.
const maxAttempts = 3

// offer is a request at the owner of the backend servers that may serve it.
type offer struct {
	meta    *model.RequestMeta
	from    model.InstanceID
	spill   bool
	claimed bool
	// claiming reports that the ledger has been asked and has not answered.
	claiming bool
	running  bool
	backend  model.BackendName
	started  model.Instant
	attempts int
	// uncertain reports that an attempt may have run the request.
	uncertain bool
	withdrawn bool
}

func (r *Reducer) newOffer() *offer {
	if n := len(r.offerPool); n > 0 {
		o := r.offerPool[n-1]
		r.offerPool = r.offerPool[:n-1]
		*o = offer{}
		return o
	}
	return &offer{}
}

func (r *Reducer) dropOffer(id model.RequestID, o *offer) {
	delete(r.offers, id)
	o.meta = nil
	r.offerPool = append(r.offerPool, o)
}

func (r *Reducer) offerReceived(ev *event.OfferReceived) {
	o := r.newOffer()
	o.meta = ev.Meta
	o.from = ev.From
	o.spill = ev.Spill
	r.offers[ev.Request] = o
	if cause := r.offerRefusal(ev.At, o); cause != model.CauseNone {
		r.refuseOffer(ev.Request, o, cause)
		return
	}
	if o.meta.Kind == model.Once {
		o.claiming = true
		r.out.addClaim(ev.Request)
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
	case o.meta.Kind == model.Once:
		return r.admission.Check(now, admission.Request{Meta: o.meta, Spill: o.spill})
	default:
		return model.CauseNone
	}
}

// admit queues the offer and starts what can start.
func (r *Reducer) admit(now model.Instant, id model.RequestID, o *offer) {
	cause := r.admission.Offer(now, admission.Request{ID: id, Meta: o.meta, Spill: o.spill})
	if cause != model.CauseNone {
		r.refuseOffer(id, o, cause)
		return
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
	o.running = true
	o.backend = s.Backend
	o.started = now
	o.attempts++
	r.out.addDispatch(event.Dispatch{
		Request:         s.ID,
		Backend:         s.Backend,
		FreshConnection: o.meta.Kind == model.Once,
	})
}

// refuseOffer ends an offer that holds no slot.
func (r *Reducer) refuseOffer(id model.RequestID, o *offer, cause model.Cause) {
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
	switch ev.Result {
	case event.ClaimGranted:
		o.claimed = true
		r.claimGranted(ev.At, ev.Request, o)
	case event.ClaimFinished:
		r.out.add(&event.Replay{Request: ev.Request})
		r.dropOffer(ev.Request, o)
	case event.ClaimInProgress:
		o.uncertain = true
		r.refuseOffer(ev.Request, o, model.CauseInProgress)
	case event.ClaimCancelled:
		r.refuseOffer(ev.Request, o, model.CauseCancelled)
	case event.ClaimMismatch:
		r.refuseOffer(ev.Request, o, model.CauseDigestMismatch)
	case event.ClaimOverBudget:
		r.refuseOffer(ev.Request, o, model.CauseLedgerBudget)
	case event.ClaimUncertain:
		// This attempt sends nothing, and the release defeats a late claim.
		o.claimed = true
		r.refuseOffer(ev.Request, o, model.CauseLedgerDown)
	default:
		r.refuseOffer(ev.Request, o, model.CauseLedgerDown)
	}
}

func (r *Reducer) claimGranted(now model.Instant, id model.RequestID, o *offer) {
	if o.withdrawn {
		r.refuseOffer(id, o, model.CauseCallerGone)
		return
	}
	if r.group.Frozen(now) {
		r.refuseOffer(id, o, model.CauseNotOwner)
		return
	}
	r.admit(now, id, o)
}

func (r *Reducer) offerWithdrawn(ev *event.OfferWithdrawn) {
	o := r.offers[ev.Request]
	if o == nil || o.withdrawn {
		return
	}
	o.withdrawn = true
	switch {
	case o.claiming:
		// Ends when the ledger answers.
	case o.running && o.meta.Kind == model.Once:
		// Runs to its end, so that the ledger holds its answer.
	case o.running:
		r.out.add(&event.CancelAttempt{Request: ev.Request})
	default:
		r.admission.Withdraw(ev.At, ev.Request)
		r.refuseOffer(ev.Request, o, model.CauseCallerGone)
		r.pump(ev.At)
	}
}
