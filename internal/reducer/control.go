package reducer

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/admission"
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// configurationLoaded adopts a revision if it is after the active one.
func (r *Reducer) configurationLoaded(ev *event.ConfigurationLoaded) {
	if r.revision != nil && ev.Revision.Order().Compare(r.revision.Order()) <= 0 {
		return
	}
	if r.revision != nil && ev.Revision.Identity() == r.revision.Identity() {
		r.revision = ev.Revision
		r.group.SetRevision(ev.Revision.Order())
		return
	}
	first := r.revision == nil
	r.recordNewServers(ev)
	r.revision = ev.Revision
	r.text = ev.Text
	r.index = ev.Index
	r.homes = make(map[model.CallerGroupName][]model.ZoneName, len(ev.Text.Callers))
	for _, group := range ev.Text.Callers {
		r.homes[group.Name] = group.Home
	}
	r.group.SetRevision(ev.Revision.Order())
	r.planner.Configure(ev.Text, model.InstantOf(ev.Revision.TextAcceptedAt), ev.Earlier)
	why := fmt.Sprintf("applied by %s: %s", ev.Revision.Author, ev.Revision.Reason)
	r.out.record(ev.At, "", fmt.Sprintf("revision %d", ev.Revision.Number), "adopted", why)
	r.applyGroup(ev.At, r.group.Configure(ev.At, ev.Text, ev.Revision.Stops))
	r.reconfigureOwned(ev.At)
	if first && r.leavingAt == 0 {
		r.applyGroup(ev.At, r.group.SetState(ev.At, membership.Ready))
	}
	r.viewStale = true
	r.publish()
	r.runAdmission(ev.At)
}

// newServerPeriod is the time for which a server counts as new after a configuration
// change added it. A server that this instance takes over after that has served
// other owners and is warm.
const newServerPeriod = 5 * time.Minute

// recordNewServers records which servers a configuration change adds. The servers of
// the first configuration that this instance loads do not count as new.
func (r *Reducer) recordNewServers(ev *event.ConfigurationLoaded) {
	if r.index == nil {
		return
	}
	for _, b := range ev.Text.Backends {
		if _, known := r.index.Backend(b.Name); !known {
			r.addedAt[b.Name] = ev.At
		}
	}
}

func (r *Reducer) warm(now model.Instant, name model.BackendName) bool {
	at, added := r.addedAt[name]
	return !added || now.Sub(at) > newServerPeriod
}

// fleetStartWindow is the maximum time between the starts of two instances for
// them to count as part of the same start of the whole fleet.
const fleetStartWindow = 10 * time.Second

// regionReturning reports whether all instances of this instance's region are new
// in a fleet that has been running without them. The region's traffic is then in
// other regions and returns at the rate of the shift cap. If an older instance of
// the region is running, it has owned the region's servers and their traffic is
// already here.
func (r *Reducer) regionReturning() bool {
	olderElsewhere := false
	for _, p := range r.group.Peers() {
		if p.Health != membership.HealthAlive || !r.startedLongBefore(p.Record.Incarnation) {
			continue
		}
		if r.regionOf(p.Record.Zone) == r.regionOf(r.zone) {
			return false
		}
		olderElsewhere = olderElsewhere || p.Record.State == membership.Ready
	}
	return olderElsewhere
}

func (r *Reducer) startedLongBefore(incarnation uint64) bool {
	return incarnation+uint64(fleetStartWindow) < r.group.Self().Incarnation
}

// applyGroup converts the output of the membership group into effects.
func (r *Reducer) applyGroup(now model.Instant, out membership.Output) {
	// A peer in both lists gets a new link.
	for _, id := range out.Close {
		r.out.add(&event.CloseLink{Peer: id})
	}
	for _, p := range out.Open {
		r.out.add(&event.OpenLink{Peer: p.ID, Addr: p.Addr})
	}
	for _, m := range out.Messages {
		r.out.add(&event.Gossip{To: m.To, Message: m.Message})
	}
	if out.FetchFrom != "" {
		r.out.add(&event.FetchRevision{From: out.FetchFrom, Number: r.revisionNumber() + 1})
	}
	for _, n := range out.Notes {
		r.out.record(now, "", n.Subject, n.Message, n.Reason)
	}
	if len(out.Suspects) > 0 {
		r.suspects.Merge(now, out.Suspects)
	}
	if out.OwnershipChanged {
		r.reconfigureOwned(now)
		r.runAdmission(now)
	}
}

