package ingress

import "time"

// Limits bounds the size of callers' requests and the time they may take. They may
// change while the server runs. A zero timeout leaves the one in Settings in force.
type Limits struct {
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	BodyBytes     int64 // largest declared body length, 0 for no limit
}

// SetLimits replaces the limits. They apply to open connections from their next
// request on.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// idleReadTimeout is the idle timeout given to the HTTP library. It is longer than any
// header timeout, so that readTimeout can tell from a read deadline which of the two
// the library has set.
const idleReadTimeout = 24 * time.Hour

// maxHeaderTimeout bounds reading a header regardless of the limits.
const maxHeaderTimeout = time.Minute

// readTimeout returns how long a read may take when the HTTP library requests the
// given timeout.
func (s *Server) readTimeout(requested time.Duration) time.Duration {
	l := s.limits.Load()
	if isIdleTimeout(requested) {
		return firstPositive(l.IdleTimeout, s.settings.IdleTimeout)
	}
	return min(requested, firstPositive(l.HeaderTimeout, s.settings.HeaderTimeout))
}

// isIdleTimeout reports whether the HTTP library has requested the idle timeout.
func isIdleTimeout(requested time.Duration) bool { return requested > idleReadTimeout/2 }

// firstPositive returns the first positive value, or 0.
func firstPositive(values ...time.Duration) time.Duration {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// bodyTooLong reports whether a body of the given length exceeds the limits.
func (s *Server) bodyTooLong(length int) bool {
	limit := s.limits.Load().BodyBytes
	return limit > 0 && int64(length) > limit
}
