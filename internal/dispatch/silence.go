package dispatch

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// silentRuns is how many longest usual runs a busy server may take without any
	// answer before it is suspected.
	silentRuns = 2
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
		limit := d.silenceLimit(svc.Name)
		for _, s := range d.byService[svc.Name] {
			if s.inFlight == 0 || s.ejectedUntil != 0 || s.gone {
				continue
			}
			if now.Sub(max(s.busySince, s.answeredAt)) > limit {
				s.ejectedUntil = now // checked at once
				d.record(now, string(s.entry.ID), "suspected", "it answers nothing")
			}
		}
	}
}

func (d *Dispatcher) silenceLimit(name model.ServiceName) time.Duration {
	return max(minSilence, silentRuns*seconds(d.service(name).coldRun.value))
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
