package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// errAnsweredElsewhere is the cause of the cancellation of an attempt whose request another
// attempt has answered.
var errAnsweredElsewhere = errors.New("another attempt was answered")

// call is a caller's request in progress. Its serving goroutine makes one attempt after the
// other and passes the answer on. Each hedge, an attempt beside a running one, has a
// goroutine of its own, which hands its outcome to the serving goroutine.
type call struct {
	edge     *Edge
	id       model.RequestID
	ctx      context.Context // of the exchange
	x        *ingress.Exchange
	hedged   atomic.Bool   // a hedge has been started
	outcomes chan outcome  // from hedges
	ended    chan struct{} // closed when outcomes are no longer received
	hedges   sync.WaitGroup
	// responded is set when an answer has been passed on, or begins to be. It belongs to the
	// serving goroutine.
	responded bool
	// organisation is the sender, empty if it is unknown. It belongs to the serving goroutine.
	organisation model.OrganisationName
	settling     *answer     // the answer that the serving goroutine deals with
	sent         atomic.Bool // an attempt has been started

	mu      sync.Mutex
	waiting map[int]context.CancelCauseFunc // attempts that wait for an answer, by number
	over    bool                            // attempts that begin to wait are cancelled
	held    *answer                         // a server's failure, while another attempt runs
}

// outcome is what an attempt has led to: an answer to pass on, or the next effect, which is
// nil if another attempt is still running.
type outcome struct {
	answer *answer
	next   dispatch.Effect
}

// answer is an attempt's answer that has not been passed on.
type answer struct {
	send     *dispatch.Send
	response *upstream.Response
	started  model.Instant
	headAt   model.Instant   // when the head arrived
	ctx      context.Context // of the attempt
	cancel   context.CancelCauseFunc
	release  func() // releases the attempt's context
	read     bool   // receive has been called
	received bool   // the body has been read
	ended    bool   // the end of the attempt has been reported, and the answer is held
}

// beginCall registers a request, so that its attempts can be hedged. end must be called.
func (e *Edge) beginCall(ctx context.Context, x *ingress.Exchange) *call {
	c := &call{
		edge: e, ctx: ctx, x: x,
		outcomes: make(chan outcome),
		ended:    make(chan struct{}),
		waiting:  map[int]context.CancelCauseFunc{},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	c.id = e.lastID
	e.calls[c.id] = c
	return c
}

// end cancels the attempts that still wait for an answer and waits for the hedges, because
// they use the exchange.
func (c *call) end() {
	c.edge.mu.Lock()
	delete(c.edge.calls, c.id)
	c.edge.mu.Unlock()
	close(c.ended)
	c.mu.Lock()
	c.over = true // a hedge's goroutine may not have begun to wait
	c.mu.Unlock()
	c.cancelWaiting()
	c.hedges.Wait()
}

// hedge makes an attempt beside the running one. It does not block; the caller holds Edge.mu.
func (c *call) hedge(f *dispatch.Send) {
	c.edge.metrics.hedges.Inc()
	c.hedged.Store(true)
	c.hedges.Go(func() {
		var o outcome
		var received *answer
		if !c.edge.panics.Do(contain.Attempt, func() { o = c.makeHedge(f, &received) }) {
			c.edge.panics.Do(contain.Attempt, func() { o = c.hedgePanicked(f, received) })
		}
		if o.answer == nil && o.next == nil {
			return
		}
		select {
		case c.outcomes <- o:
		case <-c.ended:
			if o.answer != nil {
				c.edge.panics.Do(contain.Attempt, func() { c.discard(o.answer) })
			}
		}
	})
}

// heldBytes returns the most bytes of a body of the given length, -1 if unknown, that receive
// holds.
func heldBytes(length int64) int64 {
	if length < 0 {
		return maxBufferedBodyBytes
	}
	return length
}

// makeHedge makes an attempt beside the running one and sets received to its answer.
func (c *call) makeHedge(f *dispatch.Send, received **answer) outcome {
	c.edge.requests.hedged(c.x, f) // here, because it takes fleetMu
	o := c.send(f)
	if *received = o.answer; o.answer != nil {
		o = c.receive(o.answer)
	}
	if o.answer != nil && o.answer.isFailure() {
		o = outcome{next: c.hold(o.answer)}
	}
	if o.answer != nil {
		c.cancelWaiting()
	}
	return o
}

// hedgePanicked ends an attempt that panicked and whose answer, if any, is dropped. The request may
// have run.
func (c *call) hedgePanicked(f *dispatch.Send, received *answer) outcome {
	c.stopWaiting(f.Attempt)
	if received != nil {
		received.drop()
	}
	next := c.edge.post(&dispatch.AttemptEnded{
		At:                c.edge.clock.now(),
		Request:           c.id,
		Attempt:           f.Attempt,
		Result:            event.AttemptCancelled, // says nothing about the server
		BodyNotReplayable: !c.x.Replayable,
	})
	if refuse, ok := next.(*dispatch.Refuse); ok {
		refuse.Cause = model.CauseInternal
	}
	return outcome{next: next}
}

// drop closes an answer that is not passed on.
func (a *answer) drop() {
	_ = a.response.Body.Close()
	a.release()
}

// panicked ends a request whose serving goroutine panicked. Attempts that still run are cancelled
// when the call ends.
func (c *call) panicked() {
	e := c.edge
	if c.settling != nil && !c.responded {
		e.panics.Do(contain.Request, c.settling.drop)
	}
	outcome := model.NotRun
	if c.sent.Load() {
		outcome = model.Unknown
	}
	if c.x.Abort(outcome) {
		e.requestEnded(c.organisation, outcome, model.CauseInternal)
	}
	e.post(&dispatch.RequestEnded{At: e.clock.now(), Request: c.id})
}

// receive reads the body of an answer of a hedged request, unless it is too long. Until then
// the other attempts go on, as they are needed if the answer cannot be passed on.
func (c *call) receive(a *answer) outcome {
	a.read = true
	switch {
	case claimsNotRun(a.response.Status):
		return outcome{next: c.reject(a)}
	case a.response.BodyBytes > maxBufferedBodyBytes, c.x.Method == http.MethodHead, !c.x.Hold(heldBytes(a.response.BodyBytes)):
		return outcome{answer: a}
	}
	c.startWaiting(a.send.Attempt, a.cancel)
	rest := a.response.Body
	body, err := io.ReadAll(io.LimitReader(rest, maxBufferedBodyBytes+1))
	c.stopWaiting(a.send.Attempt)
	switch {
	case err != nil:
		c.edge.requests.truncated(c.x, a.send, err, c.edge.clock.now().Sub(a.started))
		return outcome{next: c.endAttempt(a, c.brokenResult(a, err))}
	case len(body) > maxBufferedBodyBytes:
		a.response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), rest), Closer: rest}
	default:
		a.response.Body, a.response.BodyBytes = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		a.received = true
	}
	return outcome{answer: a}
}

