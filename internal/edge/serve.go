package edge

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// stoppingRetryAfter is the delay after which a caller that was refused by a stopping
// instance should retry. By then it can find another instance.
const stoppingRetryAfter = 50 * time.Millisecond

// Serve implements ingress.Handler.
func (e *Edge) Serve(ctx context.Context, x *ingress.Exchange) {
	accepted := false
	e.panics.Do(contain.Request, func() { accepted = e.accepts(x) })
	if !accepted {
		e.refuse(x, &dispatch.Refuse{Outcome: model.NotRun, Cause: model.CauseStopping, RetryAfter: stoppingRetryAfter})
		return
	}
	c := e.beginCall(ctx, x)
	defer c.end()
	if !e.panics.Do(contain.Request, c.serve) {
		c.panicked()
	}
}

// MayReadAhead implements ingress.ReadAheadHandler. Only requests that may run again are read ahead:
// a caller repeats those whose responses it has not received when its connection ends.
func (e *Edge) MayReadAhead(x *ingress.Exchange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.Repeatable(x.Host, x.Path)
}

// serve makes one attempt after the other until the request is answered or refused.
func (c *call) serve() {
	e, x := c.edge, c.x
	if e.pauses.active.Load() {
		e.noticePause(time.Now())
	}
	key, hasKey := keyDigest(x.Header)
	next := e.post(&dispatch.RequestArrived{
		At:            e.clock.now(),
		Request:       c.id,
		Host:          x.Host,
		Path:          x.Path,
		Affinity:      x.AffinityKey,
		Key:           key,
		HasKey:        hasKey,
		CallerTimeout: x.DeadlineHint,
		Replayable:    x.Replayable,
		Fingerprint:   fingerprint(x),
	})
	for !c.responded {
		var o outcome
		switch f := next.(type) {
		case *dispatch.Send:
			c.organisation = f.Organisation
			o = c.send(f)
		case *dispatch.Refuse:
			e.refuse(x, f)
			return
		case *dispatch.PassOn:
			o.answer = c.takeHeld()
		default:
			o = <-c.outcomes
		}
		next = o.next
		if o.answer != nil {
			c.settling = o.answer
			next = c.settle(o.answer)
			c.settling = nil
		}
	}
}

// fingerprint identifies repetitions of the same request. Two hosts may use the same path.
func fingerprint(x *ingress.Exchange) uint64 {
	return xxh3.HashStringSeed(x.Host, x.Fingerprint())
}

func (e *Edge) refuse(x *ingress.Exchange, f *dispatch.Refuse) {
	e.requests.refused(x, f)
	e.requestEnded(f.Organisation, f.Outcome, f.Cause)
	e.metrics.organisations.refused(f)
	if err := x.Refuse(f.Outcome, f.Cause, f.RetryAfter); err != nil {
		e.log.WithField("request", x.TraceID).WithError(err).Warn("failed to send refusal")
	}
}

// rejected logs and counts a request that was refused before Serve was called.
func (e *Edge) rejected(r *ingress.Rejection) {
	e.requests.rejected(r)
	e.metrics.requestEnded(model.NotRun, r.Cause)
}

