package pacing

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Member is an instance that shares bounds with the others.
type Member struct {
	ID     model.InstanceID
	Region model.RegionName
	// Weight is the share of the requests that the instance receives, compared with others.
	Weight float64
}

// Bound is a number of whole units that all instances share: requests, retries or
// connections.
type Bound struct {
	Key   uint64 // of what is bounded
	Units int
	// Near is the region whose instances use most of the units, empty if none does.
	Near model.RegionName
	// Span is the length of the sliding window over which the units are counted. An instance
	// uses a unit that another one held only when that one's uses have left the window. If it
	// is 0, units change hands at once.
	Span time.Duration
	// OutlivesList reports that the units left over are also used while the list of instances
	// is older than MaxAge. It is for bounds that may be exceeded a little, if two instances
	// disagree about the list, but must not keep all instances from their units.
	OutlivesList bool
	// Inherited reports that the instance that holds the units keeps them when its process is
	// replaced by another one. It is for bounds of which nothing is used in the first Span of a
	// process.
	Inherited bool
	// Strict reports that an instance that has just joined uses no unit before all others know of
	// it. Otherwise it uses its equal share at once, so that the bound may be exceeded while
	// instances join.
	Strict bool
	// LentFor is how long after an instance has lost a unit others may use it to whom it has
	// lent it, 0 if units are not lent.
	LentFor time.Duration
}

// LentGap is the shortest time from the last use of a lent unit by one instance until another
// one uses it: the span over which a rate is counted, and a margin for requests on their way.
const LentGap = maxRateSpan + time.Second

// Fleet divides bounds among the instances without messages between them. Each instance has
// the whole part of an equal share; the units that are left over, all of them if there are
// more instances than units, belong to the instances that a weighted rendezvous hash ranks
// first.
//
// Instances learn of changes to the fleet at different times, up to MaxAge late. To keep two
// instances from using one unit within a window, an instance that has left keeps its rank, and
// one that has joined uses none of the units left over, and no unit of a strict bound, for MaxAge
// and a window. An instance whose list is older than MaxAge uses none of the units left over
// either. A process uses no unit before it has read a list.
type Fleet struct {
	Self   model.InstanceID
	MaxAge time.Duration
	// StartedAt is when this process started, 0 if long ago.
	StartedAt model.Instant
	// RegisteredAt is when this instance was listed first, without a gap since, 0 if unknown. The
	// list may show that only seconds later.
	RegisteredAt model.Instant

	count    int
	members  map[model.InstanceID]*member
	knownAt  model.Instant // when the list was last known to be the latest
	shares   map[Bound]share
	leaders  map[Bound]model.InstanceID
	inherits bool // as for Inherit
	founding bool // as for SetFounding
}

// member is what an instance knows of one that is or was listed.
type member struct {
	Member
	joinedAt   model.Instant // when it was listed, with any weight; 0 if long ago
	since      model.Instant // when it was listed with its present weight
	inherited  bool          // an earlier process of this instance was listed before
	leftAt     model.Instant // when it was last listed, 0 if it is
	pastWeight float64       // until since
}

// share is this instance's share of a bound.
type share struct {
	equal    int           // whole part of an equal share
	leftOver int           // of the units that are left over
	expires  model.Instant // 0 for never
}

// maxCachedShares bounds the number of cached shares.
const maxCachedShares = 1 << 14

// farWeight is the weight of an instance for a bound near another region, compared with one
// in that region.
const farWeight = 0.05

// Count sets the number of instances, for a Fleet whose members are not known.
func (f *Fleet) Count(instances int) {
	f.count = instances
	clear(f.shares)
	clear(f.leaders)
}

// startedWithin reports whether this process started less than a span ago. An earlier process
// of the instance may have used its share of a bound within the span.
func (f *Fleet) startedWithin(now model.Instant, span time.Duration) bool {
	return f.StartedAt != 0 && now.Sub(f.StartedAt) < span
}

// Instances returns the number of listed instances, at least 1.
func (f *Fleet) Instances() int { return max(1, f.count) }

// Listed reports whether this instance is listed.
func (f *Fleet) Listed() bool {
	self := f.members[f.Self]
	return self != nil && self.leftAt == 0
}

// SetListed replaces the list of instances.
func (f *Fleet) SetListed(now model.Instant, list []Member) {
	f.Count(len(list))
	if f.members == nil {
		f.members = map[model.InstanceID]*member{}
	}
	listed := make(map[model.InstanceID]bool, len(list))
	first := len(f.members) == 0
	for _, m := range list {
		listed[m.ID] = true
		f.list(now, m, first)
	}
	for id, m := range f.members {
		switch {
		case listed[id]:
		case m.leftAt == 0:
			m.leftAt = now
		case now.Sub(m.leftAt) > maxRank:
			delete(f.members, id)
		}
	}
}

