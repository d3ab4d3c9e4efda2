package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	defaultSuspectLifetime   = 10 * time.Minute
	defaultCorrelationWindow = 2 * time.Second
	defaultEvidenceWindow    = 10 * time.Second
	defaultMaxBroken         = 256
)

// SuspectSettings holds the bounds of a SuspectTracker. A zero field takes its default.
type SuspectSettings struct {
	// Lifetime is how long a strike is kept.
	Lifetime time.Duration
	// Window is the time after a broken connection within which its server must fail
	// for the broken connection to count as a strike.
	Window time.Duration
	// EvidenceWindow is the time for which an attempt without a response is kept, so that it
	// counts as a strike if its server is found to be silent or to have started again.
	EvidenceWindow time.Duration
	// Spacing is the time after the connection of a strike broke within which a strike at a
	// new attempt is coincident. It is for instances that retry at once: servers that lose their power
	// together may break an attempt and its retry.
	Spacing time.Duration
	// MaxSuspects bounds the number of fingerprints. Beyond it the last one in the order of
	// membership.Suspect.Compare is evicted.
	MaxSuspects int
	// MaxBroken bounds the number of broken connections, and of unanswered attempts, that
	// are kept until their server is known to have failed.
	MaxBroken int
}

func (s SuspectSettings) withDefaults() SuspectSettings {
	s.Lifetime = lo.CoalesceOrEmpty(s.Lifetime, defaultSuspectLifetime)
	s.Window = lo.CoalesceOrEmpty(s.Window, defaultCorrelationWindow)
	s.EvidenceWindow = lo.CoalesceOrEmpty(s.EvidenceWindow, defaultEvidenceWindow)
	s.MaxSuspects = lo.CoalesceOrEmpty(s.MaxSuspects, membership.MaxSuspects)
	s.MaxBroken = lo.CoalesceOrEmpty(s.MaxBroken, defaultMaxBroken)
	return s
}

// SuspectTracker tracks requests that may crash the servers that run them. A request
// gets a strike when its connection breaks before the response is complete and its server then
// fails, or when it gets no complete response and its server is found silent, unless a server
// has recently answered the request in full. After strikes at two distinct servers the request
// is blocked.
type SuspectTracker struct {
	settings      SuspectSettings
	byFingerprint map[uint64]*suspect
	changed       map[uint64]struct{} // fingerprints that have changed since the last TakeChanges
	maybeUnsaved  bool                // Unsaved may return suspects
	broken        []lostAttempt       // with broken connections, oldest first
	unanswered    []lostAttempt       // without, oldest first
	// completed holds requests that were recently answered in full. They get no
	// strikes.
	completed completedSet
}

// suspect holds the strikes of one fingerprint.
type suspect struct {
	membership.Suspect
	lastStrikeAt model.Instant // when the attempt of the last strike that is not coincident was lost
	lastTrialAt  model.Instant // when Trial last permitted the request
	struckHere   bool          // this instance has seen a strike itself
	saved        doubt         // as saved beyond the end of all instances
}

// NewSuspectTracker returns an empty SuspectTracker.
func NewSuspectTracker(s SuspectSettings) *SuspectTracker {
	return &SuspectTracker{
		settings:      s.withDefaults(),
		byFingerprint: make(map[uint64]*suspect),
		changed:       make(map[uint64]struct{}),
		completed:     newCompletedSet(),
	}
}

// Strike records a strike against the request for breaking the server.
func (s *SuspectTracker) Strike(now model.Instant, fingerprint uint64, backend model.BackendName) {
	s.strike(now, &lostAttempt{fingerprint: fingerprint, backend: backend, started: now, at: now})
}

// strike records a strike for an attempt that was lost, maybe some time ago, and reports
// whether it is news.
//
// One that began before the attempt of the request's last strike was lost is coincident: when
// the network fails, the connections of a request that many callers send break at several
// servers at once. An attempt that began later, such as a retry, is not.
func (s *SuspectTracker) strike(now model.Instant, a *lostAttempt) bool {
	if s.completed.has(now, a.fingerprint) {
		return false
	}
	entry := s.getOrCreate(now, a.fingerprint)
	coincident := !entry.Cleared() && a.started < entry.lastStrikeAt.Add(s.settings.Spacing)
	added := entry.AddServer(a.backend, coincident)
	if !coincident {
		entry.lastStrikeAt = max(entry.lastStrikeAt, a.at)
	}
	entry.Expires = max(entry.Expires, now.Add(s.settings.Lifetime))
	entry.struckHere = true
	s.changed[a.fingerprint] = struct{}{}
	s.maybeUnsaved = true
	return added
}

// known returns the suspect of a fingerprint if it has strikes that have not expired.
func (s *SuspectTracker) known(now model.Instant, fingerprint uint64) *suspect {
	if len(s.byFingerprint) == 0 {
		return nil
	}
	entry := s.byFingerprint[fingerprint]
	if entry == nil || entry.Cleared() || entry.Expires <= now {
		return nil
	}
	return entry
}

// Blocked reports whether the request broke enough distinct servers to be refused.
func (s *SuspectTracker) Blocked(now model.Instant, fingerprint uint64) bool {
	entry := s.known(now, fingerprint)
	return entry != nil && entry.Blocked()
}

// Doubtful reports whether several servers failed beneath the request, maybe for one cause. It
// should then be sent only with Trial.
func (s *SuspectTracker) Doubtful(now model.Instant, fingerprint uint64) bool {
	entry := s.known(now, fingerprint)
	return entry != nil && entry.Doubtful()
}