// send sends a request to a backend server and waits for the head of the answer.
func (c *call) send(f *dispatch.Send) outcome {
	e, x, started := c.edge, c.x, c.edge.clock.now()
	ctx, cancel := context.WithCancelCause(c.ctx)
	ctx, cancelTimeout := context.WithTimeout(ctx, f.TimeLeft)
	release := func() { cancelTimeout(); cancel(nil) }
	c.startWaiting(f.Attempt, cancel)
	c.sent.Store(true)
	response, failed := e.upstream.Send(ctx, &upstream.Attempt{
		Backend:         f.Server.ID,
		Address:         f.Server.Address,
		Method:          x.Method,
		URI:             x.URI,
		Header:          x.Header,
		Body:            x.Body,
		BodyStream:      x.BodyStream,
		BodyBytes:       x.BodyBytes,
		AbortBody:       x.AbortBody,
		TraceID:         x.TraceID,
		ExpectServer:    f.Server.ID,
		KeyChecked:      f.KeyChecked,
		Organisation:    f.Organisation,
		DeadlineLeft:    f.TimeLeft,
		ResponseTimeout: firstByteTimeout(f),
		MaxIdle:         f.MaxIdle,
	})
	c.stopWaiting(f.Attempt)
	if failed == nil && errors.Is(context.Cause(ctx), errAnsweredElsewhere) {
		_ = response.Body.Close() // its connection is being closed
		failed = &upstream.SendError{
			Result: event.AttemptCancelled, Sent: true, Step: upstream.StepReceive, Report: response.Report,
			Backend: f.Server.ID, Peer: f.Server.Address, Err: errAnsweredElsewhere,
		}
	}
	if failed == nil {
		e.metrics.attempts.WithLabelValues("answered").Inc()
		e.noteTerms(f.Server, response)
		return outcome{answer: &answer{send: f, response: response, started: started, headAt: e.clock.now(), ctx: ctx, cancel: cancel, release: release}}
	}
	if failed.Result == event.AttemptCancelled {
		e.metrics.givenUp.WithLabelValues(givenUpReason(context.Cause(ctx))).Inc()
	}
	release()
	e.requests.attemptFailed(x, f, failed, e.clock.now().Sub(started))
	e.metrics.attempts.WithLabelValues(string(failed.Step)).Inc()
	return outcome{next: e.post(&dispatch.AttemptEnded{
		At:                e.clock.now(),
		Request:           c.id,
		Attempt:           f.Attempt,
		Result:            failed.Result,
		OwnShortage:       failed.Step == upstream.StepLimit,
		Refused:           errors.Is(failed, syscall.ECONNREFUSED),
		Misdirected:       failed.Misdirected,
		Draining:          failed.Draining,
		BodyNotReplayable: !x.Replayable,
		Report:            e.serverReport(f.Server.ID, &failed.Report),
	})}
}

// givenUpReason returns the label of the reason why an attempt was cancelled.
func givenUpReason(cause error) string {
	switch {
	case errors.Is(cause, errAnsweredElsewhere):
		return "answered elsewhere"
	case errors.Is(cause, ingress.ErrCallerGone):
		return "caller gone"
	default:
		return "other"
	}
}

// firstByteTimeout returns the timeout for the first byte of a response. If the dispatcher
// set none, it returns more than the time left, so that the context's deadline applies.
func firstByteTimeout(f *dispatch.Send) time.Duration {
	if f.ResponseTimeout > 0 {
		return f.ResponseTimeout
	}
	return f.TimeLeft + time.Second
}

// claimsNotRun reports whether a status means to callers that the request did not run. A
// server's response with such a status is not forwarded, because the server cannot
// guarantee that.
func claimsNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}

// settle passes an answer on, or returns the next effect. An answer of a hedged request is
// read first, and a failure is passed on only when no other attempt runs.
func (c *call) settle(a *answer) dispatch.Effect {
	if c.hedged.Load() && !a.read {
		o := c.receive(a)
		if o.answer == nil {
			return o.next
		}
		if a.isFailure() {
			return c.hold(a)
		}
	}
	return c.forward(a)
}

// forward passes an answer on to the caller and returns the next effect if that was not
// possible. A body of up to maxBufferedBodyBytes is read first, and the attempt may be
// retried if it breaks off; a larger one is streamed, and the attempt ends after forward has
// returned.
func (c *call) forward(a *answer) dispatch.Effect {
	e, x, f := c.edge, c.x, a.send
	if claimsNotRun(a.response.Status) {
		return c.reject(a)
	}
	result := event.AttemptComplete
	if a.response.Status >= 500 {
		result = event.AttemptFailed
	}
	var broken error // set before the result is sent to forwarded
	forwarded := make(chan event.AttemptResult, 1)
	err := x.Respond(&ingress.Response{
		Status:    a.response.Status,
		Header:    a.response.Header,
		BodyBytes: a.response.BodyBytes,
		Body:      a.response.Body,
		Done: func(_ int64, err error) {
			defer func() { forwarded <- result }()
			if err != nil {
				result, broken = event.AttemptTruncated, err
				result = c.brokenResult(a, err)
			}
		},
	})
	if err != nil {
		e.requests.truncated(x, f, err, e.clock.now().Sub(a.started))
		return c.endAttempt(a, c.brokenResult(a, err))
	}
	c.responded = true
	done := func(result event.AttemptResult) {
		defer func() { e.post(&dispatch.RequestEnded{At: e.clock.now(), Request: c.id}) }()
		if !a.ended {
			c.endAttempt(a, result)
		}
		elapsed := e.clock.now().Sub(a.started)
		e.requests.answered(x, f, a.response.Status, broken, elapsed)
		e.requestEnded(f.Organisation, outcomeOf(result), causeOfResult(result))
		e.metrics.observeLatency(f.Kind, elapsed)
	}
	select {
	case result := <-forwarded:
		e.panics.Do(contain.Answer, func() { done(result) })
	default:
		e.post(&dispatch.AnswerStarted{Request: c.id})
		go func() {
			result := <-forwarded
			e.panics.Do(contain.Answer, func() { done(result) })
		}()
	}
	return nil
}

