package reducer

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Recover returns the effects of an event at which Step has panicked half way, since the state counts
// on them, except those of the request that the event concerns: that request is refused, and an offer
// is forgotten. They are valid until the next call of Step. Release must be called before.
func (r *Reducer) Recover(ev event.Event) []event.Effect {
	switch ev := ev.(type) {
	case *event.RequestArrived:
		r.abandonCall(ev.Request, model.NotRun)
	case *event.OwnerRefused:
		r.abandonCall(ev.Request, model.Unknown)
	case *event.OwnerLost:
		r.abandonCall(ev.Request, model.Unknown)
	case *event.OnceRequestCancelled:
		r.abandonCall(ev.Request, model.Unknown)
	case *event.RequestFinished:
		delete(r.calls, ev.Request)
	case *event.OfferReceived:
		r.abandonOffer(ev.Request, model.NotRun)
	case *event.AttemptFinished:
		r.abandonOffer(ev.Request, model.Unknown)
	case *event.ClaimResolved:
		r.abandonOffer(ev.Request, model.Unknown)
	case *event.OfferWithdrawn:
		r.abandonOffer(ev.Request, model.Unknown)
	}
	return r.out.list
}

// Release gives back the slot, or the place in the queue, of the offer that an event concerns at
// which Step has panicked.
func (r *Reducer) Release(ev event.Event) {
	switch ev := ev.(type) {
	case *event.OfferReceived:
		r.releaseOffer(ev.At, ev.Request)
	case *event.AttemptFinished:
		r.releaseOffer(ev.At, ev.Request)
	case *event.ClaimResolved:
		r.releaseOffer(ev.At, ev.Request)
	case *event.OfferWithdrawn:
		r.releaseOffer(ev.At, ev.Request)
	}
}

func (r *Reducer) releaseOffer(now model.Instant, id model.RequestID) {
	r.admission.Withdraw(now, id)
	r.admission.Finish(now, id, 0, false)
}

// abandonCall refuses a caller's request. The call is kept until the request has finished.
func (r *Reducer) abandonCall(id model.RequestID, outcome model.Outcome) {
	r.dropEffects(id)
	r.out.addRefuse(event.Refuse{Request: id, Outcome: outcome, Cause: model.CauseInternal})
}

func (r *Reducer) abandonOffer(id model.RequestID, outcome model.Outcome) {
	r.dropEffects(id)
	delete(r.offers, id) // not into the pool, as it may still be referred to
	r.out.addRefuseOffer(event.RefuseOffer{Request: id, Outcome: outcome, Cause: model.CauseInternal})
}

// dropEffects removes the effects that concern a request.
func (r *Reducer) dropEffects(id model.RequestID) {
	r.out.list = slices.DeleteFunc(r.out.list, func(f event.Effect) bool {
		switch f := f.(type) {
		case *event.Forward:
			return f.Request == id
		case *event.Refuse:
			return f.Request == id
		case *event.CancelOnceRequest:
			return f.Request == id
		case *event.Dispatch:
			return f.Request == id
		case *event.RefuseOffer:
			return f.Request == id
		case *event.Claim:
			return f.Request == id
		case *event.Replay:
			return f.Request == id
		default:
			return false
		}
	})
}
