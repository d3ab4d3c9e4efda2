package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// usableInstances returns the instances that accept callers' requests, including this
// one if it can serve. The caller must hold fleetMu.
func (e *Edge) usableInstances() []membership.Entry {
	list := e.group.AliveEntries()
	if e.canServe() {
		self := e.options.Self
		list = append(list, membership.Entry{Instance: self.ID, Zone: self.Zone, CallerAddr: self.CallerAddr})
	}
	return list
}

func (e *Edge) setState(state membership.State) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.applyOutput(e.group.SetState(e.clock.now(), state))
}

func (e *Edge) tickFleet(now model.Instant) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.group.SetSuspects(e.changedSuspects(now))
	e.group.SetTerms(e.terms(now))
	e.group.SetLimitShares(e.limitShares(now))
	e.applyOutput(e.group.Tick(now))
	e.publishLookups(true)
}

func (e *Edge) changedSuspects(now model.Instant) []membership.Suspect {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.ChangedSuspects(now)
}

func (e *Edge) terms(now model.Instant) []membership.ServerTerms {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Terms(now)
}

func (e *Edge) limitShares(now model.Instant) []membership.LimitShare {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.LimitShares(now)
}

// relistTime is how long an instance counts as listed whose entry was lost in a restore of
// the store. It covers the time until every live instance has learned that its own entry is
// missing and has written it again.
const relistTime = instancesMaxAge + instancesInterval

// instanceUnlisted records that the store no longer lists an instance, as of a version. If
// the version is from a later epoch than the entry, the entry may only have been lost. The
// caller must hold fleetMu.
func (e *Edge) instanceUnlisted(now model.Instant, id model.InstanceID, version int64) {
	l, ok := e.listed[id]
	if !ok || follow.Epoch(version) == follow.Epoch(l.version) {
		delete(e.listed, id)
		return
	}
	l.lostAt = now
	e.listed[id] = l
}

// removeLostInstances removes the instances that have not written their lost entries again.
func (e *Edge) removeLostInstances(now model.Instant) {
	e.fleetMu.Lock()
	removed := false
	for id, l := range e.listed {
		if l.lostAt != 0 && now.Sub(l.lostAt) >= relistTime {
			delete(e.listed, id)
			removed = true
		}
	}
	e.fleetMu.Unlock()
	if removed {
		e.instancesChanged(now)
	}
}

