package edge

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// usableInstances lists the instances that take callers' requests. The caller holds
// fleetMu.
func (e *Edge) usableInstances() []membership.Entry {
	list := e.group.Alive()
	if e.Ready() {
		self := e.options.Self
		list = append(list, membership.Entry{Instance: self.ID, Zone: self.Zone, CallerAddr: self.Callers})
	}
	return list
}

func (e *Edge) setState(state membership.State) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.carryOut(e.group.SetState(e.clock.now(), state))
}

func (e *Edge) tickFleet(now model.Instant) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.carryOut(e.group.Tick(now))
	e.publishLookups(true)
}

// instancesChanged tells the group whom the store lists.
func (e *Edge) instancesChanged(now model.Instant) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	list := make([]platform.ListedInstance, 0, len(e.listed))
	for _, l := range e.listed {
		list = append(list, platform.ListedInstance{
			ID:      l.entry.ID,
			Zone:    l.entry.Zone,
			Link:    l.entry.Links,
			Callers: l.entry.Callers,
		})
	}
	slices.SortFunc(list, func(a, b platform.ListedInstance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if l, ok := e.listed[e.options.Self.ID]; !ok || l.entry.Started != e.options.Self.Started {
		e.askToList()
	}
	e.carryOut(e.group.Listed(now, list))
	e.post(&dispatch.FleetCounted{At: now, Instances: max(len(list), 1)})
}

// carryOut does what the group asks for, and publishes what follows for look-ups. It
// must not block.
func (e *Edge) carryOut(out membership.Output) {
	for _, id := range out.Close {
		e.links.Close(id)
	}
	for _, p := range out.Open {
		e.links.Open(e.ctx, p.ID, p.Addr)
	}
	now := e.clock.now()
	for _, m := range out.Messages {
		gossip := membership.ToProto(now, m.Message)
		gossip.State = e.digestFor(now, m.To)
		e.links.Gossip(m.To, gossip)
	}
	for _, n := range out.Notes {
		e.log.WithFields(logrus.Fields{"subject": n.Subject, "why": n.Why}).Info(n.What)
	}
	e.publishLookups(false)
}

// LinkUp implements link.Events.
func (e *Edge) LinkUp(peer model.InstanceID) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.carryOut(e.group.LinkUp(e.clock.now(), peer))
}

// LinkDown implements link.Events.
func (e *Edge) LinkDown(peer model.InstanceID) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.echoes.Forget(peer)
	e.carryOut(e.group.LinkDown(e.clock.now(), peer))
}

// GossipReceived implements link.Events.
func (e *Edge) GossipReceived(from model.InstanceID, g *linkpb.Gossip) {
	now := e.clock.now()
	message, err := membership.FromProto(now, g)
	if err != nil {
		e.log.WithField("peer", from).WithError(err).Warn("membership message refused")
		return
	}
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.digestReceived(now, from, g.GetState())
	e.carryOut(e.group.Receive(now, from, message))
}

// Revision implements link.Events; there is no operators' text here.
func (e *Edge) Revision() *linkpb.Revision { return nil }

// ServeOffer implements link.OfferHandler; instances send their requests themselves.
func (e *Edge) ServeOffer(model.InstanceID, *linkpb.Offer, link.Conn) {}

const (
	// sweepEvery is how often entries of instances that are gone are looked for.
	sweepEvery = 2 * time.Second
	// goneAfter is how long an instance must have been gone before a peer removes its
	// entry: longer than a restart.
	goneAfter = 10 * time.Second
	// sweepTimeout bounds removing one entry.
	sweepTimeout = time.Second
)

// sweep removes the entries of instances that have been gone for long; one instance
// of the fleet does it. An entry that was written again meanwhile stays.
func (e *Edge) sweep(now model.Instant) {
	for id, version := range e.goneInstances(now) {
		ctx, cancel := context.WithTimeout(e.ctx, sweepTimeout)
		err := e.options.Registry.Unlist(ctx, id, version)
		cancel()
		if err != nil {
			e.log.WithField("subject", id).WithError(err).Warn("entry of an instance that is gone not removed")
			return
		}
		e.log.WithField("subject", id).Info("entry of an instance that is gone removed")
	}
}

// goneInstances returns the listed instances that have been gone for long, with the
// versions of their entries, where it is for this instance to remove them.
func (e *Edge) goneInstances(now model.Instant) map[model.InstanceID]int64 {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	usable := map[model.InstanceID]bool{}
	first := e.Ready()
	for _, record := range e.usableInstances() {
		usable[record.Instance] = true
		first = first && e.options.Self.ID <= record.Instance
	}
	gone := map[model.InstanceID]int64{}
	for id, l := range e.listed {
		if usable[id] || id == e.options.Self.ID {
			delete(e.missing, id)
			continue
		}
		since, known := e.missing[id]
		if !known {
			e.missing[id] = now
		} else if first && now.Sub(since) >= goneAfter {
			gone[id] = l.version
		}
	}
	for id := range e.missing {
		if _, ok := e.listed[id]; !ok {
			delete(e.missing, id)
		}
	}
	return gone
}

func (e *Edge) askToList() {
	select {
	case e.listOwn <- struct{}{}:
	default:
	}
}

// listRetry is the time between two tries to list this instance.
const listRetry = 500 * time.Millisecond

// keepListed writes the own entry at the start and whenever it is missing.
func (e *Edge) keepListed() {
	e.askToList()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.listOwn:
		}
		if e.stopping.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
		err := e.options.Registry.List(ctx, e.options.Self)
		cancel()
		if err != nil {
			e.log.WithError(err).Warn("own entry not written")
			select {
			case <-e.ctx.Done():
				return
			case <-time.After(listRetry):
				e.askToList()
			}
		}
	}
}
