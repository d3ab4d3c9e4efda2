package health

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// lostAttempt is an attempt that ended without a complete response: its connection broke, or
// nobody waits for the response any longer. It is kept until its server is known to have failed, for
// at most the evidence window.
type lostAttempt struct {
	fingerprint uint64
	backend     model.BackendName
	started     model.Instant // when the attempt began
	at          model.Instant // when its connection broke or the wait ended
	truncated   bool          // the response had begun
}

// ConnectionBroken records that the connection of a request's attempt, begun at
// started, broke before any response. Two broken connections to one server within
// the window count as a failure of the server; the result is then that of ServerFailed.
func (s *SuspectTracker) ConnectionBroken(now model.Instant, fingerprint uint64, backend model.BackendName, started model.Instant) []uint64 {
	s.dropExpired(now)
	others := slices.ContainsFunc(s.broken, func(b lostAttempt) bool {
		return b.backend == backend && !b.truncated && now.Sub(b.at) <= s.settings.Window
	})
	s.broken = appendBounded(s.broken, s.settings.MaxBroken, lostAttempt{fingerprint: fingerprint, backend: backend, started: started, at: now})
	if others {
		return s.ServerFailed(now, backend)
	}
	return nil
}

// ResponseTruncated records that the response of a request's attempt, begun at started, has begun
// and broke off or made no progress until its deadline. Faulty servers truncate responses and run
// on, so any number of truncated responses is no failure of the server.
func (s *SuspectTracker) ResponseTruncated(now model.Instant, fingerprint uint64, backend model.BackendName, started model.Instant) {
	s.dropExpired(now)
	a := lostAttempt{fingerprint: fingerprint, backend: backend, started: started, at: now, truncated: true}
	s.broken = appendBounded(s.broken, s.settings.MaxBroken, a)
	s.unanswered = appendBounded(s.unanswered, s.settings.MaxBroken, a)
}

// ServerFailed records that a server refused a connection or that another of its
// connections broke. Every request whose connection to the server broke within the
// window gets a strike; the fingerprints of those for which it is news are returned.
func (s *SuspectTracker) ServerFailed(now model.Instant, backend model.BackendName) []uint64 {
	s.dropExpired(now)
	return s.strikeBroken(now, backend, s.settings.Window)
}

// strikeBroken strikes the requests whose connection to a server broke within a window.
func (s *SuspectTracker) strikeBroken(now model.Instant, backend model.BackendName, window time.Duration) []uint64 {
	var struck []uint64
	for _, b := range s.broken {
		if b.backend == backend && now.Sub(b.at) <= window && s.strike(now, &b) {
			struck = append(struck, b.fingerprint)
		}
	}
	s.broken = slices.DeleteFunc(s.broken, func(b lostAttempt) bool { return b.backend == backend })
	return struck
}

// Unanswered records that the wait for the response of an attempt, begun at started, has ended
// although its connection did not break. Load explains that as well as a crash, so it counts
// only with ServerSilent.
func (s *SuspectTracker) Unanswered(now model.Instant, fingerprint uint64, backend model.BackendName, started model.Instant) {
	s.dropExpired(now)
	s.unanswered = appendBounded(s.unanswered, s.settings.MaxBroken, lostAttempt{fingerprint: fingerprint, backend: backend, started: started, at: now})
}

// ServerSilent records that a server accepts no connection and refuses none: a server that
// loses its power breaks no connection. Every request whose attempt at the server was lost
// after the server's last answer gets a strike; the fingerprints of those for which it is news
// are returned. Attempts that are still running must have been passed to Unanswered.
func (s *SuspectTracker) ServerSilent(now model.Instant, backend model.BackendName, lastAnswer model.Instant) []uint64 {
	s.dropExpired(now)
	return append(s.strikeUnanswered(now, backend, lastAnswer), s.strikeBroken(now, backend, s.settings.Window)...)
}

// ServerEnded records that a server has ended since its last answer, because it has started
// again or another one has its address. It is ServerSilent for a server that is back before it
// is missed, and looks back further, since the next start may be known late.
func (s *SuspectTracker) ServerEnded(now model.Instant, backend model.BackendName, lastAnswer model.Instant) []uint64 {
	s.dropExpired(now)
	return append(s.strikeUnanswered(now, backend, lastAnswer), s.strikeBroken(now, backend, s.settings.EvidenceWindow)...)
}

func (s *SuspectTracker) strikeUnanswered(now model.Instant, backend model.BackendName, lastAnswer model.Instant) []uint64 {
	var struck []uint64
	for _, a := range s.unanswered {
		if a.backend == backend && a.at > lastAnswer && s.strike(now, &a) {
			struck = append(struck, a.fingerprint)
		}
	}
	s.unanswered = slices.DeleteFunc(s.unanswered, func(a lostAttempt) bool { return a.backend == backend })
	return struck
}

// dropExpired drops lost attempts older than the evidence window.
func (s *SuspectTracker) dropExpired(now model.Instant) {
	expired := func(a lostAttempt) bool { return now.Sub(a.at) > s.settings.EvidenceWindow }
	s.broken = slices.DeleteFunc(s.broken, expired)
	s.unanswered = slices.DeleteFunc(s.unanswered, expired)
}

// appendBounded appends an attempt and drops the oldest one if there are limit.
func appendBounded(list []lostAttempt, limit int, a lostAttempt) []lostAttempt {
	if len(list) >= limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, a)
}
