package reducer

import (
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/steering"
)

// maxForwards is the maximum number of owners to which one request is offered.
const maxForwards = 4

// call is the state of a caller's request at its ingress.
type call struct {
	meta     *model.RequestMeta
	choice   steering.Choice
	tried    [maxForwards]model.InstanceID
	forwards int
	// uncertain reports that an earlier offer may have run the request, so that no
	// later refusal may have the outcome not-run.
	uncertain  bool
	cancelling bool
	offered    bool // an owner currently has the request
}

func (c *call) triedOwners() []model.InstanceID { return c.tried[:c.forwards] }

func (r *Reducer) dropCall(id model.RequestID, c *call) {
	delete(r.calls, id)
	c.meta = nil
	r.callPool.put(c)
}

func (r *Reducer) requestArrived(ev *event.RequestArrived) {
	c := r.callPool.get()
	c.meta = ev.Meta
	r.calls[ev.Request] = c
	if cause := r.arrivalRefusal(ev.At, ev.Meta); cause != model.CauseNone {
		r.out.addRefuse(event.Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: cause})
		return
	}
	r.retries.Earn(ev.Meta.Service)
	r.forward(ev.At, ev.Request, c, model.CauseNone)
}

// arrivalRefusal returns the cause for refusing a request before any owner is
// asked, or CauseNone.
func (r *Reducer) arrivalRefusal(now model.Instant, m *model.RequestMeta) model.Cause {
	switch {
	case r.lookupsExpired(now):
		return model.CauseStopping
	case r.text == nil:
		return model.CauseNoConfiguration
	case m.Kind == model.Once && m.IdempotencyKey == "":
		return model.CauseKeyMissing
	case !now.Before(m.Deadline):
		return model.CauseDeadline
	case r.suspects.Blocked(now, m.Fingerprint):
		return model.CauseCrashSuspect
	default:
		return model.CauseNone
	}
}

// forward offers the request to the next owner. If there is none, it refuses the
// request with the cause of the last refusal, which is more informative than the
// lack of owners.
func (r *Reducer) forward(now model.Instant, id model.RequestID, c *call, last model.Cause) {
	home := r.homes[c.meta.CallerGroup]
	choice := r.planner.Choose(now, c.meta, home, r.group, c.triedOwners())
	if !choice.OK() {
		refusal := event.Refuse{Cause: choice.Cause, Candidates: choice.Candidates, Rejected: r.planner.Rejected()}
		if last != model.CauseNone {
			refusal.Cause = last
			refusal.Final = event.FinalNoOwner
		}
		r.refuse(id, c, refusal)
		return
	}
	c.choice = choice
	c.offered = true
	c.tried[c.forwards] = choice.Owner
	c.forwards++
	r.planner.Sent(now, c.meta, choice)
	r.out.addForward(event.Forward{
		Request:    id,
		Owner:      choice.Owner,
		Zone:       choice.Zone,
		Spill:      choice.Spill,
		Candidates: choice.Candidates,
		Rejected:   r.planner.Rejected(),
	})
}

// refuse refuses the caller's request. The outcome is not-run only if no offer can
// have run the request.
func (r *Reducer) refuse(id model.RequestID, c *call, f event.Refuse) {
	f.Request = id
	f.Outcome = model.NotRun
	if c.uncertain {
		f.Outcome = model.Unknown
	}
	r.out.addRefuse(f)
}

func (r *Reducer) ownerRefused(ev *event.OwnerRefused) {
	c := r.calls[ev.Request]
	if c == nil {
		return
	}
	r.endForward(ev.At, c, ev.Outcome, ev.Cause)
	if ev.Outcome != model.NotRun {
		c.uncertain = true
	}
	if final := r.finalRefusal(ev.At, c, ev.Cause, ev.BodyUsed); final != event.FinalNone {
		r.refuse(ev.Request, c, event.Refuse{Cause: ev.Cause, Final: final})
		return
	}
	r.forward(ev.At, ev.Request, c, ev.Cause)
}

// endForward accounts for an offer that ended without an answer. The body is
// charged to the link, since it may have been sent.
func (r *Reducer) endForward(now model.Instant, c *call, outcome model.Outcome, cause model.Cause) {
	c.offered = false
	r.planner.Finished(now, c.meta, c.choice, steering.Transfer{Upload: max(c.meta.BodyBytes, 0)})
	r.planner.Observe(now, steering.Observation{
		Service: c.meta.Service,
		Rank:    c.meta.Rank,
		Zone:    c.choice.Zone,
		Owner:   c.choice.Owner,
		Outcome: outcome,
		Cause:   cause,
	})
}

