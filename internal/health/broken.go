package health

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// brokenConnection is a connection that broke before any response. It is kept until
// its server is known to have failed or the correlation window has passed.
type brokenConnection struct {
	fingerprint uint64
	backend     model.BackendName
	started     model.Instant // when the attempt began
	at          model.Instant // when it broke
}

// ConnectionBroken records that the connection of a request's attempt, begun at
// started, broke before any response. Two broken connections to one server within
// the window count as a failure of the server; the result is then that of ServerFailed.
func (s *SuspectTracker) ConnectionBroken(now model.Instant, fingerprint uint64, backend model.BackendName, started model.Instant) []uint64 {
	s.dropExpiredBroken(now)
	others := slices.ContainsFunc(s.broken, func(b brokenConnection) bool { return b.backend == backend })
	if len(s.broken) >= s.settings.MaxBroken {
		s.broken = slices.Delete(s.broken, 0, 1)
	}
	s.broken = append(s.broken, brokenConnection{fingerprint: fingerprint, backend: backend, started: started, at: now})
	if others {
		return s.ServerFailed(now, backend)
	}
	return nil
}

// ServerFailed records that a server refused a connection or that another of its
// connections broke. Every request whose connection to the server broke within the
// window gets a strike; their fingerprints are returned.
//
// An attempt gets no strike if it began before the connection behind the request's
// last strike broke: when the network fails, the connections of a request that many
// callers send break at several servers at once, which is no evidence against the
// request. An attempt that began later, such as a retry, does count.
func (s *SuspectTracker) ServerFailed(now model.Instant, backend model.BackendName) []uint64 {
	s.dropExpiredBroken(now)
	var struck []uint64
	for _, b := range s.broken {
		if b.backend == backend && s.countsAsStrike(now, b) {
			s.strike(now, b.fingerprint, backend, b.at)
			struck = append(struck, b.fingerprint)
		}
	}
	s.broken = slices.DeleteFunc(s.broken, func(b brokenConnection) bool { return b.backend == backend })
	return struck
}

// countsAsStrike reports whether a broken connection whose server has failed counts
// as a strike against its request.
func (s *SuspectTracker) countsAsStrike(now model.Instant, b brokenConnection) bool {
	if s.completed.has(b.fingerprint) {
		return false
	}
	entry := s.byFingerprint[b.fingerprint]
	if entry == nil || entry.expires <= now || len(entry.servers) == 0 {
		return true
	}
	return b.started >= entry.lastStrikeAt.Add(s.settings.Spacing)
}

// dropExpiredBroken drops broken connections older than the window.
func (s *SuspectTracker) dropExpiredBroken(now model.Instant) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenConnection) bool {
		return now.Sub(b.at) > s.settings.Window
	})
}
