package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

// request is a caller's request in progress.
type request struct {
	id    model.RequestID
	route *catalog.Route
	// organisation is the sender, nil if it is unknown or the configuration does not check
	// keys. identifiedBy is the configuration that names it.
	organisation   *catalog.Organisation
	identifiedBy   *catalog.Configuration
	key            catalog.KeyDigest // valid if hasKey is set
	hasKey         bool
	keyChecked     bool // a configuration checked the key, which must not be forwarded
	service        model.ServiceName
	runTimes       *runTimes
	object         uint64
	sticky         bool          // servers answer faster if they have the object warm
	objective      time.Duration // time within which an answer has its full value
	distance       time.Duration // placement cost of a server in another region
	spreadOver     int           // servers among which the object's requests are balanced, 0 for one
	deadline       model.Instant
	replayable     bool
	fingerprint    uint64
	running        []*attempt // oldest first; a second one only while the first is in doubt
	tried          []*server
	sends          int           // attempts that may have reached a server
	failedDials    int           // attempts that failed without a connection
	mayHaveRun     bool          // an earlier attempt may have run
	answered       bool          // an answer is being passed on to the caller
	failed         bool          // a server's failure is held for the caller
	hedgePaid      bool          // the retry budget was charged for an attempt that reached no server
	lessUrgent     bool          // requests of higher priority are sent to the same service
	suspected      bool          // a server had failed beneath the same request before this one arrived
	hypothetical   bool          // only asked about, not to be sent
	arrivalCounted bool          // for the shares of the service
	early          time.Duration // how much earlier it comes than a refusal told it to
	admitted       bool          // counted as admitted for the shares of the service
	// standing is what the request may claim, nil while the service is not short of room.
	standing  *Standing
	arrivedAt model.Instant
	// failedChoice is set if no server was found.
	failedChoice *FailedChoice
	// token is what the request has of the limit of the organisation tokenOf. While the request
	// waits for one, waiting is set. quotaUse is set if it is refused for want of one.
	token    quota.Token
	tokenOf  model.OrganisationName
	waiting  bool
	quotaUse *quota.Use
}

// attempt is a running attempt of a request.
type attempt struct {
	number      int // 1 for the request's first attempt
	server      *server
	startedAt   model.Instant
	objectKnown bool // the server was believed to have the object warm
}

// mayHedge reports whether the request may be sent to a second server while its first
// attempt runs.
func (q *request) mayHedge() bool {
	return q.route.Kind.Repeatable() && q.replayable && !q.suspected && !q.answered && !q.failed &&
		q.sends < q.route.Attempts && q.failedDials < maxFailedDials
}

// inDoubt reports whether the only running attempt is at a server that may have lost power.
func (q *request) inDoubt() bool {
	return len(q.running) == 1 && q.running[0].server.unreachable
}

// takeAttempt removes a running attempt and returns it, or nil if it has already ended.
func (q *request) takeAttempt(number int) *attempt {
	for i, a := range q.running {
		if a.number == number {
			q.running = slices.Delete(q.running, i, i+1)
			return a
		}
	}
	return nil
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
	organisation, admitted := d.identify(route, ev.Key, ev.HasKey)
	if !admitted {
		d.add(&Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: model.CauseUnauthorized, Route: route.Name, Configuration: d.config.Version})
		return
	}
	d.countArrived(ev.At, organisation)
	if organisation != nil && organisation.AllowsNothing() {
		d.add(&Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: model.CauseOverQuota, RetryAfter: nothingAllowedRetryAfter, Organisation: organisation.Name, Route: route.Name, Configuration: d.config.Version})
		return
	}
	if admitted, wait := d.admitSuspect(ev.At, ev.Fingerprint); !admitted {
		d.add(&Refuse{Request: ev.Request, Outcome: model.NotRun, Cause: model.CauseCrashSuspect, RetryAfter: wait, Organisation: nameOf(organisation), Route: route.Name, Configuration: d.config.Version})
		return
	}
	q := &request{
		id:          ev.Request,
		route:       route,
		key:         ev.Key,
		hasKey:      ev.HasKey,
		service:     d.splits[route.Name].next(),
		object:      objectHash(route, ev.Affinity, ev.Path),
		sticky:      route.Sticky && ev.Affinity != "",
		objective:   objective(route),
		deadline:    ev.At.Add(effectiveTimeout(ev.CallerTimeout, route.Timeout)),
		replayable:  ev.Replayable,
		fingerprint: ev.Fingerprint,
		suspected:   d.suspects.HasStrike(ev.At, ev.Fingerprint),
		arrivedAt:   ev.At,
	}
	d.setOrganisation(q, organisation)
	q.runTimes = d.service(q.service).runTimesOf(route)
	q.runTimes.start(ev.At)
	if q.sticky && d.spreads() {
		d.notePopularity(ev.At, q)
	}
	d.requests[q.id] = q
	if admission, wait := d.admitByQuota(ev.At, q); admission == held {
		d.hold(ev.At, q)
	} else if admission == refused {
		d.refuseOverQuota(ev.At, q, wait)
	} else {
		d.send(ev.At, q)
	}
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
	if q.deadline <= now {
		d.refuse(q, model.CauseDeadline, 0)
		return
	}
	if !d.stillAdmitted(q) {
		d.refuse(q, model.CauseUnauthorized, 0)
		return
	}
	if wait, ok := d.hasToken(now, q); !ok {
		d.refuseOverQuota(now, q, wait)
		return
	}
	d.countArrival(now, q)
	d.updateStanding(now, q)
	if q.standing != nil && q.standing.ComesBackEarly {
		d.refuse(q, model.CauseQueueFull, q.early)
		return
	}
	c := d.choose(now, q)
	if c.server == nil {
		q.failedChoice = d.describeFailedChoice(now, q)
		d.countRefusal(now, q, c.cause)
		d.refuse(q, c.cause, d.roomTime(now, q, c.wait))
		return
	}
	d.add(d.startAttempt(now, q, c))
}