// finalRefusal returns the reason for not asking another owner after a refusal, or
// FinalNone if another owner may be asked.
func (r *Reducer) finalRefusal(now model.Instant, c *call, cause model.Cause, bodyUsed bool) event.Final {
	switch {
	case c.forwards >= maxForwards:
		return event.FinalForwardLimit
	case !now.Before(c.meta.Deadline):
		return event.FinalDeadline
	case bodyUsed && !c.meta.Replayable:
		return event.FinalBodyUsed
	case c.uncertain && !c.meta.Kind.Repeatable():
		return event.FinalMayHaveRun
	case c.uncertain && r.suspects.HasStrike(now, c.meta.Fingerprint):
		return event.FinalMayHaveRun
	case !otherOwnerMayServe(cause):
		return event.FinalSameCause
	case causedByOwnershipChange(cause) || r.retries.Allow(now, c.meta.Service):
		return event.FinalNone
	default:
		return event.FinalRetryBudget
	}
}

// otherOwnerMayServe reports whether the cause of a refusal concerns the owner
// rather than the request.
func otherOwnerMayServe(cause model.Cause) bool {
	switch cause {
	case model.CauseCrashSuspect, model.CauseDigestMismatch, model.CauseInProgress,
		model.CauseCancelled, model.CauseKeyMissing, model.CauseLedgerBudget, model.CauseLedgerUnavailable, model.CauseCallerGone:
		return false
	case model.CauseConnectionBroken:
		return false // the request may have crashed the servers that the owner tried
	default:
		return true
	}
}

// causedByOwnershipChange reports whether a refusal follows from a change of
// owners. Such refusals cost the owner nothing, so they are limited by maxForwards
// and not by the retry budget.
func causedByOwnershipChange(cause model.Cause) bool {
	return cause == model.CauseNotOwner || cause == model.CauseStopping || cause == model.CauseOwnerLost
}

func (r *Reducer) ownerLost(ev *event.OwnerLost) {
	c := r.calls[ev.Request]
	if c == nil {
		return
	}
	r.endForward(ev.At, c, model.Unknown, model.CauseOwnerLost)
	if ev.Offered {
		if c.meta.Kind == model.Once {
			r.cancelOnceRequest(ev.Request, c)
			return
		}
		c.uncertain = true
	}
	final := r.finalRefusal(ev.At, c, model.CauseOwnerLost, ev.BodyUsed)
	if final == event.FinalNone {
		r.forward(ev.At, ev.Request, c, model.CauseOwnerLost)
		return
	}
	r.refuse(ev.Request, c, event.Refuse{Cause: model.CauseOwnerLost, Final: final})
}

// cancelOnceRequest cancels a once request whose owner is lost in the ledger, so that
// the request cannot run later. The ledger's reply shows whether it may have run
// already.
func (r *Reducer) cancelOnceRequest(id model.RequestID, c *call) {
	c.cancelling = true
	r.out.add(&event.CancelOnceRequest{Request: id})
}

func (r *Reducer) onceRequestCancelled(ev *event.OnceRequestCancelled) {
	c := r.calls[ev.Request]
	if c == nil || !c.cancelling {
		return
	}
	switch {
	case ev.Result == event.ClaimCancelled:
		r.out.addRefuse(event.Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: model.CauseOwnerLost, Final: event.FinalSameCause})
	case ev.Result == event.ClaimFinished && ev.Stored:
		r.out.add(&event.Replay{Request: ev.Request})
	default:
		r.out.addRefuse(event.Refuse{Request: ev.Request, Outcome: model.Unknown, Cause: model.CauseOwnerLost, Final: event.FinalMayHaveRun})
	}
}

func (r *Reducer) requestFinished(ev *event.RequestFinished) {
	c := r.calls[ev.Request]
	if c == nil {
		return
	}
	if c.offered {
		spent := steering.Transfer{Upload: max(c.meta.BodyBytes, 0), Response: ev.AnswerBytes}
		r.planner.Finished(ev.At, c.meta, c.choice, spent)
	}
	r.dropCall(ev.Request, c)
}

func (r *Reducer) callerGone(ev *event.CallerGone) {
	c := r.calls[ev.Request]
	if c == nil || !c.offered {
		return
	}
	r.out.add(&event.WithdrawOffer{Request: ev.Request, Owner: c.choice.Owner})
}
