package health

import (
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Server describes one backend server that this instance owns.
type Server struct {
	Name    model.BackendName
	Service model.ServiceName
	Zone    model.ZoneName
	Slots   int
	// Warm reports that the server was already serving before this instance owned
	// it, so that it needs no slow start.
	Warm bool
}

// server is the Tracker's state of one backend server.
type server struct {
	Server
	group *group

	condition Condition // never Draining, which follows from drains
	reason    Reason
	since     model.Instant // start of condition
	drains    drainSet

	distinctFailures int           // in a row; simultaneous failures count once
	failureStreak    int           // failures in a row, each counted
	streakStart      model.Instant // time of the first failure in failureStreak
	// lastFailure is when distinctFailures last increased.
	lastFailure         model.Instant
	consecutiveRefusals int // refused connections in a row
	window              failureWindow
	heldInService       bool // kept from ejection by MaxEjectShare

	ejections       int // since ForgetAfter last reset the count
	ejectedUntil    model.Instant
	ejectedByReport bool // by a report alone

	slowStartLimit int  // open slots in SlowStart
	trial          bool // one trial request is allowed in Probing

	report          report
	lastDrainNotice model.Instant // when the server last announced its drain
	lastSuccess     model.Instant
	nextProbe       model.Instant
	probes          uint64

	lastRecorded   Condition // condition in the last recorded Change
	publishedLimit int       // limit last returned by Limits
}

// report holds the last report of a server on itself.
type report struct {
	at    model.Instant
	slots int
	cold  bool
}

// unreachable reports whether the server provably refuses connections.
func (s *server) unreachable(limit int) bool { return s.consecutiveRefusals >= limit }

// outOfService reports whether the server is ejected or is being probed after an
// ejection.
func (s *server) outOfService() bool { return s.condition == Ejected || s.condition == Probing }

// effectiveCondition returns Draining if a drain applies, else the condition.
func (s *server) effectiveCondition() Condition {
	if s.drains != 0 {
		return Draining
	}
	return s.condition
}

func (s *server) effectiveReason() Reason {
	if s.drains != 0 {
		return s.drains.reason()
	}
	return s.reason
}

// limit returns the number of slots that may be in use.
func (s *server) limit() int {
	if s.drains != 0 {
		return 0
	}
	switch s.condition {
	case Healthy:
		return s.limitByReport(s.slotsAfterFailures())
	case SlowStart:
		return s.limitByReport(min(s.slowStartLimit, s.slotsAfterFailures()))
	case Probing:
		if s.trial {
			return 1
		}
	}
	return 0
}

// slotsAfterFailures returns the slots that remain after failures in a row. Each
// failure from the second on takes one slot; at least one remains.
func (s *server) slotsAfterFailures() int {
	if s.heldInService {
		return min(1, s.Slots)
	}
	return min(s.Slots, max(s.Slots+1-s.failureStreak, 1))
}

func (s *server) clearFailures() {
	s.distinctFailures = 0
	s.failureStreak = 0
}

// limitByReport lowers slots to the number that the server itself reports. Since
// the report may be misleading, at least half of the server's slots remain.
func (s *server) limitByReport(slots int) int {
	if s.report.slots == 0 {
		return slots
	}
	return min(slots, max(s.report.slots, (s.Slots+1)/2))
}

// group holds the servers of one service in one zone.
type group struct {
	service  model.ServiceName
	zone     model.ZoneName
	servers  []*server // sorted by name
	slots    int
	nextStep model.Instant // earliest time of the next slow-start step
}

// notDraining returns the number of servers that are not draining.
func (g *group) notDraining() int { return g.count(func(s *server) bool { return s.drains == 0 }) }

// count returns the number of servers that match.
func (g *group) count(matches func(*server) bool) int {
	n := 0
	for _, s := range g.servers {
		if matches(s) {
			n++
		}
	}
	return n
}