func (r *Reducer) revisionNumber() int64 {
	if r.revision == nil {
		return 0
	}
	return r.revision.Number
}

// reconfigureOwned updates admission and health to the set of owned servers.
func (r *Reducer) reconfigureOwned(now model.Instant) {
	if r.text == nil {
		return
	}
	names := r.group.Owned()
	servers := make([]admission.Server, 0, len(names))
	watched := make([]health.Server, 0, len(names))
	gained := make(map[model.ServiceName]bool)
	owned := make(map[model.BackendName]bool, len(names))
	returning := r.regionReturning()
	for _, name := range names {
		b, ok := r.index.Backend(name)
		if !ok {
			continue
		}
		servers = append(servers, admission.Server{Name: b.Name, Service: b.Service, Slots: b.Slots})
		watched = append(watched, health.Server{
			Name: b.Name, Service: b.Service, Zone: b.Zone, Slots: b.Slots, Warm: r.warm(now, b.Name) && !returning,
		})
		owned[name] = true
		if !r.owned[name] {
			gained[b.Service] = true
			r.out.record(now, "", string(name), "owned", "assigned to "+string(r.self))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.owned)) {
		if !owned[name] {
			r.out.record(now, "", string(name), "released", "assigned to another instance")
		}
	}
	r.owned = owned
	r.ownedNames = names
	settings := r.settings.Health
	settings.ShiftCap = r.text.Limits.ShiftCap
	r.health.SetSettings(settings)
	turns := r.turns()
	r.health.SetTurns(turns)
	r.health.Configure(now, watched, r.revision.Stops, r.regionOf)
	r.admission.Configure(now, r.policy(turns), servers)
	for _, s := range servers {
		r.syncLimit(now, s.Name)
	}
	r.seedSpillRamps(now, gained)
	r.group.SetLoads(now, r.admission.Loads(now))
	r.viewStale = true
}

func (r *Reducer) regionOf(zone model.ZoneName) model.RegionName {
	region, _ := r.index.Region(zone)
	return region
}

func (r *Reducer) policy(turns map[model.ServiceName]config.Turn) admission.Policy {
	return admission.Policy{Floors: r.text.Limits.Floors, ShiftCap: r.text.Limits.ShiftCap, Turns: turns}
}

// turns returns, for each service of which this instance owns servers, when it may
// take a step of a traffic shift into its zone.
func (r *Reducer) turns() map[model.ServiceName]config.Turn {
	turns := make(map[model.ServiceName]config.Turn)
	for _, s := range r.text.Services {
		owners := r.group.Owners(s.Name, r.zone)
		slots := lo.Map(owners, func(o membership.Owner, _ int) int { return o.Slots })
		place := slices.IndexFunc(owners, func(o membership.Owner) bool { return o.Instance == r.self })
		if place >= 0 {
			turns[s.Name] = r.text.Limits.ShiftCap.NewTurn(slots, place)
		}
	}
	return turns
}

// seedSpillRamps initializes the spill ramps of services from the spill levels that
// the zone's owners last published, scaled to the share of the zone's slots that
// this instance owns.
func (r *Reducer) seedSpillRamps(now model.Instant, services map[model.ServiceName]bool) {
	for _, service := range slices.Sorted(maps.Keys(services)) {
		load, _, ok := r.group.ZoneLoad(r.zone, service)
		total := r.index.Slots(service, r.zone)
		if !ok || total == 0 {
			continue
		}
		share := float64(r.ownedSlots(service)) / float64(total)
		r.admission.Seed(now, service, load.SpillLevel*min(share, 1), load.BaselineSince)
	}
}

func (r *Reducer) ownedSlots(service model.ServiceName) int {
	slots := 0
	for _, name := range r.ownedNames {
		if b, ok := r.index.Backend(name); ok && b.Service == service {
			slots += b.Slots
		}
	}
	return slots
}

func (r *Reducer) syncLimit(now model.Instant, name model.BackendName) {
	r.admission.SetLimit(now, name, r.health.Limit(now, name))
}

// syncLimits passes every changed limit to admission. An observation of one server
// may change the limits of other servers of its service.
func (r *Reducer) syncLimits(now model.Instant) {
	r.limits = r.health.Limits(r.limits[:0])
	for _, l := range r.limits {
		r.admission.SetLimit(now, l.Name, l.Limit)
	}
}

