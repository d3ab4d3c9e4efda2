package admission

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Server describes a backend server that this instance owns.
type Server struct {
	Name    model.BackendName
	Service model.ServiceName
	Slots   int // maximum number of concurrent requests
}

// server is the state of an owned server, or of a server that is no longer owned
// but still runs requests.
type server struct {
	Server
	owned   bool
	limit   int // set by SetLimit from the health of the server, 0 to Slots
	inUse   int
	lastUse uint64 // sequence number of the last start, to break ties

	shedLimit   int           // limit learned from sheds; Slots without a recent shed
	recoverAt   model.Instant // time at which shedLimit grows by one
	pausedUntil model.Instant // no new requests before this time

	// pendingMove is the new description of a server that was reassigned to another
	// service while it still finishes requests of the old one; nil otherwise.
	pendingMove *Server
}

// usable returns the number of slots that may be in use now.
func (s *server) usable(now model.Instant) int {
	if !s.owned || now < s.pausedUntil {
		return 0
	}
	return min(s.limit, s.shedLimit, s.Slots)
}

// resize changes the number of slots. A limit or shedLimit that was equal to the
// old number changes with it.
func (s *server) resize(slots int) {
	if s.limit == s.Slots {
		s.limit = slots
	}
	if s.shedLimit >= s.Slots {
		s.shedLimit = slots
	}
	s.Slots = slots
}

// recovering reports whether an earlier shed still limits the server.
func (s *server) recovering(now model.Instant) bool {
	return s.shedLimit < s.Slots || now < s.pausedUntil
}

func (s *server) recover(now model.Instant, interval time.Duration) {
	if s.shedLimit >= s.Slots || now < s.recoverAt {
		return
	}
	steps := 1 + int(now.Sub(s.recoverAt)/interval)
	s.shedLimit = min(s.Slots, s.shedLimit+steps)
	s.recoverAt = s.recoverAt.Add(time.Duration(steps) * interval)
}

// shed lowers shedLimit below the concurrency at which the server refused a
// request, but not below 1.
func (s *server) shed(now model.Instant, pause, interval time.Duration) {
	s.shedLimit = max(1, min(s.shedLimit, s.inUse-1))
	s.recoverAt = now.Add(pause).Add(interval)
	s.pausedUntil = max(s.pausedUntil, now.Add(pause))
}

// lessLoaded reports whether s is preferred to other. The server with the smaller
// share of its usable slots in use is preferred, then the least recently used one.
func (s *server) lessLoaded(other *server, now model.Instant) bool {
	a := s.inUse * other.usable(now)
	b := other.inUse * s.usable(now)
	if a != b {
		return a < b
	}
	return s.lastUse < other.lastUse
}
