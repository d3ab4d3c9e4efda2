package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// strikeSpacing is the time within which failures of several servers may have one cause.
const strikeSpacing = 500 * time.Millisecond

// recordCrashEvidence updates the detection of requests that crash servers. The load
// pattern is a request that crashes whichever server runs it and that its caller sends
// again and again, to any instance.
func (d *Dispatcher) recordCrashEvidence(ev *AttemptEnded, q *request, a *attempt) {
	switch ev.Result {
	case event.AttemptComplete, event.AttemptFailed:
		d.suspects.Completed(ev.At, q.fingerprint)
	case event.AttemptBroken, event.AttemptStaleBroken:
		if d.suspects.RecentlyCompleted(ev.At, q.fingerprint) {
			return
		}
		d.logStrikes(ev.At, a.server, d.suspects.ConnectionBroken(ev.At, q.fingerprint, a.server.incarnation(), a.startedAt))
		d.probeBroken(ev.At, a.server)
	case event.AttemptTruncated:
		if d.suspects.RecentlyCompleted(ev.At, q.fingerprint) {
			return
		}
		d.suspects.ResponseTruncated(ev.At, q.fingerprint, a.server.incarnation(), a.startedAt)
		d.probeBroken(ev.At, a.server)
	case event.AttemptTimeout, event.AttemptCancelled:
		d.suspects.Unanswered(ev.At, q.fingerprint, a.server.incarnation(), a.startedAt)
	case event.AttemptNotSent:
		if ev.Refused {
			d.serverCrashed(ev.At, a.server)
		}
	}
	if a.server.removedAt > a.server.answeredAt {
		d.lostAtEnded(ev.At, a.server)
	}
}

// admitSuspect decides whether a request that may have crashed servers is sent. If not, it
// returns after what time it may be, 0 for never.
func (d *Dispatcher) admitSuspect(now model.Instant, fingerprint uint64) (admitted bool, retryAfter time.Duration) {
	switch {
	case !d.suspects.HasStrike(now, fingerprint):
		return true, 0
	case d.suspects.Blocked(now, fingerprint):
		return false, 0
	}
	if left := d.suspects.SpacingLeft(now, fingerprint); left > 0 {
		return false, left
	}
	if d.suspects.Doubtful(now, fingerprint) && !d.mayTry(now, fingerprint) {
		return false, defaultRetryAfter
	}
	return true, 0
}

// mayTry reports whether this instance may send a doubtful request. The load pattern is a
// request that comes at all instances at the same moment: one of them sends it.
func (d *Dispatcher) mayTry(now model.Instant, fingerprint uint64) bool {
	share := d.instances.Share(now, pacing.Bound{Key: fingerprint, Units: 1, Span: health.TrialInterval})
	return share > 0 && d.suspects.Trial(now, fingerprint)
}

// probeBroken starts a health check of a server at which a connection broke. A refused
// connection shows that the server crashed.
func (d *Dispatcher) probeBroken(now model.Instant, s *server) {
	svc := d.config.Service(s.entry.Service)
	if svc == nil || s.probing || s.misdirected || s.ejectedUntil != 0 || s.unlistedAt != 0 || d.checkWait(now, s) > 0 {
		return
	}
	s.probedBroken = true
	d.startProbe(now, s, svc.HealthPath, ProbeBroken)
}

// brokenServerProbed applies the health check of a server that is not ejected.
func (d *Dispatcher) brokenServerProbed(ev *ServerProbed, s *server) {
	if ev.OwnShortage {
		return
	}
	s.applyReport(ev.At, ev.At, &ev.Report, s.inFlight)
	d.noteReachable(ev, s)
	switch {
	case ev.Refused:
		d.serverCrashed(ev.At, s)
		d.eject(ev.At, s, "connection refused")
	case ev.Misdirected:
		d.serverEnded(ev.At, s)
	}
}