// Trial reports whether a doubtful request may be sent once more, at most once in
// TrialInterval. All instances together should make no more trials than that.
func (s *SuspectTracker) Trial(now model.Instant, fingerprint uint64) bool {
	entry := s.known(now, fingerprint)
	if entry == nil || entry.lastTrialAt != 0 && now < entry.lastTrialAt.Add(TrialInterval) {
		return false
	}
	entry.lastTrialAt = now
	return true
}

// TrialInterval is the time between two trials of a doubtful request. It covers the time until
// a server that has fallen silent is found.
const TrialInterval = 5 * time.Second

// SpacingLeft returns how long a request with a strike should not be sent, because no strike
// would count, 0 if it may be sent.
func (s *SuspectTracker) SpacingLeft(now model.Instant, fingerprint uint64) time.Duration {
	entry := s.known(now, fingerprint)
	if entry == nil {
		return 0
	}
	return max(0, entry.lastStrikeAt.Add(s.settings.Spacing).Sub(now))
}

// HasStrike reports whether the request has a strike. The entry instance should then
// not retry it by itself.
func (s *SuspectTracker) HasStrike(now model.Instant, fingerprint uint64) bool {
	return s.known(now, fingerprint) != nil
}

// RecentlyCompleted reports whether a server has recently answered the request in full, so
// that a broken connection is no evidence against it.
func (s *SuspectTracker) RecentlyCompleted(now model.Instant, fingerprint uint64) bool {
	return s.completed.has(now, fingerprint)
}

// Completed records that a server answered the request in full. This clears its
// strikes, since something else broke the servers, but does not lift a block.
func (s *SuspectTracker) Completed(now model.Instant, fingerprint uint64) {
	s.completed.add(now, fingerprint)
	if len(s.byFingerprint) == 0 {
		return
	}
	if entry := s.known(now, fingerprint); entry != nil {
		entry.Clear()
		s.changed[fingerprint] = struct{}{}
	}
}

// Merge adds what a peer knows, with the same Lifetime.
func (s *SuspectTracker) Merge(now model.Instant, suspects []membership.Suspect) {
	for _, remote := range suspects {
		remote.Expires = min(remote.Expires, now.Add(s.settings.Lifetime))
		if remote.Expires <= now || !s.hasRoom(now, &remote) {
			continue
		}
		entry := s.getOrCreate(now, remote.Fingerprint)
		servers := len(entry.Servers)
		if entry.Combine(&remote); len(entry.Servers) > servers {
			entry.lastStrikeAt = max(entry.lastStrikeAt, remote.Expires.Add(-s.settings.Lifetime))
		}
		s.maybeUnsaved = s.maybeUnsaved || entry.struckHere
	}
}

// Snapshot returns what has not expired, sorted by fingerprint.
func (s *SuspectTracker) Snapshot(now model.Instant) []membership.Suspect {
	return copyUnexpired(now, slices.Collect(maps.Values(s.byFingerprint)))
}

// TakeChanges returns what has changed since its last call and has not expired, sorted by
// fingerprint, to send to peers.
func (s *SuspectTracker) TakeChanges(now model.Instant) []membership.Suspect {
	if len(s.changed) == 0 {
		return nil
	}
	var list []*suspect
	for fingerprint := range s.changed {
		if entry := s.byFingerprint[fingerprint]; entry != nil {
			list = append(list, entry)
		}
	}
	clear(s.changed)
	return copyUnexpired(now, list)
}

// copyUnexpired returns copies of the suspects that have not expired, sorted by fingerprint.
func copyUnexpired(now model.Instant, list []*suspect) []membership.Suspect {
	var out []membership.Suspect
	for _, entry := range list {
		if entry.Expires > now {
			out = append(out, membership.Suspect{
				Fingerprint: entry.Fingerprint,
				Servers:     slices.Clone(entry.Servers),
				Coincident:  slices.Clone(entry.Coincident),
				Expires:     entry.Expires,
			})
		}
	}
	slices.SortFunc(out, func(a, b membership.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// getOrCreate returns the entry of a fingerprint, creating it if there is none or
// it has expired. At MaxSuspects it first evicts other entries.
func (s *SuspectTracker) getOrCreate(now model.Instant, fingerprint uint64) *suspect {
	if entry := s.byFingerprint[fingerprint]; entry != nil {
		if entry.Expires <= now {
			*entry = suspect{Suspect: membership.Suspect{Fingerprint: fingerprint}}
		}
		return entry
	}
	if len(s.byFingerprint) >= s.settings.MaxSuspects {
		s.dropExpiredSuspects(now)
	}
	if len(s.byFingerprint) >= s.settings.MaxSuspects {
		delete(s.byFingerprint, s.last().Fingerprint)
	}
	entry := &suspect{Suspect: membership.Suspect{Fingerprint: fingerprint}}
	s.byFingerprint[fingerprint] = entry
	return entry
}

// hasRoom reports whether a suspect is known, or need not be forgotten before all others.
func (s *SuspectTracker) hasRoom(now model.Instant, remote *membership.Suspect) bool {
	if _, known := s.byFingerprint[remote.Fingerprint]; known || len(s.byFingerprint) < s.settings.MaxSuspects {
		return true
	}
	s.dropExpiredSuspects(now)
	return len(s.byFingerprint) < s.settings.MaxSuspects || remote.Compare(&s.last().Suspect) < 0
}

func (s *SuspectTracker) dropExpiredSuspects(now model.Instant) {
	maps.DeleteFunc(s.byFingerprint, func(_ uint64, entry *suspect) bool { return entry.Expires <= now })
}

// last returns the suspect to forget first.
func (s *SuspectTracker) last() *suspect {
	var last *suspect
	for _, entry := range s.byFingerprint {
		if last == nil || entry.Compare(&last.Suspect) > 0 {
			last = entry
		}
	}
	return last
}
