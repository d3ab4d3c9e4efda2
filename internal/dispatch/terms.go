package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// serverTerms is what a server last said of what it takes, and what this instance has made of
// it.
type serverTerms struct {
	membership.Terms
	// at is when the server last said so, to this instance or to a peer.
	at      model.Instant
	endedAt model.Instant // when a limit was last found to have ended
	sends   pacing.Window // of requests and health checks, since the server named a limit
	// pausedUntil is until when the server wants nothing from this instance.
	pausedUntil model.Instant
	// resuming reports that the server has not answered a request since its pause.
	resuming bool
	lending  *lending // of the units of a limit, nil without a limit
}

const (
	// lessUrgentSpan is how much longer less urgent requests wait for a unit, so that more
	// urgent ones find one.
	lessUrgentSpan = 1.5
	// restateTime is the time for which the end of a limit is confirmed to peers, whose
	// message that it holds may still be on its way.
	restateTime = 15 * time.Second
	// maxUnlistedTerms bounds what is kept of servers that are not listed.
	maxUnlistedTerms = 1024
	// maxPauseSpread is how much later than asked, as a fraction of the pause, an instance uses
	// a server again, so that not all instances do so at the same moment.
	maxPauseSpread = 0.25
)

// countSend counts a request or health check at a server that names a limit.
func (t *serverTerms) countSend(now model.Instant) {
	if t.Limited {
		t.sends.Add(now)
	}
}

// takes returns the time until this instance may send a server a request, 0 if it may
// immediately, and what the wait is for: all that the server says and that its instances share
// of it. Servers that leave, or may not take the request for another reason, are excluded
// before.
func (d *Dispatcher) takes(now model.Instant, s *server, q *request) (time.Duration, FullReason) {
	cold := d.coldWait(now, s)
	if d.settings.RandomServers {
		return cold, FullCold
	}
	if s.inFlight >= d.connectionShare(now, s) {
		return max(minWait, q.runTimes.slotTime()), FullConnections
	}
	if wait := d.termsWait(now, s, q); wait > 0 {
		return wait, FullTerms
	}
	if queue := d.queueWait(now, s, q); queue >= cold {
		return queue, FullQueue
	}
	return cold, FullCold
}

// termsWait returns the time until this instance may send the server a request by what the
// server says it takes, 0 if it may immediately.
//
// The load patterns are a server in need among others that have room, all servers of a service
// in need, and limits of less than one request a second for each instance. The limit is
// divided among the instances without messages (pacing.Fleet). If routes of different priority
// lead to the service, the less urgent ones use the units that more urgent ones leave.
func (d *Dispatcher) termsWait(now model.Instant, s *server, q *request) time.Duration {
	if wait := s.pauseWait(now); wait > 0 || !s.terms.Limited {
		return wait
	}
	share, span := d.limitShare(now, s)
	if q.lessUrgent && s.terms.lending.urgentWanted(now) {
		span = scale(span, lessUrgentSpan)
	}
	return s.terms.sends.TimeUntilBelowWithin(now, share, span)
}

// pauseWait returns the time until a server that has refused a request wants another one. After
// the pause one request at a time goes there until the server has answered one.
//
// The load pattern is a server in need that all instances have just turned to.
func (s *server) pauseWait(now model.Instant) time.Duration {
	switch wait := s.terms.pausedUntil.Sub(now); {
	case wait > 0:
		return wait
	case s.terms.resuming && s.inFlight > 0:
		return minWait
	default:
		return 0
	}
}

// pause notes that a server wants nothing for some time.
func (d *Dispatcher) pause(now model.Instant, s *server, length time.Duration) {
	spread := float64(xxh3.HashStringSeed(string(d.settings.Self), s.hash)>>11) / (1 << 53)
	until := now.Add(length + scale(length, maxPauseSpread*spread))
	if until <= s.terms.pausedUntil {
		return
	}
	if !s.terms.resuming {
		d.record(now, string(s.entry.ID), fmt.Sprintf("wants nothing for %s", length), "refused with Retry-After")
	}
	s.terms.pausedUntil, s.terms.resuming = until, true
	d.paused[s] = true
}

