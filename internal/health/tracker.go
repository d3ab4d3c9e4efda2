// Package health judges backend servers by the outcomes of the requests that
// this instance sent them. Reports of the servers only narrow that judgement.
//
// Tracker and Suspects are pure. They read no clock, start no goroutine and do
// no I/O; the result of every call depends on the calls before it alone. They
// are not safe for concurrent use.
package health

import (
	"cmp"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// RegionOf returns the region of a zone, empty where the text has no such zone.
type RegionOf func(model.ZoneName) model.RegionName

// Tracker keeps the health of the servers that this instance owns.
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

// SetTurns replaces this owner's turns among the owners of a service in its zone;
// slow starts step in their turn only.
func (t *Tracker) SetTurns(turns map[model.ServiceName]config.Turn) { t.turns = turns }

// Configure replaces the set of owned servers and the planned stops. The servers
// of the first call, and warm ones, are healthy at once; others start slowly. A
// server that moves to another service or zone counts as new.
func (t *Tracker) Configure(now model.Instant, servers []Server, stops []config.Stop, regionOf RegionOf) {
	kept := make(map[model.BackendName]*server, len(servers))
	var added []*server
	for _, described := range servers {
		known := t.byName[described.Name]
		if known == nil || known.Service != described.Service || known.Zone != described.Zone {
			known = t.newServer(now, described)
			added = append(added, known)
		}
		known.resize(described.Slots)
		kept[described.Name] = known
	}
	t.byName = kept
	t.regroup()
	first := !t.configured
	t.configured = true
	slices.SortFunc(added, compareServers)
	for _, s := range added {
		if !first && !s.Warm {
			t.startSlowly(now, s, ReasonNew, 0)
		}
	}
	t.applyStops(now, stops, regionOf)
	t.dirty = true
}

func (t *Tracker) newServer(now model.Instant, described Server) *server {
	s := &server{Server: described, since: now, published: -1}
	s.nextProbe = now.Add(phase(described.Name, t.settings.ProbeInterval))
	return s
}

func (s *server) resize(slots int) {
	s.Slots = slots
	s.level = min(s.level, slots)
}

// regroup sorts the servers and rebuilds the groups; a group keeps its time of
// the next step.
func (t *Tracker) regroup() {
	before := t.groups
	t.servers = t.servers[:0]
	t.groups = nil
	for _, s := range t.byName {
		t.servers = append(t.servers, s)
	}
	slices.SortFunc(t.servers, compareServers)
	for _, s := range t.servers {
		g := t.openGroup(s)
		g.servers = append(g.servers, s)
		g.slots += s.Slots
		s.group = g
	}
	for _, old := range before {
		if i, ok := slices.BinarySearchFunc(t.groups, old, compareGroups); ok {
			t.groups[i].nextStep = old.nextStep
		}
	}
}

func (t *Tracker) openGroup(s *server) *group {
	wanted := &group{service: s.Service, zone: s.Zone}
	i, ok := slices.BinarySearchFunc(t.groups, wanted, compareGroups)
	if !ok {
		t.groups = slices.Insert(t.groups, i, wanted)
	}
	return t.groups[i]
}

func compareServers(a, b *server) int { return cmp.Compare(a.Name, b.Name) }

func compareGroups(a, b *group) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
}

// Tick does what depends on time alone: ejections run out, slow starts go on.
func (t *Tracker) Tick(now model.Instant) {
	for _, s := range t.servers {
		t.tickServer(now, s)
	}
	for _, g := range t.groups {
		t.reconsider(now, g)
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

// Limit returns how many slots of the server may be in use; 0 for an unknown
// server.
func (t *Tracker) Limit(_ model.Instant, name model.BackendName) int {
	s := t.byName[name]
	if s == nil {
		return 0
	}
	return s.limit()
}

// State returns the condition of the server; false for an unknown one.
func (t *Tracker) State(_ model.Instant, name model.BackendName) (State, bool) {
	s := t.byName[name]
	if s == nil {
		return State{}, false
	}
	return State{Condition: s.shownCondition(), Why: s.shownReason(), Since: s.since, HeldInService: s.held}, true
}

// Changes appends the changes of condition since the last call to out.
func (t *Tracker) Changes(out []Change) []Change {
	out = append(out, t.changes...)
	t.changes = t.changes[:0]
	return out
}

// Limits appends the limits that changed since the last call to out, by server
// name. A new server is always among them.
func (t *Tracker) Limits(out []LimitChange) []LimitChange {
	if !t.dirty {
		return out
	}
	t.dirty = false
	for _, s := range t.servers {
		if limit := s.limit(); limit != s.published {
			s.published = limit
			out = append(out, LimitChange{Name: s.Name, Limit: limit})
		}
	}
	return out
}

func (t *Tracker) setCondition(now model.Instant, s *server, to Condition, why Reason) {
	s.condition = to
	s.why = why
	s.since = now
	t.note(now, s, why)
}

// note records the change if what the server shows is another condition.
func (t *Tracker) note(now model.Instant, s *server, why Reason) {
	t.dirty = true
	to := s.shownCondition()
	if to == s.shown {
		return
	}
	t.changes = append(t.changes, Change{At: now, Name: s.Name, From: s.shown, To: to, Why: why})
	s.shown = to
}