// maxRank bounds the time for which an instance that has left is remembered.
const maxRank = 5 * time.Minute

// list records that an instance is listed. One that comes back, or with another weight,
// counts as having joined. Other instances in the first list count as listed for long.
func (f *Fleet) list(now model.Instant, m Member, first bool) {
	known := f.members[m.ID]
	switch {
	case known == nil && first && m.ID != f.Self:
		f.members[m.ID] = &member{Member: m}
	case known == nil && first && f.inherits:
		f.members[m.ID] = &member{Member: m, since: now, inherited: true}
	case known == nil:
		f.members[m.ID] = &member{Member: m, joinedAt: now, since: now}
	case known.leftAt != 0:
		f.founding = f.founding && m.ID != f.Self
		f.members[m.ID] = &member{Member: m, joinedAt: now, since: now, pastWeight: known.Weight}
	case known.Member != m:
		f.founding = f.founding && m.ID != f.Self
		f.members[m.ID] = &member{Member: m, joinedAt: known.joinedAt, since: now, pastWeight: known.Weight}
	}
}

// Inherit records that the first list is recent and names an earlier process of this instance,
// so that other instances have listed it all the time.
func (f *Fleet) Inherit() {
	f.inherits = true
	if self := f.members[f.Self]; self != nil && self.leftAt == 0 {
		self.inherited, self.joinedAt = true, 0
	}
	clear(f.shares)
}

// SetRegistered sets RegisteredAt.
func (f *Fleet) SetRegistered(at model.Instant) {
	if at != f.RegisteredAt {
		f.RegisteredAt = at
		clear(f.shares)
	}
}

// SetFounding records that this instance and all others were first listed at about the same time, so
// that nobody has held a unit before them.
func (f *Fleet) SetFounding() {
	f.founding = true
	clear(f.shares)
}

// Others returns the other listed instances, in no particular order, and false if this one is not
// listed or the list is older than MaxAge.
func (f *Fleet) Others(now model.Instant) ([]model.InstanceID, bool) {
	var list []model.InstanceID
	for id, m := range f.members {
		if id != f.Self && m.leftAt == 0 {
			list = append(list, id)
		}
	}
	return list, f.Listed() && f.Fresh(now)
}

// ready reports whether this instance, the given member, has been listed for long enough to use
// units left over.
func (f *Fleet) ready(now model.Instant, m *member, b Bound) bool {
	since := m.since
	if b.Inherited && f.RegisteredAt != 0 {
		since = min(since, f.RegisteredAt)
	}
	founding := b.Inherited && f.founding && now >= since.Add(f.MaxAge)
	return (b.Inherited && m.inherited) || founding || now >= since.Add(f.handOver(b))
}

// knownToAll reports whether all others that use units of a bound divide it by a number of instances
// that includes this one, and have done so for a window.
func (f *Fleet) knownToAll(now model.Instant, b Bound) bool {
	self := f.members[f.Self]
	switch {
	case f.members == nil: // only the number of instances is known
		return true
	case !f.Listed() || f.startedWithin(now, b.Span): // an earlier process may have used units
		return false
	case self.joinedAt == 0:
		return true
	}
	joined := self.joinedAt
	if f.RegisteredAt != 0 {
		joined = min(joined, f.RegisteredAt)
	}
	return now >= joined.Add(f.handOver(b)) || f.founding && now >= joined.Add(f.MaxAge)
}

// Fresh reports whether the list is not older than MaxAge.
func (f *Fleet) Fresh(now model.Instant) bool {
	return f.knownAt != 0 && now.Sub(f.knownAt) <= f.MaxAge
}

// Holds reports whether this instance holds the unit of a bound of one unit. Unlike Share, it
// is false while the list is older than MaxAge even for the only listed instance, and for one
// that has read an empty list.
func (f *Fleet) Holds(now model.Instant, b Bound) bool {
	return f.Listed() && f.Fresh(now) && f.Share(now, b) > 0
}

// Leads reports whether this instance ranks first among the listed ones for a bound of one
// unit, by a list that is not older than MaxAge. It may not hold the unit yet.
func (f *Fleet) Leads(now model.Instant, b Bound) bool {
	return f.Listed() && f.Fresh(now) && f.Leader(b) == f.Self
}

// Leader returns the listed instance that holds the unit of a bound of one unit, or will hold
// it after the hand-over, by what this instance knows. It is empty if no list is known.
func (f *Fleet) Leader(b Bound) model.InstanceID {
	if id, ok := f.leaders[b]; ok {
		return id
	}
	id := f.LeaderBeside(b, "")
	if f.leaders == nil || len(f.leaders) >= maxCachedShares {
		f.leaders = map[Bound]model.InstanceID{}
	}
	f.leaders[b] = id
	return id
}