// resumed notes that a server has answered a request.
func (d *Dispatcher) resumed(now model.Instant, s *server) {
	if s.terms.resuming && now >= s.terms.pausedUntil {
		s.terms.resuming = false
		delete(d.paused, s)
	}
}

// checkWait is termsWait for a health check.
func (d *Dispatcher) checkWait(now model.Instant, s *server) time.Duration {
	if wait := s.terms.pausedUntil.Sub(now); wait > 0 || !s.terms.Limited {
		return max(0, wait)
	}
	share, span := d.limitShare(now, s)
	return s.terms.sends.TimeUntilBelowWithin(now, share, span)
}

// limitShare returns how many requests this instance may send to a server that names a limit
// within a span. If no instance hears of the limit for long, other instances get the units: those
// that have them may receive no requests for the server, and do not learn that it has ended.
func (d *Dispatcher) limitShare(now model.Instant, s *server) (int, time.Duration) {
	if p, ok := d.lentShares(now, s); ok {
		return s.terms.lending.kept(now, p.owned) + s.terms.lending.borrowedUnits(now), p.span
	}
	units, span := pacing.RateUnits(s.terms.Limit, d.instances.Instances())
	return d.instances.Share(now, d.limitBound(now, s, units, span)), span
}

func (d *Dispatcher) limitBound(now model.Instant, s *server, units int, span time.Duration) pacing.Bound {
	turn := uint64(now.Sub(s.terms.at) / membership.TermsLifetime)
	return pacing.Bound{Key: s.hash + turn, Units: units, Near: s.region, Span: span, OutlivesList: true, Strict: true}
}

// termsNamed applies the head of an answer.
func (d *Dispatcher) termsNamed(ev *TermsNamed) {
	if s := d.servers[ev.Server.ID]; s != nil && s.entry.SameIncarnation(&ev.Server) {
		d.applyTerms(ev.At, s, &ev.Report, false)
		d.applyLeaving(ev.At, s, ev.Draining)
	}
}

// termsReceived applies what servers said to other instances. Of servers that are not listed
// yet it is kept: a starting instance may hear of them before it has read the store.
func (d *Dispatcher) termsReceived(ev *TermsReceived) {
	for _, t := range ev.Terms {
		s := d.servers[t.Server]
		switch {
		case s != nil && s.entry.Incarnation() == t.Incarnation:
			d.applyPeerTerms(ev.At, s, t)
		case len(d.unlistedTerms) < maxUnlistedTerms:
			d.unlistedTerms[t.Incarnation] = t
		}
	}
}

func (d *Dispatcher) applyPeerTerms(now model.Instant, s *server, t membership.ServerTerms) {
	if t.At > s.terms.at && now.Sub(t.At) < t.Terms.Lifetime() {
		d.setTerms(now, s, t.Terms, t.At, "told by a peer")
	}
}

// applyUnlistedTerms applies what a peer told of a server before it was listed.
func (d *Dispatcher) applyUnlistedTerms(now model.Instant, s *server) {
	if len(d.unlistedTerms) == 0 {
		return
	}
	incarnation := s.entry.Incarnation()
	if t, ok := d.unlistedTerms[incarnation]; ok {
		delete(d.unlistedTerms, incarnation)
		d.applyPeerTerms(now, s, t)
	}
}

// dropUnlistedTerms forgets what was told of servers that have not been listed since.
func (d *Dispatcher) dropUnlistedTerms(now model.Instant) {
	for incarnation, t := range d.unlistedTerms {
		if now.Sub(t.At) >= t.Terms.Lifetime() {
			delete(d.unlistedTerms, incarnation)
		}
	}
}

