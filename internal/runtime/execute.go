package runtime

import (
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
)

// execute carries out one effect. It runs under the lock and must not block:
// what takes time goes to the request's goroutine or to one of its own.
func (r *Runtime) execute(f event.Effect) {
	switch f := f.(type) {
	case *event.Forward:
		r.command(f.Request, callCommand{op: opForward, owner: f.Owner, zone: f.Zone, spill: f.Spill})
	case *event.Refuse:
		r.command(f.Request, callCommand{op: opRefuse, outcome: f.Outcome, cause: f.Cause})
	case *event.Settle:
		r.command(f.Request, callCommand{op: opSettle})
	case *event.Dispatch:
		r.instruct(f.Request, offerCommand{op: opDispatch, backend: f.Backend, fresh: f.FreshConnection, silentAfter: f.SilentAfter})
	case *event.RefuseOffer:
		r.instruct(f.Request, offerCommand{op: opRefuseOffer, outcome: f.Outcome, cause: f.Cause, release: f.Release})
	case *event.Claim:
		r.instruct(f.Request, offerCommand{op: opClaim})
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

// replay goes to whichever side of the request asked the ledger.
func (r *Runtime) replay(f *event.Replay) {
	if r.offers[f.Request] != nil {
		r.instruct(f.Request, offerCommand{op: opReplayOffer})
		return
	}
	r.command(f.Request, callCommand{op: opReplay})
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
	case *event.CondemnConnections:
		r.condemn(f.Backend)
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

// record writes a decision to the journal, and to the log where it is about the
// fleet rather than about one request.
func (r *Runtime) record(e event.JournalEntry) {
	r.journal.Add(e)
	if e.Request != "" {
		return
	}
	r.log.WithField("subject", e.Subject).WithField("why", e.Why).Info(e.What)
}
