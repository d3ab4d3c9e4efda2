package edge

import (
	"context"
	"errors"
	"time"

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
	if e.refusing.Load() {
		e.refuse(x, &dispatch.Refuse{Outcome: model.NotRun, Cause: model.CauseStopping, RetryAfter: stoppingRetryAfter})
		return
	}
	e.mu.Lock()
	e.lastID++
	id := e.lastID
	e.mu.Unlock()
	next := e.post(&dispatch.RequestArrived{
		At:            e.clock.now(),
		Request:       id,
		Host:          x.Host,
		Path:          x.Path,
		Affinity:      x.AffinityKey,
		CallerTimeout: x.DeadlineHint,
		Replayable:    x.Replayable,
	})
	for next != nil {
		switch f := next.(type) {
		case *dispatch.Send:
			next = e.attempt(ctx, x, f)
		case *dispatch.Refuse:
			e.refuse(x, f)
			next = nil
		}
	}
}

func (e *Edge) refuse(x *ingress.Exchange, f *dispatch.Refuse) {
	e.requests.refused(x, f)
	e.metrics.requestEnded(f.Outcome, f.Cause)
	if err := x.Refuse(f.Outcome, f.Cause, f.RetryAfter); err != nil {
		e.log.WithField("request", x.TraceID).WithError(err).Warn("failed to send refusal")
	}
}

// rejected logs and counts a request that was refused before Serve was called.
func (e *Edge) rejected(r *ingress.Rejection) {
	e.requests.rejected(r)
	e.metrics.requestEnded(model.NotRun, r.Cause)
}

// attempt sends a request to a backend server and forwards the response. It returns the
// next effect to carry out for the request, or nil if there is none.
func (e *Edge) attempt(ctx context.Context, x *ingress.Exchange, f *dispatch.Send) dispatch.Effect {
	started := e.clock.now()
	ctx, cancel := context.WithTimeout(ctx, f.TimeLeft)
	e.setAttemptCancel(f.Request, cancel)
	answer, failed := e.upstream.Send(ctx, &upstream.Attempt{
		Backend:         f.Server.ID,
		Address:         f.Server.Address,
		Method:          x.Method,
		URI:             x.URI,
		Header:          x.Header,
		Body:            x.Body,
		BodyStream:      x.BodyStream,
		BodyBytes:       x.BodyBytes,
		TraceID:         x.TraceID,
		ExpectServer:    f.Server.ID,
		DeadlineLeft:    f.TimeLeft,
		ResponseTimeout: firstByteTimeout(f),
		MaxIdle:         f.MaxIdle,
	})
	e.setAttemptCancel(f.Request, nil)
	end := &dispatch.AttemptEnded{Request: f.Request, BodyNotReplayable: !x.Replayable}
	if failed != nil {
		cancel()
		e.requests.attemptFailed(x, f, failed, e.clock.now().Sub(started))
		e.metrics.attempts.WithLabelValues(string(failed.Step)).Inc()
		end.Result = failed.Result
		end.Misdirected = failed.Misdirected
		end.Draining = failed.Draining
		end.Report = e.serverReport(f.Server.ID, &failed.Report)
		end.At = e.clock.now()
		return e.post(end)
	}
	end.Draining = answer.Draining
	end.Report = e.serverReport(f.Server.ID, &answer.Report)
	e.metrics.attempts.WithLabelValues("answered").Inc()
	return e.forward(x, f, answer, end, started, cancel)
}

// setAttemptCancel stores the function that cancels an attempt that waits for a response.
// A nil function removes the entry.
func (e *Edge) setAttemptCancel(id model.RequestID, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel == nil {
		delete(e.attemptCancels, id)
		return
	}
	e.attemptCancels[id] = cancel
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

// forward passes a response on to the caller. A body of up to maxBufferedBodyBytes is read
// first, and the attempt may be retried if it breaks off; a larger one is streamed, and the
// attempt ends after forward has returned.
func (e *Edge) forward(x *ingress.Exchange, f *dispatch.Send, answer *upstream.Response, end *dispatch.AttemptEnded, started model.Instant, cancel func()) dispatch.Effect {
	finish := func(result event.AttemptResult) dispatch.Effect {
		cancel()
		end.Result = result
		end.At = e.clock.now()
		return e.post(end)
	}
	if claimsNotRun(answer.Status) {
		_ = answer.Body.Close() // only the status is used
		e.requests.notForwarded(x, f, answer.Status, e.clock.now().Sub(started))
		return finish(event.AttemptBroken)
	}
	result := event.AttemptComplete
	if answer.Status >= 500 {
		result = event.AttemptFailed
	}
	var broken error // set before the result is sent to forwarded
	forwarded := make(chan event.AttemptResult, 1)
	err := x.Respond(&ingress.Response{
		Status:    answer.Status,
		Header:    answer.Header,
		BodyBytes: answer.BodyBytes,
		Body:      answer.Body,
		Done: func(_ int64, err error) {
			if err != nil {
				result, broken = event.AttemptTruncated, err
			}
			forwarded <- result
		},
	})
	if err != nil {
		e.requests.truncated(x, f, err, e.clock.now().Sub(started))
		return finish(event.AttemptTruncated)
	}
	done := func(result event.AttemptResult) {
		finish(result)
		elapsed := e.clock.now().Sub(started)
		e.requests.answered(x, f, answer.Status, broken, elapsed)
		e.metrics.requestEnded(outcomeOf(result), causeOfResult(result))
		e.metrics.observeLatency(f.Kind, elapsed)
		e.post(&dispatch.RequestEnded{At: e.clock.now(), Request: end.Request})
	}
	select {
	case result := <-forwarded:
		done(result)
	default:
		go func() { done(<-forwarded) }()
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
	}
}

// reached reports whether a health check connected to the server. A health check waits for
// a slot like a request, so a server that is only busy may not respond in time.
func reached(err error) bool {
	var failed *upstream.SendError
	return !errors.As(err, &failed) || failed.Step != upstream.StepDial
}

// probeTimeout is the timeout of a health check, which waits for a slot like a request.
const probeTimeout = time.Second

// probe checks a server's health in the background.
func (e *Edge) probe(f *dispatch.Probe) {
	server, reason := *f.Server, f.Reason
	e.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
		defer cancel()
		answer, err := e.upstream.Check(ctx, &upstream.Attempt{
			Backend:         server.ID,
			Address:         server.Address,
			Method:          "GET",
			URI:             []byte(f.Path),
			FreshConnection: true,
		})
		probed := &dispatch.ServerProbed{Server: server.ID, Reached: reached(err)}
		if err == nil {
			probed.Healthy = answer.Status == 200 && answer.Report.Server == server.ID
			probed.Report = e.serverReport(server.ID, &answer.Report)
		}
		probed.At = e.clock.now()
		e.metrics.probes.WithLabelValues(string(reason), probeResult(probed)).Inc()
		e.post(probed)
	})
}

func probeResult(p *dispatch.ServerProbed) string {
	switch {
	case p.Healthy:
		return "passed"
	case p.Reached:
		return "failed"
	default:
		return "refused"
	}
}
