package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// jitterShare is the largest fraction by which jitter lengthens or shortens an
	// ejection or a probe interval.
	jitterShare = 0.1
	// maxDoublings prevents the doubled ejection duration from overflowing.
	maxDoublings = 30
)

// evaluateEjections ejects the servers of a group whose outcomes call for it, up to
// MaxEjectShare. Failing servers beyond that bound stay in service and take one
// request at a time.
func (t *Tracker) evaluateEjections(now model.Instant, g *group) {
	for _, s := range g.servers {
		if s.outOfService() || s.drains != 0 {
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
		s.heldInService = true
		t.dirty = true
	}
}

// mayEject reports whether one more server of the group may be ejected. The
// ejected share must stay within its bound and at least one server must stay in
// service, unless all of them provably refuse connections.
func (t *Tracker) mayEject(g *group) bool {
	return t.withinEjectShare(g) || t.allRefuse(g)
}

// withinEjectShare reports whether MaxEjectShare allows one more ejection.
func (t *Tracker) withinEjectShare(g *group) bool {
	out := g.count(func(s *server) bool { return s.drains == 0 && s.outOfService() })
	return out < boundedShare(t.settings.MaxEjectShare, g.notDraining())
}

// allRefuse reports whether all servers that are not draining provably refuse
// connections.
func (t *Tracker) allRefuse(g *group) bool {
	for _, s := range g.servers {
		if s.drains == 0 && !s.unreachable(t.settings.RefusedConnections) {
			return false
		}
	}
	return true
}

// boundedShare returns how many of n servers the share allows: at least one if n
// is above one, and never all of them.
func boundedShare(share float64, n int) int {
	if n < 2 {
		return 0
	}
	return min(max(1, int(share*float64(n))), n-1)
}

func (t *Tracker) eject(now model.Instant, s *server, reason Reason) {
	s.ejections++
	s.ejectedUntil = now.Add(t.ejectionDuration(s))
	s.ejectedByReport = reason == ReasonReported
	s.heldInService = false
	s.trial = false
	s.slowStartLimit = 0
	s.clearFailures()
	s.window = failureWindow{}
	t.setCondition(now, s, Ejected, reason)
}

// ejectionDuration returns the duration of the server's current ejection, with
// jitter. It doubles with every further ejection, up to MaxEjection.
func (t *Tracker) ejectionDuration(s *server) time.Duration {
	doublings := min(s.ejections-1, maxDoublings)
	length := t.settings.Ejection
	for range doublings {
		length = min(2*length, t.settings.MaxEjection)
	}
	return jittered(length, s.Name, uint64(s.ejections))
}
