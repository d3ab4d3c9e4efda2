// Package fairshare divides what a contended resource serves among the parties that use it, by
// weighted max-min: a party that asks for less than its share gets what it asks for, and the
// others divide the rest by their weights.
//
// The load patterns are one party of many that sends several times its usual load, parties of
// very different weight, and callers that repeat refused requests at once. Repetitions count
// as demand, which is safe: the demand of a party never raises its own level or that of others
// (see Level). The package reads no clock and does no I/O.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

const (
	// Window is the span of the counters: long enough to hold some requests of each party at an
	// instance with tens of requests a second, short enough to follow a flood within seconds.
	Window = 2 * time.Second
	// levelAge is how long a level is used. Its calculation takes time in proportion to the
	// number of parties and must not be made for each request.
	levelAge = 100 * time.Millisecond
)

// Claim is what one party asks of the resource.
type Claim struct {
	Demand float64
	Weight float64 // must be positive
}

// Level returns the largest amount per weight that parties may get so that all of them together
// get no more than capacity, infinity if their demand does not reach it. A party gets the
// smaller of its demand and its weight times the level. More demand of any party never raises
// the level. The claims are reordered.
func Level(claims []Claim, capacity float64) float64 {
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight), cmp.Compare(a.Weight, b.Weight))
	})
	var weight float64
	for _, c := range claims {
		weight += c.Weight
	}
	for _, c := range claims {
		level := max(0, capacity) / weight
		if c.Demand > c.Weight*level {
			return level
		}
		capacity -= c.Demand
		weight -= c.Weight
	}
	return math.Inf(1)
}

// Shares counts what parties asked for and got in the last Window. Its size is bounded by the
// number of parties that may do so.
type Shares[K cmp.Ordered] struct {
	parties map[K]*party
	claims  []Claim // reused
	level   float64
	levelAt model.Instant
}

type party struct {
	weight   float64
	arrived  *pacing.Counter
	admitted *pacing.Counter
	promised model.Instant // latest time at which a refused caller was told to return
}

// Use is a party's use of the resource in the last Window.
type Use struct {
	Demand, Admitted int
	// Due is the number of requests up to which the party is within its share, infinity while
	// the resource serves all that it is asked for.
	Due float64
}

// New returns Shares without parties.
func New[K cmp.Ordered]() *Shares[K] {
	return &Shares[K]{parties: map[K]*party{}, level: math.Inf(1)}
}

// Arrived counts a request of a party with the given positive weight.
func (s *Shares[K]) Arrived(now model.Instant, key K, weight float64) {
	p := s.parties[key]
	if p == nil {
		p = &party{arrived: pacing.NewCounter(Window), admitted: pacing.NewCounter(Window)}
		s.parties[key] = p
	}
	p.weight = weight
	p.arrived.Add(now, 1)
}

// Admitted counts n requests that the resource accepts; a negative n takes back requests that
// were counted and did not run.
func (s *Shares[K]) Admitted(now model.Instant, key K, n int) {
	if p := s.parties[key]; p != nil {
		p.admitted.Add(now, n)
	}
}

// Use returns a party's use of the resource.
func (s *Shares[K]) Use(now model.Instant, key K) Use {
	if s.levelIsOld(now) {
		s.forgetIdle(now)
		s.level, s.levelAt = s.newLevel(now), now
	}
	return s.Peek(now, key)
}

// Peek is Use for questions: it changes nothing that later calls depend on.
func (s *Shares[K]) Peek(now model.Instant, key K) Use {
	p := s.parties[key]
	if p == nil {
		return Use{Due: math.Inf(1)}
	}
	level := s.level
	if s.levelIsOld(now) {
		level = s.newLevel(now)
	}
	return Use{Demand: p.arrived.Count(now), Admitted: p.admittedCount(now), Due: p.weight * level}
}

// admittedCount is not negative: a request may be taken back after it has left the window.
func (p *party) admittedCount(now model.Instant) int { return max(0, p.admitted.Count(now)) }

func (s *Shares[K]) levelIsOld(now model.Instant) bool {
	return s.levelAt == 0 || now.Sub(s.levelAt) >= levelAge
}

// newLevel calculates the level.
func (s *Shares[K]) newLevel(now model.Instant) float64 {
	s.claims = s.claims[:0]
	var capacity int
	for _, p := range s.parties {
		demand, admitted := p.arrived.Count(now), p.admittedCount(now)
		if demand == 0 && admitted == 0 {
			continue
		}
		capacity += admitted
		s.claims = append(s.claims, Claim{Demand: float64(max(demand, admitted)), Weight: p.weight})
	}
	return Level(s.claims, float64(capacity))
}

// Retain forgets the parties for which keep reports false.
func (s *Shares[K]) Retain(keep func(K) bool) {
	for key := range s.parties {
		if !keep(key) {
			delete(s.parties, key)
		}
	}
}

// forgetIdle forgets parties without requests in the last Window.
func (s *Shares[K]) forgetIdle(now model.Instant) {
	for key, p := range s.parties {
		if p.arrived.Count(now) == 0 && p.admittedCount(now) == 0 && p.promised <= now {
			delete(s.parties, key)
		}
	}
}

// maxReturnStep bounds the time between two callers of a party that are told to return, so that
// some times are left before returnHorizon. It divides no round time, so that callers who are told
// times after the horizon has been reached do not get those of the callers before them.
const maxReturnStep = 230 * time.Millisecond

// returnHorizon bounds the times beyond the earliest that callers are told to wait: the counters
// tell nothing about a load that is further ahead than they look back.
const returnHorizon = Window

// ReturnTime returns how long a refused caller of a party should wait, at least earliest. Each
// caller that is refused while others were told to return comes later than they do, by the time
// in which the party is due one request, so that they do not all return at once. Times beyond
// returnHorizon begin again after earliest.
func (s *Shares[K]) ReturnTime(now model.Instant, key K, earliest time.Duration) time.Duration {
	p := s.parties[key]
	if p == nil {
		return earliest
	}
	use := s.Use(now, key)
	due := min(use.Due, float64(use.Admitted))
	step := min(maxReturnStep, scale(Window, 1/max(1, due)))
	wait := max(earliest, p.promised.Add(step).Sub(now))
	if over := wait - earliest - returnHorizon; over > 0 {
		wait = earliest + over%returnHorizon
	}
	p.promised = now.Add(wait)
	return wait
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