// LeaderBeside returns what Leader would return if the given instance were not listed.
func (f *Fleet) LeaderBeside(b Bound, excluded model.InstanceID) model.InstanceID {
	var first model.InstanceID
	firstRank := math.Inf(1)
	for id, m := range f.members {
		if m.leftAt != 0 || id == excluded {
			continue
		}
		if rank := m.rank(b, m.Weight); rank < firstRank || (rank == firstRank && id < first) {
			first, firstRank = id, rank
		}
	}
	return first
}

// Confirm records that the list was the latest at the given time.
func (f *Fleet) Confirm(at model.Instant) {
	if f.knownAt == 0 && at != 0 {
		clear(f.shares)
	}
	f.knownAt = max(f.knownAt, at)
}

// Share returns how many units of a bound this instance may use.
func (f *Fleet) Share(now model.Instant, b Bound) int {
	s := f.share(now, b)
	if b.Span > 0 && !b.OutlivesList && now.Sub(f.knownAt) > f.MaxAge {
		return s.equal
	}
	return s.equal + s.leftOver
}

func (f *Fleet) share(now model.Instant, b Bound) share {
	if s, ok := f.shares[b]; ok && (s.expires == 0 || now < s.expires) {
		return s
	}
	s := f.divide(now, b)
	s.expires = f.nextChange(now, b)
	if f.shares == nil || len(f.shares) >= maxCachedShares {
		f.shares = map[Bound]share{}
	}
	f.shares[b] = s
	return s
}

func (f *Fleet) divide(now model.Instant, b Bound) share {
	self := f.members[f.Self]
	if b.Span > 0 && f.count == 0 && f.knownAt == 0 {
		return share{}
	}
	if b.Strict && !f.knownToAll(now, b) {
		return share{}
	}
	n := f.sharers(now, b)
	s := share{equal: b.Units / n}
	left := b.Units % n
	if left > 0 && f.Listed() && f.ready(now, self, b) && f.ranksBelow(now, b, left) {
		s.leftOver = 1
	}
	return s
}

// ranksBelow reports whether fewer than limit members rank before this instance.
func (f *Fleet) ranksBelow(now model.Instant, b Bound, limit int) bool {
	self := f.members[f.Self]
	own := self.rank(b, self.Weight)
	before := 0
	for _, m := range f.members {
		if m == self || !f.counts(now, m, b) {
			continue
		}
		weight := m.Weight
		if now < m.since.Add(f.handOver(b)) {
			weight = max(weight, m.pastWeight)
		}
		if rank := m.rank(b, weight); rank < own || (rank == own && m.ID < self.ID) {
			before++
		}
		if before >= limit {
			return false
		}
	}
	return true
}

// rank returns the rank of a member for a bound; lower values come first.
func (m *Member) rank(b Bound, weight float64) float64 {
	if b.Near != "" && m.Region != b.Near {
		weight *= farWeight
	}
	hash := float64(xxh3.HashStringSeed(string(m.ID), b.Key)>>11+1) / (1 << 53)
	return -math.Log(hash) / max(weight, math.SmallestNonzeroFloat32)
}

// sharers returns the number of instances that may use a bound's units.
func (f *Fleet) sharers(now model.Instant, b Bound) int {
	n := 0
	for _, m := range f.members {
		if f.counts(now, m, b) {
			n++
		}
	}
	if f.members != nil && f.members[f.Self] == nil {
		n++ // this instance uses its share before a list names it
	}
	return max(n, f.Instances())
}

// counts reports whether a member is listed or may have used a bound's units in the window.
func (f *Fleet) counts(now model.Instant, m *member, b Bound) bool {
	return m.leftAt == 0 || now < m.leftAt.Add(f.handOver(b))
}

// handOver returns the time from a change to the fleet until a unit is used by another
// instance.
func (f *Fleet) handOver(b Bound) time.Duration {
	switch {
	case b.Span == 0:
		return 0
	case b.LentFor > 0:
		return f.MaxAge + b.LentFor + min(b.Span, LentGap)
	}
	return f.MaxAge + b.Span
}

// nextChange returns when a share changes although the list does not, 0 for never.
func (f *Fleet) nextChange(now model.Instant, b Bound) model.Instant {
	var next model.Instant
	for _, m := range f.members {
		for _, at := range [...]model.Instant{
			m.since.Add(f.handOver(b)), m.joinedAt.Add(f.handOver(b)), m.leftAt.Add(f.handOver(b)), f.RegisteredAt.Add(f.handOver(b)),
			m.since.Add(f.MaxAge), m.joinedAt.Add(f.MaxAge), f.RegisteredAt.Add(f.MaxAge), f.StartedAt.Add(b.Span),
		} {
			if at > now && (next == 0 || at < next) {
				next = at
			}
		}
	}
	return next
}
