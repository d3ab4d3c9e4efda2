package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// ejectFirst is how long a server is left alone after its first failure to
	// take a connection; it doubles up to ejectMost.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectBroken is how many broken answers in a row eject a server.
	maxBrokenAnswers = 3
)

// recentAnswer is how recent an answer must be that says more than a health check which
// waited for a slot in vain: about as long as such a check waits.
const recentAnswerAge = time.Second

// noteHealth learns from the end of an attempt.
func (d *Dispatcher) updateHealth(ev *AttemptEnded, s *server) {
	switch {
	case ev.Misdirected:
		s.misdirected = true
		d.record(ev.At, string(s.entry.ID), "not used", "another server answers at its address")
		d.add(&Condemn{Server: &s.entry})
	case ev.Result == event.AttemptNotSent:
		d.eject(ev.At, s, "it takes no connection")
	case ev.Result == event.AttemptShed:
		s.shed.add(1)
	case ev.Result == event.AttemptComplete, ev.Result == event.AttemptFailed:
		s.failures = 0
		s.ejectedUntil = 0
		s.shed.add(0)
	case ev.Result == event.AttemptCancelled:
	default:
		d.recordBrokenAttempt(ev, s)
	}
	if ev.Draining {
		s.entry.Draining = true
	}
}

func (d *Dispatcher) recordBrokenAttempt(ev *AttemptEnded, s *server) {
	if ev.Result == event.AttemptTimeout || ev.Result == event.AttemptStaleBroken {
		// Says more of the load or of the connection than of the server; one that is
		// silent fails to take the next connection.
		d.add(&Condemn{Server: &s.entry})
		return
	}
	d.noteServerLoss(ev.At, s)
	s.failures++
	if s.failures >= maxBrokenAnswers {
		d.eject(ev.At, s, "its answers break off")
	}
}

func (d *Dispatcher) eject(now model.Instant, s *server, why string) {
	if now < s.ejectedUntil {
		return
	}
	d.noteServerLoss(now, s)
	s.suspected = false
	s.failures++
	wait := min(maxEjection, minEjection<<min(s.failures-1, 4))
	s.ejectedUntil = now.Add(wait)
	d.record(now, string(s.entry.ID), "ejected", why)
	d.add(&Condemn{Server: &s.entry})
}

// probeEjected asks servers whose ejection ends whether they are back.
func (d *Dispatcher) probeEjected(now model.Instant) {
	if d.config == nil {
		return
	}
	for _, svc := range d.config.Services {
		for _, s := range d.byService[svc.Name] {
			if s.ejectedUntil == 0 || now < s.ejectedUntil || s.probing || s.misdirected || s.unlistedAt != 0 {
				continue
			}
			s.probing = true
			d.add(&Probe{Server: &s.entry, Path: svc.HealthPath})
		}
	}
}

// serverProbed ends an ejection, or prolongs it. A server that was away comes back
// without what it knew; one that was only slow to answer has forgotten nothing.
func (d *Dispatcher) serverProbed(ev *ServerProbed) {
	s := d.servers[ev.Server]
	if s == nil {
		return
	}
	s.probing = false
	s.applyReport(ev.At, &ev.Report, s.inFlight)
	suspected := s.suspected
	s.suspected = false
	if !ev.Healthy && !ev.Reached {
		d.replaceAttempts(s)
	}
	if suspected && ev.Reached && ev.At.Sub(s.answeredAt) < recentAnswerAge {
		s.ejectedUntil = 0
		d.record(ev.At, string(s.entry.ID), "used again", "it has answered meanwhile")
		return
	}
	if !ev.Healthy {
		s.ejectedUntil = 0
		d.eject(ev.At, s, "its health check fails")
		return
	}
	s.ejectedUntil = 0
	s.failures = 0
	if !suspected {
		s.warm = warmSet{}
	}
	d.record(ev.At, string(s.entry.ID), "used again", "its health check passes")
}
