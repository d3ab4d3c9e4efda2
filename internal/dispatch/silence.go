package dispatch

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// silentRunTimes is how long a busy server may go without any answer before it is
	// suspected, in multiples of the run time of slow requests.
	silentRunTimes = 2
	// silentColdFactor is how much longer a cold server may take. The platform does not say
	// how much slower cold servers are.
	silentColdFactor = 2
	// minSilence is the lower bound of that time, for servers with few observations.
	minSilence = 800 * time.Millisecond
)

// ejectSilent ejects servers that have requests in flight but answer none, until a
// health check on a new connection shows whether they are alive. A server that lost power
// answers nothing and breaks no connection.
func (d *Dispatcher) ejectSilent(now model.Instant) {
	if d.config == nil {
		return
	}
	for _, svc := range d.config.Services {
		run := d.service(svc.Name).longestRunTime(now)
		for _, s := range d.byService[svc.Name] {
			if s.inFlight == 0 || s.ejectedUntil != 0 || s.misdirected {
				continue
			}
			if now.Sub(s.silentSince()) > d.silenceLimit(now, s, run) {
				s.ejectedUntil = now // health check is due immediately
				s.suspected = true
				d.reindex(now, s)
				d.warn(now, string(s.entry.ID), "suspected", "no answer to any request in flight")
			}
		}
	}
}

// silenceLimit returns how long a busy server may go without any answer. It grows with
// the queue, because a request may have to wait for those before it.
//
// The load pattern is a fleet of many instances, each with one request at a server at a
// time: any slow answer is a silence, and most instances have seen few answers.
func (d *Dispatcher) silenceLimit(now model.Instant, s *server, run time.Duration) time.Duration {
	batches := max(1, s.load(now)/float64(max(1, s.entry.Slots)))
	if s.cold(s.silentSince()) {
		batches *= silentColdFactor
	}
	return max(minSilence, scale(run, silentRunTimes*batches))
}

// silentSince returns since when a busy server has answered neither a request nor a health
// check.
func (s *server) silentSince() model.Instant { return max(s.busySince, s.answeredAt, s.checkedAt) }

// hedgeAttempts starts a second attempt of each repeatable request at a server that did not
// accept a connection for its health check. The running attempts go on: the server may
// have lost power, or be at work with a full queue of new connections. A second attempt
// that is not possible now is made as soon as it is.
func (d *Dispatcher) hedgeAttempts(now model.Instant) {
	var stuck []model.RequestID
	for id, q := range d.requests {
		if q.inDoubt() {
			stuck = append(stuck, id)
		}
	}
	slices.Sort(stuck)
	for _, id := range stuck {
		d.hedge(now, d.requests[id])
	}
}

// hedge starts a second attempt of a request, if its limits, a server and the retry budget
// permit it.
func (d *Dispatcher) hedge(now model.Instant, q *request) {
	if q.deadline <= now || !q.mayHedge() || !d.stillAdmitted(q) {
		return
	}
	c := d.choose(now, q)
	if c.server == nil || !q.hedgePaid && !d.service(q.service).budget.Take(now, d.instances) {
		return
	}
	q.hedgePaid = false
	d.add(&Hedge{Send: d.startAttempt(now, q, c)})
}
