package dispatch

import (
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxLapsedTerms bounds what is kept of servers whose entries were removed.
const maxLapsedTerms = 1024

// keepTerms keeps what a server said of itself, and what was sent to it under its limit, beyond
// the removal of its entry. The load pattern is a server in need whose entry lapses for want of
// heartbeats, and is back.
func (d *Dispatcher) keepTerms(now model.Instant, s *server) {
	t := &s.terms
	said := (t.Limited || t.Leaving) && now.Sub(t.at) < t.Lifetime()
	if (said || now < t.pausedUntil) && len(d.lapsedTerms) < maxLapsedTerms {
		d.lapsedTerms[s.entry.Incarnation()] = *t
	}
}

// restoreTerms applies what is kept of a server to the entry of the same start.
func (d *Dispatcher) restoreTerms(now model.Instant, s *server) {
	kept, ok := d.lapsedTerms[s.entry.Incarnation()]
	if !ok {
		return
	}
	delete(d.lapsedTerms, s.entry.Incarnation())
	s.terms = kept
	if kept.resuming {
		d.paused[s] = true
	}
	if kept.Limited || kept.Leaving {
		d.termed[s] = true
		d.record(now, string(s.entry.ID), "what it takes is as before", "its entry is back")
	}
}

// dropLapsedTerms forgets what is kept of servers whose entries have not come back.
func (d *Dispatcher) dropLapsedTerms(now model.Instant) {
	for incarnation, t := range d.lapsedTerms {
		if now >= t.pausedUntil && now.Sub(t.at) >= t.Lifetime() {
			delete(d.lapsedTerms, incarnation)
		}
	}
}
