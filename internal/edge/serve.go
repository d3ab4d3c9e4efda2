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

// refusalRetry is when a caller should come back that a leaving instance refused:
// by then another instance is found.
const refusalRetry = 50 * time.Millisecond

// Serve implements ingress.Handler.
func (e *Edge) Serve(ctx context.Context, x *ingress.Exchange) {
	if e.refusing.Load() {
		e.refuse(x, &dispatch.Refuse{Outcome: model.NotRun, Cause: model.CauseStopping, RetryAfter: refusalRetry})
		return
	}
	e.mu.Lock()
	e.lastID++
	id := e.lastID
	e.mu.Unlock()
	next := e.post(&dispatch.RequestArrived{
		At:         e.clock.now(),
		Request:    id,
		Host:       x.Host,
		Path:       x.Path,
		Affinity:   x.Affinity,
		Patience:   x.DeadlineHint,
		Replayable: x.Replayable,
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
	e.metrics.ended(f.Outcome, f.Cause)
	if err := x.Refuse(f.Outcome, f.Cause, f.RetryAfter); err != nil {
		e.log.WithField("request", x.Trace).WithError(err).Warn("refusal not passed on")
	}
}

// attempt sends a request to a backend server and passes its answer on. It returns
// what to do next, nil for nothing.
func (e *Edge) attempt(ctx context.Context, x *ingress.Exchange, f *dispatch.Send) dispatch.Effect {
	started := e.clock.now()
	ctx, cancel := context.WithTimeout(ctx, f.Left)
	e.setRunning(f.Request, cancel)
	answer, failed := e.upstream.Send(ctx, &upstream.Attempt{
		Backend:       f.Server.ID,
		Address:       f.Server.Address,
		Method:        x.Method,
		URI:           x.URI,
		Header:        x.Header,
		Body:          x.Body,
		BodyStream:    x.BodyStream,
		BodyBytes:     x.BodyBytes,
		Trace:         x.Trace,
		ExpectServer:  f.Server.ID,
		DeadlineLeft:  f.Left,
		AnswerTimeout: answerTimeout(f),
		MaxIdle:       f.MaxIdle,
	})
	e.setRunning(f.Request, nil)
	end := &dispatch.AttemptEnded{Request: f.Request, BodyUsed: !x.Replayable}
	if failed != nil {
		cancel()
		e.requests.attemptFailed(x, f, failed, e.clock.now().Sub(started))
		e.metrics.attempts.WithLabelValues(string(failed.Step)).Inc()
		end.Result = failed.Result
		end.Misdirected = failed.Misdirected
		end.Draining = failed.Draining
		end.Report = reportOf(failed.Report)
		end.At = e.clock.now()
		return e.post(end)
	}
	end.Draining = answer.Draining
	end.Report = reportOf(answer.Report)
	e.metrics.attempts.WithLabelValues("answered").Inc()
	return e.pass(x, f, answer, end, started, cancel)
}

// setRunning notes how an attempt that waits for its answer is ended, nil for none.
func (e *Edge) setRunning(id model.RequestID, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel == nil {
		delete(e.running, id)
		return
	}
	e.running[id] = cancel
}

// answerTimeout bounds the wait for an answer's first byte; without a bound of its
// own that is the deadline's, which the context keeps.
func answerTimeout(f *dispatch.Send) time.Duration {
	if f.AnswerTimeout > 0 {
		return f.AnswerTimeout
	}
	return f.Left + time.Second
}

// promises reports whether a status says that the request did not run. Only the
// system may say so to a caller, and only when it knows.
func promises(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}

// pass hands an answer on. A small one whose body breaks counts as a failed
// attempt; a large one is streamed and ends later.
func (e *Edge) pass(x *ingress.Exchange, f *dispatch.Send, answer *upstream.Answer, end *dispatch.AttemptEnded, started model.Instant, cancel func()) dispatch.Effect {
	finish := func(result event.AttemptResult) dispatch.Effect {
		cancel()
		end.Result = result
		end.At = e.clock.now()
		return e.post(end)
	}
	if promises(answer.Status) {
		_ = answer.Body.Close() // the status is all that matters of it
		return finish(event.AttemptBroken)
	}
	result := event.AttemptComplete
	if answer.Status >= 500 {
		result = event.AttemptFailed
	}
	passed := make(chan event.AttemptResult, 1)
	err := x.Respond(&ingress.Answer{
		Status:    answer.Status,
		Header:    answer.Header,
		BodyBytes: answer.BodyBytes,
		Body:      answer.Body,
		Done: func(_ int64, err error) {
			if err != nil {
				result = event.AttemptCut
			}
			passed <- result
		},
	})
	if err != nil {
		e.requests.cut(x, f, err)
		return finish(event.AttemptCut)
	}
	done := func(result event.AttemptResult) {
		finish(result)
		took := e.clock.now().Sub(started)
		e.requests.answered(x, f, answer.Status, took)
		e.metrics.ended(outcomeOf(result), causeOfResult(result))
		e.metrics.answered(f.Kind, took)
		e.post(&dispatch.RequestEnded{At: e.clock.now(), Request: end.Request})
	}
	select {
	case result := <-passed:
		done(result)
	default:
		go func() { done(<-passed) }()
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
	case event.AttemptCut:
		return model.CauseAnswerIncomplete
	default:
		return model.CauseServerFailed
	}
}

func reportOf(r upstream.Report) dispatch.ServerReport {
	return dispatch.ServerReport{
		HasLoad:  r.HasLoad,
		Running:  r.Load.Running,
		Waiting:  r.Load.Waiting,
		HasCold:  r.HasCold,
		ColdLeft: r.ColdLeft,
	}
}

// reached reports whether a health check got a connection. It waits for a slot like a
// request, so that a server that is only busy may not answer it in time.
func reached(err error) bool {
	var failed *upstream.SendError
	return !errors.As(err, &failed) || failed.Step != upstream.StepDial
}

// probeTimeout bounds a health check: it waits for a slot like a request.
const probeTimeout = time.Second

// probe checks a server's health in the background.
func (e *Edge) probe(f *dispatch.Probe) {
	server := *f.Server
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
			probed.Report = reportOf(answer.Report)
		}
		probed.At = e.clock.now()
		e.post(probed)
	})
}
