package runtime

import (
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
)

// execute executes an effect. The caller holds r.mu, so execute must not block:
// slow work runs in the request's goroutine or in a new one.
func (r *Runtime) execute(f event.Effect) {
	switch f := f.(type) {
	case *event.Forward:
		r.forward(f)
	case *event.Refuse:
		r.refuse(f)
	case *event.CancelOnceRequest:
		r.commandCall(f.Request, callCommand{op: opCancelOnceRequest})
	case *event.Dispatch:
		r.commandOffer(f.Request, offerCommand{op: opDispatch, backend: f.Backend, freshConnection: f.FreshConnection, slowAfter: f.SlowAfter})
	case *event.RefuseOffer:
		r.commandOffer(f.Request, offerCommand{op: opRefuseOffer, outcome: f.Outcome, cause: f.Cause, release: f.Release})
	case *event.Claim:
		r.commandOffer(f.Request, offerCommand{op: opClaim})
	case *event.Replay:
		r.replay(f)
	case *event.CancelAttempt:
		if o := r.offers[f.Request]; o != nil {
			o.cancelAttempt()
		}
	case *event.WithdrawOffer:
		if c := r.calls[f.Request]; c != nil {
			c.withdraw()
		}
	default:
		r.executeControl(f)
	}
}

// forward records the choice of an owner and tells the request's goroutine to offer
// the request to it.
func (r *Runtime) forward(f *event.Forward) {
	c := r.calls[f.Request]
	if c == nil {
		return
	}
	c.recordChoice(f)
	c.commands <- callCommand{op: opForward, owner: f.Owner, spill: f.Spill}
}

func (r *Runtime) refuse(f *event.Refuse) {
	c := r.calls[f.Request]
	if c == nil {
		return
	}
	c.recordRefusal(f)
	c.commands <- callCommand{op: opRefuse, outcome: f.Outcome, cause: f.Cause}
}

// replay sends the command to the side of the request that queried the ledger, the
// offer or the call.
func (r *Runtime) replay(f *event.Replay) {
	if r.offers[f.Request] != nil {
		r.commandOffer(f.Request, offerCommand{op: opReplayOffer})
		return
	}
	r.commandCall(f.Request, callCommand{op: opReplay})
}

func (r *Runtime) executeControl(f event.Effect) {
	switch f := f.(type) {
	case *event.Gossip:
		r.links.Gossip(f.To, membership.ToProto(r.clock.now(), f.Message))
	case *event.OpenLink:
		r.links.Open(r.ctx, f.Peer, f.Addr)
	case *event.CloseLink:
		r.links.Close(f.Peer)
	case *event.Probe:
		r.probe(f.Backend)
	case *event.ClosePooledConnections:
		r.closePooledConnections(f.Backend)
	case *event.FetchRevision:
		r.fetchRevision(f.From, f.Number)
	case *event.PollPlatform:
		r.pollPlatform()
	case *event.PublishView:
		r.publishView()
	case *event.Record:
		r.record(f.Entry)
	case *event.Exit:
		r.leave()
	default:
		panic(fmt.Sprintf("runtime: unknown effect %T", f))
	}
}

// record adds a decision to the journal, and logs it if it does not concern a
// single request.
func (r *Runtime) record(e event.JournalEntry) {
	r.journal.Add(e)
	if e.TraceID != "" {
		return
	}
	r.log.WithField("subject", e.Subject).WithField("why", e.Reason).Info(e.Message)
}
