package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// minEjection is how long a server without earlier failures is ejected. The time
	// doubles with each failure in a row, broken answers included, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxBrokenAnswers is the number of consecutive broken answers that ejects a server.
	maxBrokenAnswers = 3
)

// recentAnswerAge is the maximum age at which an answer outweighs a health check that
// timed out waiting for a slot. It is about as long as such a check waits.
const recentAnswerAge = time.Second

// updateHealth updates a server's health from the result of an attempt.
func (d *Dispatcher) updateHealth(ev *AttemptEnded, s *server) {
	defer d.reindex(ev.At, s)
	switch {
	case ev.Misdirected:
		s.misdirected = true
		d.warn(ev.At, string(s.entry.ID), "not used", "another server answers at its address")
		d.serverEnded(ev.At, s)
		d.add(&ClosePooledConnections{Server: &s.entry})
	case ev.OwnShortage:
	case ev.Result == event.AttemptNotSent:
		d.eject(ev.At, s, "connection failed")
	case ev.Result == event.AttemptShed:
		s.shed.add(1)
	case ev.Result == event.AttemptComplete, ev.Result == event.AttemptFailed:
		s.failures = 0
		s.ejectedUntil = 0
		s.shed.add(0)
		d.resumed(ev.At, s)
	case ev.Result == event.AttemptCancelled:
	default:
		d.recordBrokenAttempt(ev, s)
	}
	if !ev.Misdirected {
		d.applyLeaving(ev.At, s, ev.Draining)
	}
}

func (d *Dispatcher) recordBrokenAttempt(ev *AttemptEnded, s *server) {
	if ev.Result == event.AttemptTimeout || ev.Result == event.AttemptStaleBroken {
		// A timeout indicates load, and a broken reused connection that it was stale:
		// neither shows that the server failed. The next request needs a new
		// connection, which a failed server does not accept.
		d.add(&ClosePooledConnections{Server: &s.entry})
		return
	}
	d.noteServerLoss(ev.At, s)
	s.failures++
	if s.failures >= maxBrokenAnswers {
		d.eject(ev.At, s, "too many broken answers in a row")
	}
}

func (d *Dispatcher) eject(now model.Instant, s *server, reason string) {
	if now < s.ejectedUntil {
		return
	}
	d.noteServerLoss(now, s)
	s.suspected = false
	s.failures++
	wait := min(maxEjection, minEjection<<min(s.failures-1, 4))
	s.ejectedUntil = now.Add(wait)
	d.warn(now, string(s.entry.ID), "ejected", reason)
	d.add(&ClosePooledConnections{Server: &s.entry})
}

// probeEjected starts a health check of each server whose ejection time has passed.
func (d *Dispatcher) probeEjected(now model.Instant) {
	if d.config == nil {
		return
	}
	for _, svc := range d.config.Services {
		for _, s := range d.byService[svc.Name] {
			if s.ejectedUntil == 0 || now < s.ejectedUntil || s.probing || s.misdirected || s.unlistedAt != 0 || d.checkWait(now, s) > 0 {
				continue
			}
			reason := ProbeEjected
			if s.suspected {
				reason = ProbeSuspected
			}
			d.startProbe(now, s, svc.HealthPath, reason)
		}
	}
}

// startProbe starts a health check, which counts for what the server takes.
func (d *Dispatcher) startProbe(now model.Instant, s *server, path string, reason ProbeReason) {
	s.probing = true
	s.terms.countSend(now)
	d.add(&Probe{Server: &s.entry, Path: path, Reason: reason})
}

// serverProbed ends or extends an ejection. A server that was down returns without its
// warm objects; a server that was only slow to answer keeps them.
func (d *Dispatcher) serverProbed(ev *ServerProbed) {
	defer d.reindexByID(ev.At, ev.Server)
	s := d.servers[ev.Server]
	if s == nil {
		return
	}
	s.probing = false
	if !ev.Misdirected {
		d.applyTerms(ev.At, s, &ev.Report, false)
		d.applyLeaving(ev.At, s, ev.Draining)
	}
	broken := s.probedBroken
	s.probedBroken = false
	if broken && s.ejectedUntil == 0 {
		d.brokenServerProbed(ev, s)
		return
	}
	if ev.OwnShortage {
		s.ejectedUntil = ev.At.Add(minEjection) // checked again then
		return
	}
	switch {
	case ev.Refused:
		d.serverCrashed(ev.At, s)
	case ev.Misdirected:
		d.serverEnded(ev.At, s)
	}
	s.applyReport(ev.At, ev.At, &ev.Report, s.inFlight)
	suspected := s.suspected
	s.suspected = false
	d.noteReachable(ev, s)
	if suspected && ev.Reached && ev.At.Sub(s.answeredAt) < recentAnswerAge {
		s.ejectedUntil = 0
		d.record(ev.At, string(s.entry.ID), "used again", "it answered a request recently")
		return
	}
	if !ev.Healthy {
		s.ejectedUntil = 0
		d.eject(ev.At, s, "health check failed")
		return
	}
	s.ejectedUntil = 0
	s.failures = 0
	s.checkedAt = ev.At
	if !suspected {
		s.warm = warmSet{}
	}
	d.record(ev.At, string(s.entry.ID), "used again", "health check passed")
}

// noteReachable records whether a server accepted the connection of a health check. If not, the
// requests that it runs get second attempts.
func (d *Dispatcher) noteReachable(ev *ServerProbed, s *server) {
	s.unreachable = !ev.Healthy && !ev.Reached
	if s.unreachable {
		d.serverSilent(ev.At, s)
		d.hedgeAttempts(ev.At)
	}
}
