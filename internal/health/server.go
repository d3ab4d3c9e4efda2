package health

import (
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Server is one backend server that this instance owns.
type Server struct {
	Name    model.BackendName
	Service model.ServiceName
	Zone    model.ZoneName
	Slots   int
	// Warm reports that the server served before this instance owned it, so that
	// it needs no slow start.
	Warm bool
}

// server is what the Tracker knows of a server.
type server struct {
	Server
	group *group

	condition Condition // Draining is kept apart, in drains
	why       Reason
	since     model.Instant
	drains    drainSet

	failures   int           // in a row, those that happened together counted once
	strain     int           // failures in a row
	strainedAt model.Instant // of the first failure in a row
	// lastFailure is when failures last grew.
	lastFailure model.Instant
	refused     int // connections in a row
	window      failureWindow
	held        bool // would be ejected but for the bound

	ejections    int // since the count was last forgotten
	ejectedUntil model.Instant
	byReport     bool // ejected by a report alone

	level int // slots open in SlowStart
	trial bool

	report      report
	saidLeaving model.Instant // when it last said that it is leaving
	lastSuccess model.Instant
	nextProbe   model.Instant
	probes      uint64

	shown     Condition // as last recorded as Change
	published int       // limit as last drained
}

// report is the last word that a server gave on itself.
type report struct {
	at    model.Instant
	slots int
	cold  bool
}

// unreachable reports whether the server provably refuses connections.
func (s *server) unreachable(limit int) bool { return s.refused >= limit }

// out reports whether the server is ejected or not yet back from it.
func (s *server) out() bool { return s.condition == Ejected || s.condition == Probing }

// shownCondition is the condition with drains taken into account.
func (s *server) shownCondition() Condition {
	if s.drains != 0 {
		return Draining
	}
	return s.condition
}

func (s *server) shownReason() Reason {
	if s.drains != 0 {
		return s.drains.reason()
	}
	return s.why
}

// limit is the number of slots that may be in use.
func (s *server) limit() int {
	if s.drains != 0 {
		return 0
	}
	switch s.condition {
	case Healthy:
		return s.narrowed(s.openSlots())
	case SlowStart:
		return s.narrowed(min(s.level, s.openSlots()))
	case Probing:
		if s.trial {
			return 1
		}
	}
	return 0
}

// openSlots is what failures in a row, from the second on, leave of the slots: at
// least one.
func (s *server) openSlots() int {
	if s.held {
		return min(1, s.Slots)
	}
	return min(s.Slots, max(s.Slots+1-s.strain, 1))
}

func (s *server) clearFailures() {
	s.failures = 0
	s.strain = 0
}

// narrowed applies the number of slots that the server itself reports, which may
// mislead: at least half of its slots stay.
func (s *server) narrowed(slots int) int {
	if s.report.slots == 0 {
		return slots
	}
	return min(slots, max(s.report.slots, (s.Slots+1)/2))
}

// group is the servers of one service in one zone.
type group struct {
	service  model.ServiceName
	zone     model.ZoneName
	servers  []*server // sorted by name
	slots    int
	nextStep model.Instant // earliest next step of a slow start
}

// staying counts the servers that are not draining.
func (g *group) staying() int { return g.count(func(s *server) bool { return s.drains == 0 }) }

func (g *group) count(matches func(*server) bool) int {
	n := 0
	for _, s := range g.servers {
		if matches(s) {
			n++
		}
	}
	return n
}