// prefixedBody is a body of which a part has been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// isFailure reports whether the answer is a server's failure that can be held back.
func (a *answer) isFailure() bool { return a.received && a.response.Status >= 500 }

// hold keeps a server's failure back while another attempt runs, which may bring a better
// answer, and returns the next effect. The first failure is the one that is passed on.
func (c *call) hold(a *answer) dispatch.Effect {
	c.mu.Lock()
	if c.held == nil {
		c.held = a
	}
	c.mu.Unlock()
	a.ended = true
	return c.endAttempt(a, event.AttemptFailed)
}

// takeHeld returns the failure that was held back.
func (c *call) takeHeld() *answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// brokenResult returns the result of an attempt whose answer broke off with an error. The
// server is not to blame if the attempt was cancelled or the caller did not take the answer.
func (c *call) brokenResult(a *answer, err error) event.AttemptResult {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, ingress.ErrCallerGone), errors.Is(cause, errAnsweredElsewhere):
	case errors.Is(err, ingress.ErrNotDelivered):
		cause = ingress.ErrCallerGone
	default:
		return event.AttemptTruncated
	}
	c.edge.metrics.givenUp.WithLabelValues(givenUpReason(cause)).Inc()
	return event.AttemptCancelled
}

// reject ends the attempt of an answer that is not passed on because of its status.
func (c *call) reject(a *answer) dispatch.Effect {
	_ = a.response.Body.Close() // only the status is used
	c.edge.requests.notForwarded(c.x, a.send, a.response.Status, c.edge.clock.now().Sub(a.started))
	return c.endAttempt(a, event.AttemptBroken)
}

// discard drops a hedge's answer that came too late. A call that waits for an effect
// receives it before it ends, so that there is always an answer.
func (c *call) discard(a *answer) {
	_ = a.response.Body.Close() // another answer has been passed on
	c.endAttempt(a, event.AttemptCancelled)
}

// endAttempt reports the end of an attempt that was answered and returns the next effect.
func (c *call) endAttempt(a *answer, result event.AttemptResult) dispatch.Effect {
	a.release()
	return c.edge.post(&dispatch.AttemptEnded{
		At:                c.edge.clock.now(),
		Request:           c.id,
		Attempt:           a.send.Attempt,
		Result:            result,
		Held:              a.ended,
		Draining:          a.response.Draining,
		BodyNotReplayable: !c.x.Replayable,
		HeadAt:            a.headAt,
		Report:            c.edge.serverReport(a.send.Server.ID, &a.response.Report),
	})
}

// startWaiting registers an attempt that waits for an answer.
func (c *call) startWaiting(attempt int, cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[attempt] = cancel
	if c.over {
		cancel(errAnsweredElsewhere)
	}
}

func (c *call) stopWaiting(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, attempt)
}

// cancelWaiting cancels all attempts that wait for an answer.
func (c *call) cancelWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.waiting {
		cancel(errAnsweredElsewhere)
	}
}
