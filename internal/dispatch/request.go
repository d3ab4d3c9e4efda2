package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// request is a caller's request in progress.
type request struct {
	id          model.RequestID
	route       *catalog.Route
	service     model.ServiceName
	runTimes    *runTimes
	object      uint64
	sticky      bool          // servers answer faster if they have the object warm
	objective   time.Duration // time within which an answer has its full value
	distance    time.Duration // placement cost of a server in another region
	deadline    model.Instant
	replayable  bool
	server      *server // server of the running attempt, nil if there is none
	tried       []*server
	sends       int // attempts that may have reached a server
	failedDials int // attempts that failed without a connection
	startedAt   model.Instant
	objectKnown bool // the server was believed to have the object warm
	mayHaveRun  bool // an earlier attempt may have run
	replaced    bool // the attempt was cancelled in order to retry elsewhere
	arrivedAt   model.Instant
	// failedChoice is set if no server was found.
	failedChoice *FailedChoice
}

const (
	// maxTimeout is the timeout of a request for which neither the caller nor the route
	// sets one, and the maximum for all others.
	maxTimeout = 30 * time.Second
	// maxFailedDials bounds the attempts that fail without a connection.
	maxFailedDials = 3
	// maxIdleOnce bounds the idle time of a reused connection for requests that must not
	// run twice. Such a request cannot be retried if the connection breaks.
	maxIdleOnce = 1500 * time.Millisecond
)

func (d *Dispatcher) requestArrived(ev *RequestArrived) {
	if d.config == nil {
		d.add(&Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: model.CauseNoConfiguration, RetryAfter: defaultRetryAfter})
		return
	}
	route := d.config.Match(ev.Host, ev.Path)
	if route == nil {
		d.add(&Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: model.CauseNoRoute, Configuration: d.config.Version, Inputs: &Inputs{HostKnown: d.config.KnowsHost(ev.Host)}})
		return
	}
	q := &request{
		id:         ev.Request,
		route:      route,
		service:    d.splits[route.Name].next(),
		object:     objectHash(route, ev.Affinity, ev.Path),
		sticky:     route.Sticky && ev.Affinity != "",
		objective:  objective(route),
		deadline:   ev.At.Add(effectiveTimeout(ev.CallerTimeout, route.Timeout)),
		replayable: ev.Replayable,
		arrivedAt:  ev.At,
	}
	q.runTimes = d.service(q.service).runTimesOf(route)
	d.requests[q.id] = q
	d.send(ev.At, q)
}

// objective returns the route's objective, or else half of the time that its requests may
// take.
func objective(r *catalog.Route) time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return effectiveTimeout(0, r.Timeout) / 2
}

// effectiveTimeout returns the shorter of the caller's and the route's timeout, but at
// most maxTimeout; 0 means unset.
func effectiveTimeout(caller, route time.Duration) time.Duration {
	timeout := maxTimeout
	for _, bound := range [...]time.Duration{caller, route} {
		if bound > 0 {
			timeout = min(timeout, bound)
		}
	}
	return timeout
}

// send sends a request to the best server, or refuses it if there is none.
func (d *Dispatcher) send(now model.Instant, q *request) {
	left := q.deadline.Sub(now)
	if left <= 0 {
		d.refuse(q, model.CauseDeadline, 0)
		return
	}
	c := d.choose(now, q)
	if c.server == nil {
		q.failedChoice = d.describeFailedChoice(now, q)
		d.refuse(q, c.cause, c.wait)
		return
	}
	s := c.server
	q.server = s
	q.tried = append(q.tried, s)
	q.startedAt = now
	q.objectKnown = s.warm.contains(now, q.object)
	q.sends++
	if s.inFlight == 0 {
		s.busySince = now
	}
	s.inFlight++
	d.overflow.countSend(now, c.moved)
	if s.cold(now) {
		s.coldSends.Add(now)
	}
	if q.sends == 1 {
		d.service(q.service).budget.RecordSend(now)
	}
	entry := s.entry // a copy, as a later Step may change s.entry before this one is read
	send := &Send{
		Request:  q.id,
		Server:   &entry,
		TimeLeft: left,
		Attempt:  q.sends + q.failedDials,
		Kind:     q.route.Kind,
		Decision: Decision{
			Route:         q.route.Name,
			Configuration: d.config.Version,
			Object:        q.object,
			ObjectKnown:   q.objectKnown,
			Moved:         c.moved,
			Load:          s.load(now),
			LoadAge:       s.loadAge(now),
			Slots:         s.entry.Slots,
			Objective:     q.objective,
			Elapsed:       now.Sub(q.arrivedAt),
		},
	}
	if !q.route.Kind.Repeatable() {
		send.MaxIdle = maxIdleOnce
	}
	d.add(send)
}