// serverCrashed records a strike against each request that may have crashed a server.
func (d *Dispatcher) serverCrashed(now model.Instant, s *server) {
	d.logStrikes(now, s, d.suspects.ServerFailed(now, s.incarnation()))
}

// serverSilent records a strike against each request that a server has not answered and that
// may have crashed it. The load pattern is a request that crashes servers whose machines lose
// their power, so that no connection breaks.
func (d *Dispatcher) serverSilent(now model.Instant, s *server) {
	d.noteUnanswered(now, s)
	d.logStrikes(now, s, d.suspects.ServerSilent(now, s.incarnation(), s.answeredAt))
}

// serverEnded is serverSilent for a server of which the next start, or another server at its
// address, is known. The load pattern is a request that crashes servers which are back before
// a health check reaches them.
func (d *Dispatcher) serverEnded(now model.Instant, s *server) {
	d.noteUnanswered(now, s)
	d.lostAtEnded(now, s)
}

// serverRemoved records a strike against each request whose attempt at a server was lost before
// the server's entry was removed, unless it has answered since. The load pattern is a request
// that crashes servers whose entries are removed before a health check reaches their addresses.
//
// Some servers leave without reporting it and go on serving, so attempts that are still
// running count only once they are lost.
func (d *Dispatcher) serverRemoved(now model.Instant, s *server) {
	if s.leaves() {
		return
	}
	s.removedAt = now
	d.lostAtEnded(now, s)
}

// addressTaken is serverEnded for the servers at whose address a later one has started.
func (d *Dispatcher) addressTaken(now model.Instant, entry *catalog.Server) {
	for _, s := range d.byAddress[entry.Address] {
		if s.entry.StartedMillis < entry.StartedMillis {
			d.serverEnded(now, s)
		}
	}
}

// dropAddress removes a server from those at its address.
func (d *Dispatcher) dropAddress(s *server) {
	list := slices.DeleteFunc(d.byAddress[s.entry.Address], func(other *server) bool { return other == s })
	if len(list) == 0 {
		delete(d.byAddress, s.entry.Address)
		return
	}
	d.byAddress[s.entry.Address] = list
}

// lostAtEnded records a strike against each request whose attempt at a server that has ended
// was lost after the server's last answer.
func (d *Dispatcher) lostAtEnded(now model.Instant, s *server) {
	d.logStrikes(now, s, d.suspects.ServerEnded(now, s.incarnation(), s.answeredAt))
}

// noteUnanswered records the attempts that run at a server that cannot answer them.
func (d *Dispatcher) noteUnanswered(now model.Instant, s *server) {
	for _, q := range d.requestsAt(s) {
		for _, a := range q.running {
			if a.server == s {
				d.suspects.Unanswered(now, q.fingerprint, s.incarnation(), a.startedAt)
			}
		}
	}
}

// requestsAt returns the requests that are running at a server, in order of their arrival.
func (d *Dispatcher) requestsAt(s *server) []*request {
	var list []*request
	for _, q := range d.requests {
		if slices.ContainsFunc(q.running, func(a *attempt) bool { return a.server == s }) {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (d *Dispatcher) logStrikes(now model.Instant, s *server, fingerprints []uint64) {
	for _, fingerprint := range fingerprints {
		message := "suspected of crashing servers"
		switch {
		case d.suspects.Blocked(now, fingerprint):
			message = "refused from now on"
		case d.suspects.Doubtful(now, fingerprint):
			message = "sent by one instance only"
		}
		d.warn(now, fmt.Sprintf("request %016x", fingerprint), message, fmt.Sprintf("no answer from %s, and the server failed", s.entry.ID))
	}
}

// Suspects returns the requests that are suspected of crashing servers.
func (d *Dispatcher) Suspects(now model.Instant) []membership.Suspect {
	return d.suspects.Snapshot(now)
}

// ChangedSuspects returns the suspects that have changed since its last call, for peers.
func (d *Dispatcher) ChangedSuspects(now model.Instant) []membership.Suspect {
	return d.suspects.TakeChanges(now)
}
