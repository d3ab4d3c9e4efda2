package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Server is one backend server that this instance owns.
type Server struct {
	Name    model.BackendName
	Service model.ServiceName
	Slots   int // requests that it runs at the same time
}

// server is the state of an owned server, or of one that is no longer owned and
// still runs something.
type server struct {
	Server
	owned   bool
	limit   int // from health, 0 to Slots
	inUse   int
	lastUse uint64 // start sequence, for ties

	learned     int           // limit that sheds have taught; Slots without any
	recoverAt   model.Instant // when learned grows by one
	pausedUntil model.Instant // nothing new before

	// moved is the server's new description while it finishes what it runs for
	// another service; nil otherwise.
	moved *Server
}

// usable is the number of slots that may be in use now.
func (s *server) usable(now model.Instant) int {
	if !s.owned || now < s.pausedUntil {
		return 0
	}
	return min(s.limit, s.learned, s.Slots)
}

// resize changes the number of slots; a limit or learned limit that stood at the
// old number goes along.
func (s *server) resize(slots int) {
	if s.limit == s.Slots {
		s.limit = slots
	}
	if s.learned >= s.Slots {
		s.learned = slots
	}
	s.Slots = slots
}

// recovering reports whether a past shed still limits the server.
func (s *server) recovering(now model.Instant) bool {
	return s.learned < s.Slots || now < s.pausedUntil
}

func (s *server) recover(now model.Instant, interval time.Duration) {
	if s.learned >= s.Slots || now < s.recoverAt {
		return
	}
	steps := 1 + int(now.Sub(s.recoverAt)/interval)
	s.learned = min(s.Slots, s.learned+steps)
	s.recoverAt = s.recoverAt.Add(time.Duration(steps) * interval)
}

// shed lowers the learned limit below the concurrency at which the server
// refused a request.
func (s *server) shed(now model.Instant, pause, interval time.Duration) {
	s.learned = max(1, min(s.learned, s.inUse-1))
	s.recoverAt = now.Add(pause).Add(interval)
	s.pausedUntil = max(s.pausedUntil, now.Add(pause))
}

// lessLoaded reports whether s is to be preferred to other: a smaller share of
// its slots in use, then the least recently used.
func (s *server) lessLoaded(other *server, now model.Instant) bool {
	a := s.inUse * other.usable(now)
	b := other.inUse * s.usable(now)
	if a != b {
		return a < b
	}
	return s.lastUse < other.lastUse
}
