package dispatch

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// silentRuns is how many longest usual runs a busy server may take without any
	// answer before it is suspected.
	silentRunTimes = 2
	// minSilence covers servers of which little is known yet.
	minSilence = 800 * time.Millisecond
)

// ejectSilent leaves servers alone that hold requests and answer none, until a health
// check on a new connection tells whether they live: a server without power answers
// nothing and breaks no connection.
func (d *Dispatcher) ejectSilent(now model.Instant) {
	if d.config == nil {
		return
	}
	for _, svc := range d.config.Services {
		run := d.service(svc.Name).longestRunTime()
		for _, s := range d.byService[svc.Name] {
			if s.inFlight == 0 || s.ejectedUntil != 0 || s.misdirected {
				continue
			}
			if now.Sub(max(s.busySince, s.answeredAt)) > d.silenceLimit(now, s, run) {
				s.ejectedUntil = now // checked at once
				s.suspected = true
				d.record(now, string(s.entry.ID), "suspected", "it answers nothing")
			}
		}
	}
}

// silenceLimit is how long a busy server may take without any answer: a request may
// have to wait until those before it have been answered.
func (d *Dispatcher) silenceLimit(now model.Instant, s *server, run time.Duration) time.Duration {
	batches := max(1, s.load(now)/float64(max(1, s.entry.Slots)))
	return max(minSilence, scale(run, silentRunTimes*batches))
}

// replaceAttempts sends requests that may be repeated elsewhere, away from a server
// that does not answer its health check either.
func (d *Dispatcher) replaceAttempts(s *server) {
	var stuck []model.RequestID
	for id, q := range d.requests {
		if q.server == s && q.route.Kind.Repeatable() && q.sends < q.route.Attempts {
			stuck = append(stuck, id)
		}
	}
	slices.Sort(stuck)
	for _, id := range stuck {
		d.requests[id].replaced = true
		d.add(&Cancel{Request: id})
	}
}
