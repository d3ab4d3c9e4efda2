package ingress

import "time"

// Limits bound what callers may send and how long they may take. They may change while
// the server runs; a zero field leaves the bound as Settings gives it.
type Limits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	BodyBytes     int64 // largest body whose length is given, 0 for any
}

// SetLimits replaces the limits. Connections take them up with their next request.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// longestWait stands for "idle" in the read deadlines that the HTTP library sets: longer
// than any bound on reading a header, so that the two can be told apart.
const longestWait = 24 * time.Hour

// longestHeader bounds reading a header whatever the limits say.
const longestHeader = time.Minute

// waitLimit returns how long a read may take where the HTTP library allows so much.
func (s *Server) waitLimit(allowed time.Duration) time.Duration {
	l := s.limits.Load()
	if allowed > longestWait/2 {
		return firstPositive(l.IdleTimeout, s.settings.IdleTimeout)
	}
	return min(allowed, firstPositive(l.HeaderTimeout, s.settings.HeaderTimeout))
}

func firstPositive(values ...time.Duration) time.Duration {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// bodyTooLong reports whether a body of a length is beyond the limits.
func (s *Server) bodyTooLong(length int) bool {
	limit := s.limits.Load().BodyBytes
	return limit > 0 && int64(length) > limit
}
