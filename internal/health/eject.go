package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// jitterShare is the most by which jitter lengthens or shortens an ejection or
	// a probe interval.
	jitterShare = 0.1
	// maxDoublings keeps the doubling of ejections from overflowing.
	maxDoublings = 30
)

// reconsider ejects the servers of a group whose outcomes call for it, as far as
// the bound allows. Those that it holds in service take one request at a time.
func (t *Tracker) reconsider(now model.Instant, g *group) {
	for _, s := range g.servers {
		if s.out() || s.drains != 0 {
			continue
		}
		reason := t.ejectReason(s)
		if reason == ReasonNone {
			continue
		}
		if t.mayEject(g) {
			t.eject(now, s, reason)
			continue
		}
		s.held = true
		t.dirty = true
	}
}

// mayEject reports whether one more server of the group may be ejected: the
// share stays within its bound, and one server stays, unless all of them provably
// refuse connections.
func (t *Tracker) mayEject(g *group) bool {
	return t.withinEjectShare(g) || t.allRefuse(g)
}

// withinEjectShare reports whether the bound leaves room for one more ejection.
func (t *Tracker) withinEjectShare(g *group) bool {
	out := g.count(func(s *server) bool { return s.drains == 0 && s.out() })
	return out < boundedShare(t.settings.MaxEjectShare, g.staying())
}

// allRefuse reports whether all servers that stay provably refuse connections.
func (t *Tracker) allRefuse(g *group) bool {
	for _, s := range g.servers {
		if s.drains == 0 && !s.unreachable(t.settings.RefusedConnections) {
			return false
		}
	}
	return true
}

// boundedShare is the number of n servers that a share allows: at least one
// where there is more than one, and never all.
func boundedShare(share float64, n int) int {
	if n < 2 {
		return 0
	}
	return min(max(1, int(share*float64(n))), n-1)
}

func (t *Tracker) eject(now model.Instant, s *server, why Reason) {
	s.ejections++
	s.ejectedUntil = now.Add(t.ejection(s))
	s.byReport = why == ReasonReported
	s.held = false
	s.trial = false
	s.level = 0
	s.clearFailures()
	s.window = failureWindow{}
	t.setCondition(now, s, Ejected, why)
}

// ejection is the length of the server's ejection, with jitter.
func (t *Tracker) ejection(s *server) time.Duration {
	doublings := min(s.ejections-1, maxDoublings)
	length := t.settings.Ejection
	for range doublings {
		length = min(2*length, t.settings.MaxEjection)
	}
	return jittered(length, s.Name, uint64(s.ejections))
}