func outcomeOf(result event.AttemptResult) model.Outcome {
	if result == event.AttemptComplete {
		return model.Served
	}
	return model.Unknown
}

func causeOfResult(result event.AttemptResult) model.Cause {
	switch result {
	case event.AttemptComplete:
		return model.CauseNone
	case event.AttemptTruncated:
		return model.CauseAnswerIncomplete
	case event.AttemptCancelled:
		return model.CauseCallerGone
	default:
		return model.CauseServerFailed
	}
}

// serverReport converts a server's report for the dispatcher and notes the fields that
// could not be parsed.
func (e *Edge) serverReport(server model.BackendName, r *upstream.Report) dispatch.ServerReport {
	for _, invalid := range r.Invalid {
		e.invalid.field(server, invalid)
	}
	return dispatch.ServerReport{
		HasLoad:    r.HasLoad,
		Running:    r.Load.Running,
		Waiting:    r.Load.Waiting,
		TimeFactor: r.Load.TimeFactor,
		HasCold:    r.HasCold,
		ColdLeft:   r.ColdLeft,
		HasLimit:   r.HasLimit,
		Limit:      r.Limit,
		LimitNamed: r.LimitNamed,
		RetryAfter: r.RetryAfter,
	}
}

// noteTerms reports what a server says of what it takes as soon as the head of its answer is
// known: the attempt ends only with the answer.
func (e *Edge) noteTerms(server *catalog.Server, r *upstream.Response) {
	if r.Report.LimitNamed || r.Draining {
		report := e.serverReport(server.ID, &r.Report)
		e.post(&dispatch.TermsNamed{At: e.clock.now(), Server: *server, Report: report, Draining: r.Draining})
	}
}

// reached reports whether a health check connected to the server. A health check waits for
// a slot like a request, so a server that is only busy may not respond in time.
func reached(err error) bool {
	var failed *upstream.SendError
	return !errors.As(err, &failed) || failed.Step != upstream.StepDial
}

// ownShortage reports whether a health check was not sent for want of a connection, file
// descriptor or port of this instance.
func ownShortage(err error) bool {
	var failed *upstream.SendError
	return errors.As(err, &failed) && failed.Step == upstream.StepLimit
}

// probeTimeout is the timeout of a health check, which waits for a slot like a request.
const probeTimeout = time.Second

// probe checks a server's health in the background.
func (e *Edge) probe(f *dispatch.Probe) {
	server, path, reason := *f.Server, f.Path, f.Reason
	e.tasks.Go(func() {
		// A check that panicked says nothing about the server.
		probed := &dispatch.ServerProbed{Server: server.ID, OwnShortage: true}
		e.panics.Do(contain.HealthCheck, func() { probed = e.check(&server, path) })
		probed.At = e.clock.now()
		e.metrics.probes.WithLabelValues(string(reason), probeResult(probed)).Inc()
		e.post(probed)
	})
}

// check checks a server's health.
func (e *Edge) check(server *catalog.Server, path string) *dispatch.ServerProbed {
	ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
	defer cancel()
	answer, err := e.upstream.Check(ctx, &upstream.Attempt{
		Backend:         server.ID,
		Address:         server.Address,
		Method:          "GET",
		URI:             []byte(path),
		FreshConnection: true,
	})
	probed := &dispatch.ServerProbed{Server: server.ID, Reached: reached(err), OwnShortage: ownShortage(err), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	if err == nil {
		probed.Healthy = answer.Status == 200 && answer.Report.Server == server.ID
		probed.Misdirected = answer.Report.Server != "" && answer.Report.Server != server.ID
		probed.Report = e.serverReport(server.ID, &answer.Report)
		probed.Draining = answer.Draining
		return probed
	}
	e.requests.checkFailed(server, err)
	if failed := (*upstream.SendError)(nil); errors.As(err, &failed) {
		probed.Report = e.serverReport(server.ID, &failed.Report)
		probed.Draining = failed.Draining
	}
	return probed
}

func probeResult(p *dispatch.ServerProbed) string {
	switch {
	case p.OwnShortage:
		return "not sent"
	case p.Healthy:
		return "passed"
	case p.Reached:
		return "failed"
	default:
		return "refused"
	}
}