// startAttempt records an attempt at the chosen server and returns the effect that makes
// it.
func (d *Dispatcher) startAttempt(now model.Instant, q *request, c choice) *Send {
	s := c.server
	q.tried = append(q.tried, s)
	q.sends++
	a := &attempt{number: q.sends + q.failedDials, server: s, startedAt: now, objectKnown: s.warm.contains(now, q.object)}
	q.running = append(q.running, a)
	if s.inFlight == 0 {
		s.busySince = now
	}
	s.inFlight++
	s.sent++
	d.overflow.countSend(now, c.moved)
	d.countAdmission(now, q)
	if s.cold(now) {
		s.coldSends.Add(now)
	}
	s.terms.countSend(now)
	s.terms.want(now, q)
	if q.sends == 1 {
		d.service(q.service).budget.RecordSend(now)
		d.countSent(now, q.organisation)
	}
	entry := s.entry // a copy, as a later Step may change s.entry before this one is read
	send := &Send{
		Request:      q.id,
		Server:       &entry,
		TimeLeft:     q.deadline.Sub(now),
		Attempt:      a.number,
		Kind:         q.route.Kind,
		Organisation: nameOf(q.organisation),
		KeyChecked:   q.keyChecked,
		Decision: Decision{
			Route:         q.route.Name,
			Configuration: d.config.Version,
			Object:        q.object,
			ObjectKnown:   a.objectKnown,
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
	return send
}

// refuse refuses a request. The outcome is NotRun only if the request certainly did not
// run.
func (d *Dispatcher) refuse(q *request, cause model.Cause, retryAfter time.Duration) {
	outcome := model.NotRun
	if q.mayHaveRun {
		outcome, retryAfter = model.Unknown, 0
	}
	d.returnToken(q)
	d.add(&Refuse{
		Request:       q.id,
		Outcome:       outcome,
		Cause:         cause,
		RetryAfter:    retryAfter,
		Organisation:  nameOf(q.organisation),
		Route:         q.route.Name,
		Configuration: d.config.Version,
		Inputs:        d.inputsOf(q),
	})
	delete(d.requests, q.id)
}

func (d *Dispatcher) attemptEnded(ev *AttemptEnded) {
	q := d.requests[ev.Request]
	if q == nil {
		return
	}
	a := q.takeAttempt(ev.Attempt)
	if a == nil {
		return
	}
	s := a.server
	s.inFlight--
	if at := answeredAt(ev); at != 0 {
		s.answeredAt = max(s.answeredAt, at)
		s.unreachable = false
	}
	s.applyReport(ev.At, cmp.Or(ev.HeadAt, ev.At), &ev.Report, s.inFlight)
	if !ev.Misdirected {
		d.applyTerms(ev.At, s, &ev.Report, ev.Result == event.AttemptComplete && a.startedAt > s.terms.at)
	}
	d.updateHealth(ev, s)
	d.countNotRun(ev, q, s)
	d.recordCrashEvidence(ev, q, a)
	switch ev.Result {
	case event.AttemptComplete:
		d.recordRunTime(ev.At, q, a)
		q.answered = true
	case event.AttemptFailed:
		// The complete 5xx answer has been passed on, or is once no other attempt runs.
		q.answered = q.answered || !ev.Held
		q.failed = q.failed || ev.Held
	case event.AttemptNotSent:
		q.sends--
		q.failedDials++
	case event.AttemptShed:
	default:
		q.mayHaveRun = true
	}
	switch {
	case q.answered:
	case len(q.running) == 0 && q.failed:
		q.answered = true
		d.add(&PassOn{Request: q.id})
	case len(q.running) == 0:
		d.nextAttempt(ev, q)
	case q.failed:
		// The other attempt may still bring a better answer.
	case ev.Result != event.AttemptCancelled:
		// The caller may get the answer of the other attempt.
		q.hedgePaid = q.hedgePaid || ev.Result == event.AttemptNotSent
		if q.inDoubt() {
			d.hedge(ev.At, q)
		}
	}
}

// answeredAt returns when the server last answered an attempt, 0 if it did not. Nothing may have
// followed the head of an answer that was not completed.
func answeredAt(ev *AttemptEnded) model.Instant {
	switch {
	case ev.Result == event.AttemptComplete, ev.Result == event.AttemptFailed:
		return ev.At
	case ev.Report.HasLoad:
		return cmp.Or(ev.HeadAt, ev.At)
	default:
		return 0
	}
}

// nextAttempt decides about a request whose last running attempt has ended without an
// answer.
func (d *Dispatcher) nextAttempt(ev *AttemptEnded, q *request) {
	switch ev.Result {
	case event.AttemptNotSent:
		d.retry(ev, q, model.CauseConnect, true)
	case event.AttemptShed:
		d.retry(ev, q, model.CauseShed, false)
	case event.AttemptCancelled:
		d.refuse(q, model.CauseCallerGone, 0)
	default:
		if !q.route.Kind.Repeatable() || d.suspects.HasStrike(ev.At, q.fingerprint) {
			d.refuse(q, causeOf(ev.Result), 0)
			return
		}
		d.retry(ev, q, causeOf(ev.Result), false)
	}
}

// requestEnded forgets a request and the attempts that have not ended yet.
func (d *Dispatcher) requestEnded(id model.RequestID) {
	q := d.requests[id]
	if q == nil {
		return
	}
	for _, a := range q.running {
		a.server.inFlight--
	}
	delete(d.requests, id)
}

// recordRunTime records the run time of a request and that the server has its object
// warm.
func (d *Dispatcher) recordRunTime(now model.Instant, q *request, a *attempt) {
	s, run := a.server, now.Sub(a.startedAt)
	q.runTimes.any.add(run.Seconds(), q.runTimes.any.n < minObservations)
	if s.region != d.settings.Region {
		run = max(0, run-regionRoundTrip)
	}
	if a.objectKnown {
		q.runTimes.warm.add(run.Seconds())
		q.runTimes.unqueued.add(run.Seconds())
	} else if !s.cold(now) {
		q.runTimes.cold.add(run.Seconds())
		q.runTimes.slow.add(run.Seconds(), q.runTimes.learning(now))
	}
	s.warm.add(now, q.object)
}

// retry sends a request to another server if the limits on retries permit it. If notSent
// is true, the attempt did not reach its server and costs no retry budget.
func (d *Dispatcher) retry(ev *AttemptEnded, q *request, cause model.Cause, notSent bool) {
	switch {
	case ev.BodyNotReplayable && !q.replayable:
		d.refuse(q, cause, d.returnTime(ev, q))
	case notSent && q.failedDials >= maxFailedDials, !notSent && q.sends >= q.route.Attempts:
		d.refuse(q, cause, d.returnTime(ev, q))
	case !notSent && !d.service(q.service).budget.Take(ev.At, d.instances):
		d.refuse(q, model.CauseRetryBudget, d.returnTime(ev, q))
	default:
		d.send(ev.At, q)
	}
}

// returnTime returns when the caller of a request that may not be retried should come back.
// A server that sheds requests although it has room does not do so for its load, so that a
// later return has no better chance and may be too late for the objective.
func (d *Dispatcher) returnTime(ev *AttemptEnded, q *request) time.Duration {
	if ev.Result != event.AttemptShed {
		return defaultRetryAfter
	}
	last := q.tried[len(q.tried)-1]
	return min(max(minWait, d.wait(ev.At, last, q)), defaultRetryAfter)
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
