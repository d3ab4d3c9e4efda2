package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// blockThreshold is the number of distinct servers at which a request needs
	// strikes to be refused everywhere.
	blockThreshold = 2

	// simultaneousStrikeWindow is the time between strikes at two servers below
	// which they count as one event.
	simultaneousStrikeWindow = 500 * time.Millisecond

	defaultSuspectLifetime   = 10 * time.Minute
	defaultCorrelationWindow = 2 * time.Second
	defaultSilenceWindow     = 10 * time.Second
	defaultMaxSuspects       = 128
	defaultMaxBroken         = 256
)

// SuspectSettings holds the bounds of a SuspectTracker. A zero field takes its default.
type SuspectSettings struct {
	// Lifetime is how long a strike is kept.
	Lifetime time.Duration
	// Window is the time after a broken connection within which its server must fail
	// for the broken connection to count as a strike.
	Window time.Duration
	// SilenceWindow is the time after an attempt that was not answered within which its
	// server must be found silent for the attempt to count as a strike.
	SilenceWindow time.Duration
	// Spacing is the time after the connection of a strike broke within which a new attempt
	// gets no strike. It is for instances that retry at once: servers that lose their power
	// together may break an attempt and its retry.
	Spacing time.Duration
	// MaxSuspects bounds the number of fingerprints. Beyond it the one that expires
	// first is evicted.
	MaxSuspects int
	// MaxBroken bounds the number of broken connections, and of unanswered attempts, that
	// are kept until their server is known to have failed.
	MaxBroken int
}

func (s SuspectSettings) withDefaults() SuspectSettings {
	s.Lifetime = lo.CoalesceOrEmpty(s.Lifetime, defaultSuspectLifetime)
	s.Window = lo.CoalesceOrEmpty(s.Window, defaultCorrelationWindow)
	s.SilenceWindow = lo.CoalesceOrEmpty(s.SilenceWindow, defaultSilenceWindow)
	s.MaxSuspects = lo.CoalesceOrEmpty(s.MaxSuspects, defaultMaxSuspects)
	s.MaxBroken = lo.CoalesceOrEmpty(s.MaxBroken, defaultMaxBroken)
	return s
}

// SuspectTracker tracks requests that may crash the servers that run them. A request
// gets a strike when its connection breaks before any response and its server then
// fails, or when it gets no response and its server is found silent, unless a server has
// recently answered the request in full. After strikes at two distinct servers the request
// is blocked.
type SuspectTracker struct {
	settings      SuspectSettings
	byFingerprint map[uint64]*suspect
	broken        []lostAttempt // with broken connections, oldest first
	unanswered    []lostAttempt // without, oldest first
	// completed holds requests that were recently answered in full. They get no
	// strikes.
	completed completedSet
}

// suspect holds the strikes of one fingerprint. A suspect without servers was
// cleared and is kept so that merging from peers does not restore its strikes.
type suspect struct {
	fingerprint    uint64
	servers        []model.BackendName // sorted, at most blockThreshold
	lastStrikeAt   model.Instant       // when the connection of the last strike broke
	expires        model.Instant
	clearedThrough model.Instant // strikes that expire by then are ignored
}

// NewSuspectTracker returns an empty SuspectTracker.
func NewSuspectTracker(s SuspectSettings) *SuspectTracker {
	return &SuspectTracker{settings: s.withDefaults(), byFingerprint: make(map[uint64]*suspect), completed: newCompletedSet()}
}

// Strike records a strike against the request for breaking the server.
func (s *SuspectTracker) Strike(now model.Instant, fingerprint uint64, backend model.BackendName) {
	s.strike(now, fingerprint, backend, now)
}

// strike records a strike for a connection that broke at the time at, which may be
// before now.
func (s *SuspectTracker) strike(now model.Instant, fingerprint uint64, backend model.BackendName, at model.Instant) {
	entry := s.getOrCreate(now, fingerprint)
	if entry == nil {
		return
	}
	entry.add(backend)
	entry.lastStrikeAt = max(entry.lastStrikeAt, at)
	entry.expires = max(entry.expires, now.Add(s.settings.Lifetime))
}

// Blocked reports whether the request broke enough distinct servers to be refused.
func (s *SuspectTracker) Blocked(now model.Instant, fingerprint uint64) bool {
	if len(s.byFingerprint) == 0 {
		return false
	}
	entry := s.byFingerprint[fingerprint]
	return entry != nil && now < entry.expires && len(entry.servers) >= blockThreshold
}

// SpacingLeft returns how long a request with a strike should not be sent, because no strike
// would count, 0 if it may be sent.
func (s *SuspectTracker) SpacingLeft(now model.Instant, fingerprint uint64) time.Duration {
	if !s.HasStrike(now, fingerprint) {
		return 0
	}
	return max(0, s.byFingerprint[fingerprint].lastStrikeAt.Add(s.settings.Spacing).Sub(now))
}

