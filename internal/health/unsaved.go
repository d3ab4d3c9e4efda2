package health

import (
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// doubt is how much is known against a request. It only grows until the strikes are cleared.
type doubt uint8

const (
	noDoubt  doubt = iota // at most one strike, which any crash gives to the requests in flight
	doubtful              // several servers failed, maybe for one cause
	blocked
)

func doubtOf(s *membership.Suspect) doubt {
	switch {
	case s.Blocked():
		return blocked
	case s.Doubtful():
		return doubtful
	default:
		return noDoubt
	}
}

// Unsaved returns the suspects that should be kept beyond the end of all instances, sorted by
// fingerprint: those of which this instance has seen a strike itself and which are more in
// doubt than when they were saved. The instances that have seen none leave it to those that
// have.
func (s *SuspectTracker) Unsaved(now model.Instant) []membership.Suspect {
	if !s.maybeUnsaved {
		return nil
	}
	var list []*suspect
	for _, entry := range s.byFingerprint {
		if entry.struckHere && doubtOf(&entry.Suspect) > entry.saved && entry.Expires > now {
			list = append(list, entry)
		}
	}
	s.maybeUnsaved = len(list) > 0
	return copyUnexpired(now, list)
}

// Saved records that suspects have been saved as they were returned by Unsaved.
func (s *SuspectTracker) Saved(list []membership.Suspect) {
	for i := range list {
		if entry := s.byFingerprint[list[i].Fingerprint]; entry != nil {
			entry.saved = max(entry.saved, doubtOf(&list[i]))
		}
	}
}

// ForgetSaved records that what was saved may be lost.
func (s *SuspectTracker) ForgetSaved() {
	for _, entry := range s.byFingerprint {
		entry.saved = noDoubt
	}
	s.maybeUnsaved = true
}
