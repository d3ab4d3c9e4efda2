// Package health evaluates backend servers by the outcomes of the requests that
// this instance sent them. Reports of the servers about themselves play only a
// bounded part in the evaluation.
//
// Tracker and SuspectTracker are deterministic: they read no clock, start no goroutines
// and do no I/O, and the result of a call depends only on its arguments and on the
// calls before it. They are not safe for concurrent use.
package health

import (
	"cmp"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// RegionOf returns the region of a zone, or an empty name if the configuration text
// has no such zone.
type RegionOf func(model.ZoneName) model.RegionName

// Tracker tracks the health of the backend servers that this instance owns.
type Tracker struct {
	settings   Settings
	configured bool
	servers    []*server // sorted by name
	byName     map[model.BackendName]*server
	groups     []*group // sorted by service and zone
	turns      map[model.ServiceName]config.Turn
	changes    []Change
	dirty      bool // some limit may have changed
}

// New returns a Tracker without servers.
func New(s Settings) *Tracker {
	return &Tracker{settings: s.withDefaults(), byName: make(map[model.BackendName]*server)}
}

// SetSettings replaces the settings.
func (t *Tracker) SetSettings(s Settings) { t.settings = s.withDefaults() }

// SetTurns replaces this owner's turns among the owners of a service in its zone.
// Slow starts open slots only during a turn.
func (t *Tracker) SetTurns(turns map[model.ServiceName]config.Turn) { t.turns = turns }

// Configure replaces the set of owned servers and the planned stops. Servers of the
// first call and warm servers are Healthy at once; other new servers go through a
// slow start. A server that moves to another service or zone counts as new.
func (t *Tracker) Configure(now model.Instant, servers []Server, stops []config.Stop, regionOf RegionOf) {
	byName := make(map[model.BackendName]*server, len(servers))
	var added []*server
	for _, spec := range servers {
		s := t.byName[spec.Name]
		if s == nil || s.Service != spec.Service || s.Zone != spec.Zone {
			s = t.newServer(now, spec)
			added = append(added, s)
		}
		s.resize(spec.Slots)
		byName[spec.Name] = s
	}
	t.byName = byName
	t.regroup()
	first := !t.configured
	t.configured = true
	slices.SortFunc(added, compareServers)
	for _, s := range added {
		if !first && !s.Warm {
			t.beginSlowStart(now, s, ReasonNew, 0)
		}
	}
	t.applyStops(now, stops, regionOf)
	t.dirty = true
}

func (t *Tracker) newServer(now model.Instant, spec Server) *server {
	s := &server{Server: spec, since: now, publishedLimit: -1}
	s.nextProbe = now.Add(probePhase(spec.Name, t.settings.ProbeInterval))
	return s
}

// resize sets the number of slots and lowers slowStartLimit to it if necessary.
func (s *server) resize(slots int) {
	s.Slots = slots
	s.slowStartLimit = min(s.slowStartLimit, slots)
}

// regroup sorts the servers and rebuilds the groups. A group that existed before
// keeps the time of its next slow-start step.
func (t *Tracker) regroup() {
	previous := t.groups
	t.servers = t.servers[:0]
	t.groups = nil
	for _, s := range t.byName {
		t.servers = append(t.servers, s)
	}
	slices.SortFunc(t.servers, compareServers)
	for _, s := range t.servers {
		g := t.findOrAddGroup(s)
		g.servers = append(g.servers, s)
		g.slots += s.Slots
		s.group = g
	}
	for _, old := range previous {
		if i, ok := slices.BinarySearchFunc(t.groups, old, compareGroups); ok {
			t.groups[i].nextStep = old.nextStep
		}
	}
}

// findOrAddGroup returns the group of the server's service and zone, adding it if
// there is none.
func (t *Tracker) findOrAddGroup(s *server) *group {
	key := &group{service: s.Service, zone: s.Zone}
	i, ok := slices.BinarySearchFunc(t.groups, key, compareGroups)
	if !ok {
		t.groups = slices.Insert(t.groups, i, key)
	}
	return t.groups[i]
}

func compareServers(a, b *server) int { return cmp.Compare(a.Name, b.Name) }

func compareGroups(a, b *group) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
}

// Tick applies changes that depend only on time, such as the end of ejections and
// further steps of slow starts.
func (t *Tracker) Tick(now model.Instant) {
	for _, s := range t.servers {
		t.tickServer(now, s)
	}
	for _, g := range t.groups {
		t.evaluateEjections(now, g)
		t.stepSlowStarts(now, g)
	}
	t.dirty = true
}

func (t *Tracker) tickServer(now model.Instant, s *server) {
	if s.report.slots > 0 && now.Sub(s.report.at) > t.settings.ReportLifetime {
		s.report.slots = 0
	}
	switch {
	case s.condition == Ejected && now >= s.ejectedUntil:
		t.setCondition(now, s, Probing, ReasonElapsed)
		s.trial = false
		s.nextProbe = now
	case s.condition == Probing && now.Sub(s.since) >= t.settings.TrialAfter:
		s.trial = true
	case s.condition == Healthy && now.Sub(s.since) >= t.settings.ForgetAfter:
		s.ejections = 0
	}
}

// Limit returns how many slots of the server may be in use, or 0 for an unknown
// server.
func (t *Tracker) Limit(_ model.Instant, name model.BackendName) int {
	s := t.byName[name]
	if s == nil {
		return 0
	}
	return s.limit()
}

// State returns the state of the server, or false for an unknown server.
func (t *Tracker) State(_ model.Instant, name model.BackendName) (State, bool) {
	s := t.byName[name]
	if s == nil {
		return State{}, false
	}
	return State{Condition: s.effectiveCondition(), Reason: s.effectiveReason(), Since: s.since, HeldInService: s.heldInService}, true
}

// Changes appends to out the changes of condition since the last call.
func (t *Tracker) Changes(out []Change) []Change {
	out = append(out, t.changes...)
	t.changes = t.changes[:0]
	return out
}

// Limits appends to out the limits that changed since the last call, sorted by
// server name. The limit of a new server is always included.
func (t *Tracker) Limits(out []LimitChange) []LimitChange {
	if !t.dirty {
		return out
	}
	t.dirty = false
	for _, s := range t.servers {
		if limit := s.limit(); limit != s.publishedLimit {
			s.publishedLimit = limit
			out = append(out, LimitChange{Name: s.Name, Limit: limit})
		}
	}
	return out
}

func (t *Tracker) setCondition(now model.Instant, s *server, to Condition, reason Reason) {
	s.condition = to
	s.reason = reason
	s.since = now
	t.recordChange(now, s, reason)
}

// recordChange records a Change if the server's effective condition differs from
// the last recorded one.
func (t *Tracker) recordChange(now model.Instant, s *server, reason Reason) {
	t.dirty = true
	to := s.effectiveCondition()
	if to == s.lastRecorded {
		return
	}
	t.changes = append(t.changes, Change{At: now, Name: s.Name, From: s.lastRecorded, To: to, Reason: reason})
	s.lastRecorded = to
}