// HasStrike reports whether the request has a strike. The entry instance should then
// not retry it by itself.
func (s *SuspectTracker) HasStrike(now model.Instant, fingerprint uint64) bool {
	if len(s.byFingerprint) == 0 {
		return false
	}
	entry := s.byFingerprint[fingerprint]
	return entry != nil && now < entry.expires && len(entry.servers) > 0
}

// RecentlyCompleted reports whether a server has recently answered the request in full, so
// that a broken connection is no evidence against it.
func (s *SuspectTracker) RecentlyCompleted(fingerprint uint64) bool {
	return s.completed.has(fingerprint)
}

// Completed records that a server answered the request in full. This clears its
// strikes, since something else broke the servers, but does not lift a block.
func (s *SuspectTracker) Completed(now model.Instant, fingerprint uint64) {
	s.completed.add(now, fingerprint)
	if len(s.byFingerprint) == 0 {
		return
	}
	entry := s.byFingerprint[fingerprint]
	if entry == nil || len(entry.servers) >= blockThreshold {
		return
	}
	entry.servers = entry.servers[:0]
	entry.clearedThrough = max(entry.clearedThrough, entry.expires)
}

// Merge adds the strikes received from a peer.
func (s *SuspectTracker) Merge(now model.Instant, suspects []membership.Suspect) {
	for _, remote := range suspects {
		expires := min(remote.Expires, now.Add(s.settings.Lifetime))
		if expires <= now {
			continue
		}
		entry := s.getOrCreate(now, remote.Fingerprint)
		if entry == nil || expires <= entry.clearedThrough {
			continue
		}
		if entry.simultaneous(remote, expires) {
			continue
		}
		for _, backend := range remote.Servers {
			entry.add(backend)
		}
		entry.expires = max(entry.expires, expires)
		entry.lastStrikeAt = max(entry.lastStrikeAt, expires.Add(-s.settings.Lifetime))
	}
}

// Snapshot returns the unexpired strikes, sorted by fingerprint, to send to peers.
func (s *SuspectTracker) Snapshot(now model.Instant) []membership.Suspect {
	var out []membership.Suspect
	for _, entry := range s.byFingerprint {
		if entry.expires <= now || len(entry.servers) == 0 {
			continue
		}
		out = append(out, membership.Suspect{
			Fingerprint: entry.fingerprint,
			Servers:     slices.Clone(entry.servers),
			Expires:     entry.expires,
		})
	}
	slices.SortFunc(out, func(a, b membership.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// simultaneous reports whether both sides hold a single strike and these occurred
// within simultaneousStrikeWindow, which indicates that the network failed rather
// than the servers. Strikes carry only their expiry, so this assumes that peers use
// the same Lifetime.
func (e *suspect) simultaneous(remote membership.Suspect, expires model.Instant) bool {
	if len(e.servers) != 1 || len(remote.Servers) != 1 {
		return false
	}
	return expires.Sub(e.expires).Abs() < simultaneousStrikeWindow
}

// add adds a server, unless the suspect already has blockThreshold servers.
func (e *suspect) add(backend model.BackendName) {
	i, present := slices.BinarySearch(e.servers, backend)
	if present || len(e.servers) >= blockThreshold {
		return
	}
	e.servers = slices.Insert(e.servers, i, backend)
}

// getOrCreate returns the entry of a fingerprint, creating it if there is none or
// it has expired. At MaxSuspects it first evicts other entries.
func (s *SuspectTracker) getOrCreate(now model.Instant, fingerprint uint64) *suspect {
	if entry := s.byFingerprint[fingerprint]; entry != nil {
		if entry.expires <= now {
			*entry = suspect{fingerprint: fingerprint}
		}
		return entry
	}
	if len(s.byFingerprint) >= s.settings.MaxSuspects {
		s.evict(now)
	}
	entry := &suspect{fingerprint: fingerprint}
	s.byFingerprint[fingerprint] = entry
	return entry
}

// evict removes all expired entries or, if none has expired, the one that expires
// first.
func (s *SuspectTracker) evict(now model.Instant) {
	var first *suspect
	for fingerprint, entry := range s.byFingerprint {
		if entry.expires <= now {
			delete(s.byFingerprint, fingerprint)
			continue
		}
		if first == nil || entry.expiresBefore(first) {
			first = entry
		}
	}
	if len(s.byFingerprint) >= s.settings.MaxSuspects && first != nil {
		delete(s.byFingerprint, first.fingerprint)
	}
}

func (e *suspect) expiresBefore(other *suspect) bool {
	if e.expires != other.expires {
		return e.expires < other.expires
	}
	return e.fingerprint < other.fingerprint
}