// instancesChanged passes the instances that count as listed to the membership group. It
// requests registration if this process has no entry.
func (e *Edge) instancesChanged(now model.Instant) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	list := make([]platform.ListedInstance, 0, len(e.listed))
	for _, l := range e.listed {
		list = append(list, platform.ListedInstance{
			ID:         l.entry.ID,
			Zone:       l.entry.Zone,
			LinkAddr:   l.entry.LinkAddr,
			CallerAddr: l.entry.CallerAddr,
		})
	}
	slices.SortFunc(list, func(a, b platform.ListedInstance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if !e.isListed() {
		e.requestRegistration()
	}
	e.applyOutput(e.group.SetListed(now, list))
	inherited, founding := !e.listRead && e.inherited(now), !e.listRead && e.founding()
	e.listRead = e.listRead || inherited || e.isListed()
	e.post(&dispatch.InstancesCounted{
		At: now, Instances: max(len(list), 1), Members: e.members(), RegisteredAt: e.listedAt(),
		Inherited: inherited, Founding: founding, RegionShare: e.regionShare(list),
	})
}

// registrationMargin is the longest time from the moment that an entry names as the first listing
// until it can be read in the store.
const registrationMargin = 2 * time.Second

// listedAt returns when this instance was first listed without a gap since, 0 if it is not yet. The
// caller must hold fleetMu.
func (e *Edge) listedAt() model.Instant {
	since := model.Instant(e.listed[e.options.Self.ID].entry.ListedNanos)
	if since == 0 || !e.isListed() {
		return e.registeredAt
	}
	at := since.Add(registrationMargin)
	if e.registeredAt >= since { // otherwise of an entry that was lost
		at = min(at, e.registeredAt)
	}
	return at
}

// members returns the instances that count as listed and share bounds with this one. The
// caller must hold fleetMu.
func (e *Edge) members() []pacing.Member {
	list := make([]pacing.Member, 0, len(e.listed))
	for id, l := range e.listed {
		list = append(list, pacing.Member{ID: id, Region: e.options.Regions[l.entry.Zone], Weight: shareWeight(&l.entry)})
	}
	slices.SortFunc(list, func(a, b pacing.Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// instancesKnownAt returns when the list of instances was last known to be the latest.
func (e *Edge) instancesKnownAt() model.Instant {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	return e.replica.FreshAt(e.options.Tables.Instances)
}

// isListed reports whether the store lists this process. The caller must hold fleetMu.
func (e *Edge) isListed() bool {
	l, ok := e.listed[e.options.Self.ID]
	return ok && l.lostAt == 0 && l.entry.StartedNanos == e.options.Self.StartedNanos
}

// registered records that this instance's entry has been written.
func (e *Edge) registered(now model.Instant) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.registeredAt = now
}

// checkRegistration requests registration if this process has no entry in a copy of the store
// that is later than the last one written. A restore of the store may have lost the entry
// before it was read, so that no row changes.
func (e *Edge) checkRegistration() {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	if e.registeredAt != 0 && e.replica.FreshAt(e.options.Tables.Instances) > e.registeredAt && !e.isListed() {
		e.requestRegistration()
	}
}

// regionShare estimates the share of all requests that this instance's region receives: its
// fraction of the availability zones with instances.
func (e *Edge) regionShare(list []platform.ListedInstance) float64 {
	zones := map[model.ZoneName]bool{e.options.Self.Zone: true}
	for _, l := range list {
		zones[l.Zone] = true
	}
	near := lo.CountBy(lo.Keys(zones), func(zone model.ZoneName) bool { return e.options.Regions[zone] == e.options.Region })
	return float64(near) / float64(len(zones))
}

// applyOutput carries out what the membership group requests and publishes the resulting
// lookup answers. It must not block.
func (e *Edge) applyOutput(out membership.Output) {
	for _, id := range out.Close {
		e.links.Close(id)
	}
	for _, p := range out.Open {
		if e.listed[p.ID].entry.Zone == e.options.Self.Zone {
			e.startup.linkRequested(p.ID)
		}
		e.links.Open(e.ctx, p.ID, p.Addr)
	}
	now := e.clock.now()
	for _, m := range out.Messages {
		gossip := membership.ToProto(now, m.Message)
		gossip.State = e.digestFor(now, m.To)
		e.links.Gossip(m.To, gossip)
	}
	for _, n := range out.Notes {
		e.log.WithFields(logrus.Fields{"subject": n.Subject, "subject_kind": "fleet", "why": n.Reason}).Info(n.Message)
	}
	if len(out.Suspects) > 0 {
		e.post(&dispatch.SuspectsReceived{At: now, Suspects: out.Suspects})
	}
	if len(out.Terms) > 0 {
		e.post(&dispatch.TermsReceived{At: now, Terms: out.Terms})
	}
	if len(out.LimitShares) > 0 {
		e.post(&dispatch.LimitSharesReceived{At: now, Shares: out.LimitShares})
	}
	e.publishLookups(false)
}

// LinkUp implements link.Events.
func (e *Edge) LinkUp(peer model.InstanceID) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	now := e.clock.now()
	e.applyOutput(e.group.LinkUp(now, peer))
	if e.waitsForCopy(now) && e.startup.requestCopy(peer) {
		e.background(contain.Link, func() { e.requestCopy(peer) })
	}
}

// LinkDown implements link.Events.
func (e *Edge) LinkDown(peer model.InstanceID) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.echoes.Forget(peer)
	e.startup.linkDown(peer)
	e.applyOutput(e.group.LinkDown(e.clock.now(), peer))
}

// GossipReceived implements link.Events.
func (e *Edge) GossipReceived(from model.InstanceID, g *linkpb.Gossip) {
	now := e.clock.now()
	message, err := membership.FromProto(now, g)
	if err != nil {
		e.log.WithField("peer", from).WithError(err).Warn("rejected invalid membership message")
		return
	}
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	e.digestReceived(now, from, g.GetState())
	e.applyOutput(e.group.Receive(now, from, message))
}

// Revision implements link.Events. It returns nil because an edge instance has no
// operators' configuration text.
func (e *Edge) Revision() *linkpb.Revision { return nil }

// ServeOffer implements link.OfferHandler. It does nothing because edge instances send
// their requests to backend servers themselves.
func (e *Edge) ServeOffer(model.InstanceID, *linkpb.Offer, link.Conn) {}

const (
	// sweepInterval is the time between two searches for entries of instances that are gone.
	sweepInterval = 2 * time.Second
	// goneAfter is how long a listed instance must have been unusable before a peer
	// removes its entry. It is longer than a restart takes.
	goneAfter = 10 * time.Second
	// sweepTimeout is the timeout for removing one entry.
	sweepTimeout = time.Second
	// maxSweepGap is the time between two searches from which on this instance counts as
	// paused meanwhile. What it has not seen is no evidence that others are gone.
	maxSweepGap = 2 * sweepInterval
)

// sweep removes the entries of instances that have been gone for at least goneAfter. Only
// one instance of the fleet removes them. An entry that was rewritten in the meantime has
// another version and stays.
func (e *Edge) sweep(now model.Instant) {
	e.removeLostInstances(now)
	e.checkRegistration()
	for id, version := range e.goneInstances(now) {
		ctx, cancel := context.WithTimeout(e.ctx, sweepTimeout)
		err := e.options.Registry.Unregister(ctx, id, version)
		cancel()
		if err != nil {
			e.log.WithField("subject", id).WithError(err).Warn("failed to remove the entry of an instance that is gone")
			return
		}
		e.log.WithField("subject", id).Info("entry of an instance that is gone removed")
	}
}

// goneInstances returns the listed instances that have been gone for at least goneAfter,
// with the versions of their entries. Only the usable instance with the lowest identifier
// removes entries; for any other instance the result is empty.
func (e *Edge) goneInstances(now model.Instant) map[model.InstanceID]int64 {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	if now.Sub(e.sweptAt) > maxSweepGap {
		clear(e.missingSince)
	}
	e.sweptAt = now
	usable := map[model.InstanceID]bool{}
	hasLowestID := e.Ready()
	for _, record := range e.usableInstances() {
		usable[record.Instance] = true
		hasLowestID = hasLowestID && e.options.Self.ID <= record.Instance
	}
	gone := map[model.InstanceID]int64{}
	for id, l := range e.listed {
		if usable[id] || e.group.IsStarting(id) || id == e.options.Self.ID || l.lostAt != 0 {
			delete(e.missingSince, id)
			continue
		}
		since, known := e.missingSince[id]
		if !known {
			e.missingSince[id] = now
		} else if hasLowestID && now.Sub(since) >= goneAfter {
			gone[id] = l.version
		}
	}
	for id := range e.missingSince {
		if _, ok := e.listed[id]; !ok {
			delete(e.missingSince, id)
		}
	}
	return gone
}

func (e *Edge) requestRegistration() {
	select {
	case e.registerRequests <- struct{}{}:
	default:
	}
}

// listedSince returns since when this instance has been listed. The entry of an earlier process,
// which this one replaces, says so; if it cannot be read, the instance counts as just listed. It is
// 0, and costs no call to the store, on a platform without quotas, where nothing depends on it.
func (e *Edge) listedSince() int64 {
	if e.bounds.Load().QuotaWindow == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(e.ctx, time.Second)
	defer cancel()
	earlier, found, err := e.options.Registry.Registered(ctx, e.options.Self.ID)
	switch {
	case err != nil:
		e.log.WithError(err).Warn("failed to read the registry entry of an earlier process")
	case found:
		return min(cmp.Or(earlier.ListedNanos, earlier.StartedNanos), e.options.Self.StartedNanos)
	}
	return e.options.Self.StartedNanos
}

// registerRetryDelay is the delay before another attempt to register this instance.
const registerRetryDelay = 500 * time.Millisecond

// keepRegistered writes this instance's entry at startup and whenever it is missing.
func (e *Edge) keepRegistered() {
	self := e.options.Self
	self.ListedNanos = e.listedSince()
	e.requestRegistration()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.registerRequests:
		}
		if e.stopping.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
		err := e.options.Registry.Register(ctx, self)
		cancel()
		if err != nil {
			e.log.WithError(err).Warn("failed to write registry entry")
			select {
			case <-e.ctx.Done():
				return
			case <-time.After(registerRetryDelay):
				e.requestRegistration()
			}
			continue
		}
		now := e.clock.now()
		e.registered(now)
		if self.ListedNanos != 0 {
			self.ListedNanos = int64(now) // if the entry is lost, the instance was not listed for a time
		}
	}
}