// applyTerms applies what a server says in an answer. Without a limit in it, the limit ends
// if the answer is a complete one to a request that was sent after the limit was last named:
// refusals and health checks need not name it.
func (d *Dispatcher) applyTerms(now model.Instant, s *server, r *ServerReport, mayEnd bool) {
	if r.RetryAfter > 0 {
		d.pause(now, s, r.RetryAfter)
	}
	switch {
	case r.HasLimit:
		d.setTerms(now, s, membership.Terms{Limited: true, Limit: r.Limit}, now, "named by the server")
	case r.LimitNamed && s.terms.Limited:
		s.terms.at = now // what cannot be read does not end a limit
	case mayEnd && (s.terms.Limited || s.terms.endedAt != 0 && now.Sub(s.terms.endedAt) < restateTime):
		d.setTerms(now, s, membership.Terms{}, now, "no longer named by the server")
	}
}

// applyLeaving applies an answer that says whether its server is leaving.
func (d *Dispatcher) applyLeaving(now model.Instant, s *server, leaving bool) {
	if leaving {
		terms := s.terms.Terms
		terms.Leaving = true
		d.setTerms(now, s, terms, now, "it says so")
	}
}

func (d *Dispatcher) setTerms(now model.Instant, s *server, terms membership.Terms, at model.Instant, reason string) {
	s.terms.at = at
	d.termed[s] = true
	if terms.Leaving && !s.terms.Leaving {
		d.setLeaving(now, s, reason)
	}
	terms.Leaving = s.terms.Leaving
	if s.terms.Terms == terms {
		return
	}
	s.terms.Terms = terms
	if terms.Limited {
		s.terms.sends.Span = limitMemory(terms.Limit)
		if s.terms.lending == nil {
			s.terms.lending = newLending()
		}
		d.record(now, string(s.entry.ID), fmt.Sprintf("takes %g requests a second", terms.Limit), reason)
		return
	}
	s.terms.sends, s.terms.lending = pacing.Window{}, nil
	s.terms.endedAt = now
	d.record(now, string(s.entry.ID), "takes any number of requests", reason)
}

// setLeaving records that this start of a server is going to end. It gets nothing new; what
// runs there goes on.
//
// The load pattern is a rolling release in which servers say so before their entries do.
func (d *Dispatcher) setLeaving(now model.Instant, s *server, reason string) {
	s.terms.Leaving = true
	d.capacityStale = true
	if !s.entry.Draining {
		d.noteServerLoss(now, s)
		d.record(now, string(s.entry.ID), "leaves", reason)
	}
	d.reindex(now, s)
}

// leaves reports whether a server is going to end, as its entry or the server itself says.
func (s *server) leaves() bool { return s.entry.Draining || s.terms.Leaving }

// limitMemory returns the time for which sends under a limit are remembered.
func limitMemory(limit float64) time.Duration {
	_, span := pacing.RateUnits(limit, math.MaxInt32)
	if _, lent, ok := pacing.LentUnits(limit, math.MaxInt32); ok {
		span = max(span, lent)
	}
	return scale(span, lessUrgentSpan)
}

// shortestTermsWait returns the shortest time until a server of a request's service may take it
// by what the servers say, 0 if none of them is kept from it by that.
func (d *Dispatcher) shortestTermsWait(now model.Instant, q *request) time.Duration {
	var shortest time.Duration
	for _, s := range d.heldBack(now, q) {
		if wait := d.termsWait(now, s, q); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// heldBack returns the servers that may not take a request only for what they say.
func (d *Dispatcher) heldBack(now model.Instant, q *request) []*server {
	var list []*server
	for s := range d.termed {
		if s.entry.Service == q.service && !d.paused[s] && d.excluded(now, s, q) == excludedLimited {
			list = append(list, s)
		}
	}
	for s := range d.paused {
		if s.entry.Service == q.service && d.excluded(now, s, q) == excludedLimited {
			list = append(list, s)
		}
	}
	return list
}

// Terms returns what the servers said lately, for peers.
func (d *Dispatcher) Terms(now model.Instant) []membership.ServerTerms {
	var list []membership.ServerTerms
	for s := range d.termed {
		switch {
		case now.Sub(s.terms.at) < s.terms.Lifetime():
			list = append(list, membership.ServerTerms{
				Server: s.entry.ID, Incarnation: s.entry.Incarnation(), Terms: s.terms.Terms, At: s.terms.at,
			})
		case !s.terms.Limited:
			delete(d.termed, s)
		}
	}
	return list
}