// refuse refuses a request. The outcome is NotRun only if the request certainly did not
// run.
func (d *Dispatcher) refuse(q *request, cause model.Cause, retryAfter time.Duration) {
	outcome := model.NotRun
	if q.mayHaveRun {
		outcome, retryAfter = model.Unknown, 0
	}
	d.add(&Refuse{
		Request:       q.id,
		Outcome:       outcome,
		Cause:         cause,
		RetryAfter:    retryAfter,
		Route:         q.route.Name,
		Configuration: d.config.Version,
		Inputs:        d.inputsOf(q),
	})
	delete(d.requests, q.id)
}

func (d *Dispatcher) attemptEnded(ev *AttemptEnded) {
	q := d.requests[ev.Request]
	if q == nil || q.server == nil {
		return
	}
	s := q.server
	q.server = nil
	s.inFlight--
	if ev.Report.HasLoad || ev.Result == event.AttemptComplete || ev.Result == event.AttemptFailed {
		s.answeredAt = ev.At
	}
	s.applyReport(ev.At, &ev.Report, s.inFlight)
	d.updateHealth(ev, s)
	switch ev.Result {
	case event.AttemptComplete:
		d.recordRunTime(ev.At, q, s)
	case event.AttemptFailed:
		// The complete 5xx answer has already been passed on.
	case event.AttemptNotSent:
		q.sends--
		q.failedDials++
		d.retry(ev, q, model.CauseConnect, true)
	case event.AttemptShed:
		d.retry(ev, q, model.CauseShed, false)
	case event.AttemptCancelled:
		q.mayHaveRun = true
		if !q.replaced {
			d.refuse(q, model.CauseCallerGone, 0)
			return
		}
		q.replaced = false
		d.retry(ev, q, model.CauseTimeout, false)
	default:
		q.mayHaveRun = true
		if !q.route.Kind.Repeatable() {
			d.refuse(q, causeOf(ev.Result), 0)
			return
		}
		d.retry(ev, q, causeOf(ev.Result), false)
	}
}

// recordRunTime records the run time of a request and that the server has its object
// warm.
func (d *Dispatcher) recordRunTime(now model.Instant, q *request, s *server) {
	run := now.Sub(q.startedAt)
	if s.region != d.settings.Region {
		run = max(0, run-regionRoundTrip)
	}
	if q.objectKnown {
		q.runTimes.warm.add(run.Seconds())
		q.runTimes.unqueued.add(run.Seconds())
	} else if !s.cold(now) {
		q.runTimes.cold.add(run.Seconds())
	}
	s.warm.add(now, q.object)
}

// retry sends a request to another server if the limits on retries permit it. If notSent
// is true, the attempt did not reach its server and costs no retry budget.
func (d *Dispatcher) retry(ev *AttemptEnded, q *request, cause model.Cause, notSent bool) {
	switch {
	case ev.BodyNotReplayable && !q.replayable:
		d.refuse(q, cause, defaultRetryAfter)
	case notSent && q.failedDials >= maxFailedDials, !notSent && q.sends >= q.route.Attempts:
		d.refuse(q, cause, defaultRetryAfter)
	case !notSent && !d.service(q.service).budget.Take(ev.At, d.instances):
		d.refuse(q, model.CauseRetryBudget, defaultRetryAfter)
	default:
		d.send(ev.At, q)
	}
}

func causeOf(result event.AttemptResult) model.Cause {
	switch result {
	case event.AttemptTimeout:
		return model.CauseTimeout
	case event.AttemptTruncated:
		return model.CauseAnswerIncomplete
	default:
		return model.CauseConnectionBroken
	}
}
