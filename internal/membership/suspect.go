package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// blockThreshold is the number of servers that have to fail beneath a request, for causes
	// that are not the same, for it to be refused everywhere.
	blockThreshold = 2
	// maxCoincident bounds the servers that are kept although they may have failed together
	// with another one.
	maxCoincident = 2
	// simultaneousStrikeWindow is the time between strikes at two servers, as seen by two
	// instances, below which they count as one event.
	simultaneousStrikeWindow = 500 * time.Millisecond
	// MaxSuspects bounds the requests that an instance suspects. It is several times the number
	// of requests in flight at a seventh of the servers of the largest deployments.
	MaxSuspects = 1024
	// transitTolerance covers the time for which messages are on their way, by which an expiry
	// is later at each instance that they pass.
	transitTolerance = time.Second
)

// Suspect is the fingerprint of requests that are suspected of crashing backend servers.
type Suspect struct {
	Fingerprint uint64
	// Servers are distinct servers, or starts of one, that failed beneath the request for
	// causes that are not the same; sorted. There are none if a server has answered the
	// request in full since, at Expires less the lifetime of a strike.
	Servers []model.BackendName
	// Coincident are other servers that failed beneath it at about the same time as the one
	// of Servers, as they do when a network or an availability zone fails; sorted.
	Coincident []model.BackendName
	Expires    model.Instant
}

// Cleared reports whether a server has answered the request in full since its last strike.
func (s *Suspect) Cleared() bool { return len(s.Servers) == 0 }

// Blocked reports whether the request is to be refused everywhere.
func (s *Suspect) Blocked() bool { return len(s.Servers) >= blockThreshold }

// Doubtful reports whether several servers have failed beneath the request, but maybe for one
// cause.
func (s *Suspect) Doubtful() bool { return !s.Blocked() && len(s.Coincident) > 0 }

// Compare orders suspects by what is lost if one is forgotten: first blocked ones, then doubtful
// ones, those with one strike and cleared ones, and the latest first among equals. All instances
// forget the last ones first, so that they keep the same ones.
func (s *Suspect) Compare(other *Suspect) int {
	return cmp.Or(
		cmp.Compare(other.severity(), s.severity()),
		cmp.Compare(other.Expires, s.Expires),
		cmp.Compare(s.Fingerprint, other.Fingerprint),
	)
}

func (s *Suspect) severity() int {
	switch {
	case s.Blocked():
		return 3
	case s.Doubtful():
		return 2
	case !s.Cleared():
		return 1
	default:
		return 0
	}
}

// AddServer adds a server that failed beneath the request. It reports whether it was new.
func (s *Suspect) AddServer(server model.BackendName, coincident bool) bool {
	list, limit := &s.Servers, blockThreshold
	if coincident && !s.Cleared() {
		list, limit = &s.Coincident, maxCoincident
	}
	if slices.Contains(s.Servers, server) || slices.Contains(s.Coincident, server) || len(*list) >= limit {
		return false
	}
	*list = sortedNames(append(*list, server))
	return true
}

// Clear forgets the servers, unless the request is blocked.
func (s *Suspect) Clear() {
	if !s.Blocked() {
		s.Servers, s.Coincident = nil, nil
	}
}

// Combine adds what another instance knows of the same request, for strikes that all instances
// keep for the same time. It reports whether it changed more than the expiry.
func (s *Suspect) Combine(other *Suspect) bool {
	expires := max(s.Expires, other.Expires)
	switch {
	case other.Cleared():
		if s.Blocked() || other.Expires < s.Expires.Add(-transitTolerance) {
			return false
		}
		changed := !s.Cleared()
		s.Clear()
		s.Expires = expires
		return changed
	case s.Cleared() && s.Expires != 0 && other.Expires <= s.Expires.Add(transitTolerance):
		return false
	}
	coincident := len(s.Servers) == 1 && len(other.Servers) == 1 && other.Expires.Sub(s.Expires).Abs() < simultaneousStrikeWindow
	changed := false
	for _, server := range other.Servers {
		changed = s.AddServer(server, coincident) || changed
	}
	for _, server := range other.Coincident {
		changed = s.AddServer(server, true) || changed
	}
	s.Expires = expires
	return changed
}

func (s *Suspect) clone() Suspect {
	c := *s
	c.Servers, c.Coincident = slices.Clone(s.Servers), slices.Clone(s.Coincident)
	return c
}
