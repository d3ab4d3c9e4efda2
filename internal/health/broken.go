package health

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// brokenConnection is a connection that broke before any answer and waits for
// its server's fate.
type brokenConnection struct {
	fingerprint uint64
	backend     model.BackendName
	started     model.Instant // when the attempt began
	at          model.Instant // when it broke
}

// ConnectionBroken records that the connection of a request's attempt, begun at
// started, broke before any answer. Two that break at one server within the
// window are taken as the server's failure.
func (s *Suspects) ConnectionBroken(now model.Instant, fingerprint uint64, backend model.BackendName, started model.Instant) {
	s.dropOld(now)
	others := slices.ContainsFunc(s.broken, func(b brokenConnection) bool { return b.backend == backend })
	if len(s.broken) >= s.settings.MaxBroken {
		s.broken = slices.Delete(s.broken, 0, 1)
	}
	s.broken = append(s.broken, brokenConnection{fingerprint: fingerprint, backend: backend, started: started, at: now})
	if others {
		s.ServerFailed(now, backend)
	}
}

// ServerFailed records that a server refuses connections or lost others. Every
// request whose connection broke there within the window gets a strike.
//
// An attempt that had begun before the connection of the request's last strike
// broke gets none: when the network fails, a request that many callers send breaks
// at several servers at once, and that proves nothing against it. One that began
// after, such as a retry, does count.
func (s *Suspects) ServerFailed(now model.Instant, backend model.BackendName) {
	s.dropOld(now)
	for _, b := range s.broken {
		if b.backend == backend && s.countsAsStrike(now, b) {
			s.strike(now, b.fingerprint, backend, b.at)
		}
	}
	s.broken = slices.DeleteFunc(s.broken, func(b brokenConnection) bool { return b.backend == backend })
}

func (s *Suspects) countsAsStrike(now model.Instant, b brokenConnection) bool {
	if s.completed.has(b.fingerprint) {
		return false
	}
	known := s.byPrint[b.fingerprint]
	if known == nil || known.expires <= now || len(known.servers) == 0 {
		return true
	}
	return b.started >= known.struckAt
}

func (s *Suspects) dropOld(now model.Instant) {
	s.broken = slices.DeleteFunc(s.broken, func(b brokenConnection) bool {
		return now.Sub(b.at) > s.settings.Window
	})
}
