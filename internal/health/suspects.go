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
	// blockedServers is the number of distinct servers after which a request that
	// broke them is refused everywhere.
	blockedServers = 2

	// simultaneousStrikes is the time between strikes at two servers below which
	// they count as one event.
	simultaneousStrikes = 500 * time.Millisecond

	defaultSuspectLifetime   = 10 * time.Minute
	defaultCorrelationWindow = 2 * time.Second
	defaultMaxSuspects       = 128
	defaultMaxBroken         = 256
)

// SuspectSettings holds the bounds of a Suspects. A field at zero takes its
// default.
type SuspectSettings struct {
	// Lifetime is how long a strike is remembered.
	Lifetime time.Duration
	// Window is the time within which a server must fail after a connection broke
	// for that to count as a strike.
	Window time.Duration
	// MaxSuspects bounds the remembered fingerprints; the one that expires first
	// makes room.
	MaxSuspects int
	// MaxBroken bounds the broken connections that wait for their server's fate.
	MaxBroken int
}

func (s SuspectSettings) withDefaults() SuspectSettings {
	s.Lifetime = lo.CoalesceOrEmpty(s.Lifetime, defaultSuspectLifetime)
	s.Window = lo.CoalesceOrEmpty(s.Window, defaultCorrelationWindow)
	s.MaxSuspects = lo.CoalesceOrEmpty(s.MaxSuspects, defaultMaxSuspects)
	s.MaxBroken = lo.CoalesceOrEmpty(s.MaxBroken, defaultMaxBroken)
	return s
}

// Suspects remembers requests that may crash the servers that run them. A
// request gets a strike when its connection broke before any answer and its
// server then failed, unless a server has answered it in full of late. After
// strikes at two distinct servers it is blocked.
type Suspects struct {
	settings SuspectSettings
	byPrint  map[uint64]*suspect
	broken   []brokenConnection // oldest first
	// completed holds requests that were answered in full of late; they get no
	// strikes.
	completed completedSet
}

// suspect is one fingerprint with its strikes. One without servers was cleared
// and is kept so that peers do not bring its strikes back.
type suspect struct {
	fingerprint uint64
	servers     []model.BackendName // sorted, at most blockedServers
	struckAt    model.Instant       // when the connection of the last strike broke
	expires     model.Instant
	cleared     model.Instant // strikes that expire by then no longer count
}

// NewSuspects returns a Suspects without any.
func NewSuspects(s SuspectSettings) *Suspects {
	return &Suspects{settings: s.withDefaults(), byPrint: make(map[uint64]*suspect), completed: newCompletedSet()}
}

// Strike records that the request broke the server.
func (s *Suspects) Strike(now model.Instant, fingerprint uint64, backend model.BackendName) {
	s.strike(now, fingerprint, backend, now)
}

// strike records that the request broke the server at an earlier moment.
func (s *Suspects) strike(now model.Instant, fingerprint uint64, backend model.BackendName, at model.Instant) {
	known := s.open(now, fingerprint)
	if known == nil {
		return
	}
	known.add(backend)
	known.struckAt = max(known.struckAt, at)
	known.expires = max(known.expires, now.Add(s.settings.Lifetime))
}

// Blocked reports whether the request broke so many distinct servers that it is
// to be refused.
func (s *Suspects) Blocked(now model.Instant, fingerprint uint64) bool {
	if len(s.byPrint) == 0 {
		return false
	}
	known := s.byPrint[fingerprint]
	return known != nil && now < known.expires && len(known.servers) >= blockedServers
}

// AtRisk reports whether the request broke a server, so that it is better not
// sent again without need.
func (s *Suspects) AtRisk(now model.Instant, fingerprint uint64) bool {
	if len(s.byPrint) == 0 {
		return false
	}
	known := s.byPrint[fingerprint]
	return known != nil && now < known.expires && len(known.servers) > 0
}

// Completed records that a server answered the request in full: what broke the
// servers before was something else. It does not lift a block.
func (s *Suspects) Completed(now model.Instant, fingerprint uint64) {
	s.completed.add(now, fingerprint)
	if len(s.byPrint) == 0 {
		return
	}
	known := s.byPrint[fingerprint]
	if known == nil || len(known.servers) >= blockedServers {
		return
	}
	known.servers = known.servers[:0]
	known.cleared = max(known.cleared, known.expires)
}

// Merge takes in the strikes that a peer knows of.
func (s *Suspects) Merge(now model.Instant, suspects []membership.Suspect) {
	for _, told := range suspects {
		expires := min(told.Expires, now.Add(s.settings.Lifetime))
		if expires <= now {
			continue
		}
		known := s.open(now, told.Fingerprint)
		if known == nil || expires <= known.cleared {
			continue
		}
		if known.simultaneous(told, expires) {
			continue
		}
		for _, backend := range told.Servers {
			known.add(backend)
		}
		known.expires = max(known.expires, expires)
		known.struckAt = max(known.struckAt, expires.Add(-s.settings.Lifetime))
	}
}

// Snapshot returns the strikes in force, sorted by fingerprint, for peers.
func (s *Suspects) Snapshot(now model.Instant) []membership.Suspect {
	var out []membership.Suspect
	for _, known := range s.byPrint {
		if known.expires <= now || len(known.servers) == 0 {
			continue
		}
		out = append(out, membership.Suspect{
			Fingerprint: known.fingerprint,
			Servers:     slices.Clone(known.servers),
			Expires:     known.expires,
		})
	}
	slices.SortFunc(out, func(a, b membership.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// simultaneous reports whether the peer's one strike came at the same time as the
// one known here: then the network failed rather than the servers.
func (k *suspect) simultaneous(told membership.Suspect, expires model.Instant) bool {
	if len(k.servers) != 1 || len(told.Servers) != 1 {
		return false
	}
	return expires.Sub(k.expires).Abs() < simultaneousStrikes
}

func (k *suspect) add(backend model.BackendName) {
	i, present := slices.BinarySearch(k.servers, backend)
	if present || len(k.servers) >= blockedServers {
		return
	}
	k.servers = slices.Insert(k.servers, i, backend)
}

// open returns the entry of a fingerprint, made if there is none. Expired ones
// are dropped for it, or the one that expires first.
func (s *Suspects) open(now model.Instant, fingerprint uint64) *suspect {
	if known := s.byPrint[fingerprint]; known != nil {
		if known.expires <= now {
			*known = suspect{fingerprint: fingerprint}
		}
		return known
	}
	if len(s.byPrint) >= s.settings.MaxSuspects {
		s.makeRoom(now)
	}
	known := &suspect{fingerprint: fingerprint}
	s.byPrint[fingerprint] = known
	return known
}

func (s *Suspects) makeRoom(now model.Instant) {
	var first *suspect
	for fingerprint, known := range s.byPrint {
		if known.expires <= now {
			delete(s.byPrint, fingerprint)
			continue
		}
		if first == nil || known.expiresBefore(first) {
			first = known
		}
	}
	if len(s.byPrint) >= s.settings.MaxSuspects && first != nil {
		delete(s.byPrint, first.fingerprint)
	}
}

func (k *suspect) expiresBefore(other *suspect) bool {
	if k.expires != other.expires {
		return k.expires < other.expires
	}
	return k.fingerprint < other.fingerprint
}