func (r *Reducer) serverReported(ev *event.ServerReported) {
	r.health.RecordReport(ev.At, ev)
	refused := errors.Is(ev.Err, syscall.ECONNREFUSED)
	switch {
	case refused:
		r.suspects.ServerFailed(ev.At, ev.Backend)
	case ev.Unreachable:
		r.serverSilent(ev.At, ev.Backend)
	}
	r.resumeParked(ev.At, ev.Backend, refused)
	r.syncLimits(ev.At)
	r.runAdmission(ev.At)
}

func (r *Reducer) platformListed(ev *event.PlatformListed) {
	for _, listed := range ev.List {
		if listed.Backend != "" {
			r.backendListed(ev.At, listed)
		}
	}
	r.applyGroup(ev.At, r.group.SetListed(ev.At, ev.List))
	r.runAdmission(ev.At)
}

func (r *Reducer) backendListed(now model.Instant, listed platform.ListedInstance) {
	if listed.Leaving {
		r.health.MarkDraining(now, listed.Backend, health.SourcePlatform)
	} else {
		r.health.ClearDraining(now, listed.Backend, health.SourcePlatform)
	}
	r.syncLimits(now)
}

// tick does all purely time-based work.
func (r *Reducer) tick(ev *event.Tick) {
	now := ev.At
	r.health.Tick(now)
	r.expireParked(now)
	r.syncLimits(now)
	r.changes = r.health.Changes(r.changes[:0])
	for _, c := range r.changes {
		r.out.record(now, "", string(c.Name), fmt.Sprintf("%s, was %s", c.To, c.From), string(c.Reason))
	}
	r.group.SetLoads(now, r.admission.Loads(now))
	r.group.SetSuspects(r.suspects.TakeChanges(now))
	r.applyGroup(now, r.group.Tick(now))
	r.runAdmission(now)
	r.probe(now)
	r.poll(now)
	r.publish()
	r.stepShutdown(now)
}

func (r *Reducer) probe(now model.Instant) {
	r.probes = r.health.DueProbes(now, r.probes[:0])
	for _, name := range r.probes {
		r.out.add(&event.Probe{Backend: name})
	}
}

// poll reads the platform every PollEvery if this instance has the lowest
// identifier of its zone's ready instances or has no configuration yet, and
// IdlePollFactor times less often otherwise.
func (r *Reducer) poll(now model.Instant) {
	if now.Before(r.nextPoll) {
		return
	}
	every := r.settings.PollEvery
	if r.text != nil && !r.hasLowestIDInZone() {
		every *= time.Duration(r.settings.IdlePollFactor)
	}
	r.nextPoll = now.Add(every)
	r.out.add(&event.PollPlatform{})
}

func (r *Reducer) hasLowestIDInZone() bool {
	for _, p := range r.group.Peers() {
		alive := p.Health == membership.HealthAlive && p.Record.State == membership.Ready
		if alive && p.Record.Zone == r.zone && p.Record.ID < r.self {
			return false
		}
	}
	return true
}

// publish requests a new view for lookups if its content may have changed.
func (r *Reducer) publish() {
	generation := r.group.Generation()
	if generation == r.publishedGeneration && !r.viewStale {
		return
	}
	r.publishedGeneration = generation
	r.viewStale = false
	r.out.add(&event.PublishView{})
}

// shutdownRequested announces that this instance is leaving. It continues to serve
// until the lookup answers that name it have expired.
func (r *Reducer) shutdownRequested(ev *event.ShutdownRequested) {
	if r.leavingAt != 0 {
		return
	}
	r.leavingAt = ev.At
	r.out.record(ev.At, "", string(r.self), "leaving", "shutdown requested")
	r.applyGroup(ev.At, r.group.SetState(ev.At, membership.Leaving))
	r.viewStale = true
	r.publish()
}

// lookupsExpired reports whether every lookup answer that names this stopping instance has
// expired. From then on it refuses requests, so that those in flight come to an end.
func (r *Reducer) lookupsExpired(now model.Instant) bool {
	return r.leavingAt != 0 && now.Sub(r.leavingAt) >= r.settings.LookupTTL
}

// stepShutdown exits once nothing is in flight and every lookup answer that names
// this instance has expired.
func (r *Reducer) stepShutdown(now model.Instant) {
	if r.leavingAt == 0 || r.exiting {
		return
	}
	if !r.lookupsExpired(now) {
		return
	}
	if len(r.calls) > 0 || len(r.offers) > 0 {
		return
	}
	r.exiting = true
	r.applyGroup(now, r.group.SetState(now, membership.Left))
	r.out.record(now, "", string(r.self), "left", "nothing is in flight")
	r.out.add(&event.Exit{})
}
