package runtime

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/ledger"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// lateGrace is how long after its deadline a request still waits for an answer.
const lateGrace = 500 * time.Millisecond

type callOp uint8

const (
	opForward callOp = iota
	opRefuse
	opCancelOnceRequest
	opReplay
)

// callCommand is an effect to be executed by the goroutine that serves a caller's
// request.
type callCommand struct {
	op      callOp
	owner   model.InstanceID
	spill   bool
	outcome model.Outcome
	cause   model.Cause
}

// call is a caller's request at the ingress. One goroutine serves it.
type call struct {
	runtime  *Runtime
	id       model.RequestID
	exchange *ingress.Exchange
	meta     model.RequestMeta
	started  model.Instant
	commands chan callCommand
	stored   *ledger.Answer
	body     *countingReader // streamed request body, nil if the body is in memory
	choice   choice          // latest choice of owner, written under Runtime.mu before its command is sent

	mu           sync.Mutex
	conn         link.Conn // connection to the current owner, nil if there is none
	callerClosed bool      // the caller has closed its connection
	finished     atomic.Bool
	offered      atomic.Bool // an owner may have the request
	uploads      sync.WaitGroup
}

// Serve implements ingress.Handler.
func (r *Runtime) Serve(ctx context.Context, x *ingress.Exchange) {
	var c *call
	if !r.panics.Do(contain.Request, func() { c = r.begin(x) }) {
		x.Abort(model.NotRun)
	}
	if c == nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { r.panics.Do(contain.Request, c.callerGone) })
	defer stop()
	if !r.panics.Do(contain.Request, c.run) {
		c.panicked()
	}
	r.panics.Do(contain.Request, c.endUpload)
}

// begin registers a request, or refuses it and returns nil.
func (r *Runtime) begin(x *ingress.Exchange) *call {
	meta, cause := r.classify(x)
	if cause != model.CauseNone {
		r.refuseUnrouted(x, cause)
		return nil
	}
	c := &call{
		runtime:  r,
		id:       r.nextID(),
		exchange: x,
		meta:     meta,
		started:  r.clock.now(),
		commands: make(chan callCommand, 2),
	}
	c.meta.GlobalID = fmt.Sprintf("%s/%d", r.idPrefix, c.id)
	if x.BodyStream != nil {
		c.body = &countingReader{reader: x.BodyStream}
	}
	r.register(c)
	return c
}

// panicked ends a request whose goroutine panicked. Its owner, if any, is told by the end of the
// connection to it.
func (c *call) panicked() {
	outcome := model.NotRun
	if c.offered.Load() {
		outcome = model.Unknown
	}
	if c.exchange.Abort(outcome) {
		c.finish(outcome, model.CauseInternal, 0)
	}
}

func (r *Runtime) register(c *call) {
	r.mu.Lock()
	r.calls[c.id] = c
	r.mu.Unlock()
}

func (r *Runtime) commandCall(id model.RequestID, cmd callCommand) {
	if c := r.calls[id]; c != nil {
		c.commands <- cmd
	}
}

func (c *call) run() {
	c.runtime.post(&event.RequestArrived{At: c.started, Request: c.id, Meta: &c.meta})
	for {
		cmd := <-c.commands
		switch cmd.op {
		case opForward:
			if c.forward(cmd) {
				return
			}
		case opRefuse:
			c.refuse(cmd.outcome, cmd.cause)
			return
		case opCancelOnceRequest:
			c.cancelOnceRequest()
		case opReplay:
			c.replay()
			return
		}
	}
}

// finish reports the end of the request; further calls do nothing.
func (c *call) finish(outcome model.Outcome, cause model.Cause, answerBytes int64) {
	if c.finished.Swap(true) {
		return
	}
	r := c.runtime
	now := r.clock.now()
	r.locked(func() { delete(r.calls, c.id) })
	if outcome == model.NotRun || outcome == model.Unknown {
		r.panics.Do(contain.Answer, func() {
			r.locked(func() { r.refusals.add(&c.meta, outcome, cause) })
		})
	}
	r.post(&event.RequestFinished{At: now, Request: c.id, Outcome: outcome, Cause: cause, AnswerBytes: answerBytes})
	r.panics.Do(contain.Answer, func() { r.observe(c, outcome, cause, now.Sub(c.started)) })
}

func (c *call) refuse(outcome model.Outcome, cause model.Cause) {
	if err := c.exchange.Refuse(outcome, cause, retryAfter(cause)); err != nil {
		c.recordEntry(errorEntry(journal.StepAnswerTruncated, callerSubject, err))
	}
	c.finish(outcome, cause, 0)
}

// retryAfter returns the Retry-After delay for a refused request.
func retryAfter(cause model.Cause) time.Duration {
	switch cause {
	case model.CauseShiftCap, model.CauseLinkBudget, model.CauseLedgerUnavailable:
		return 2 * time.Second
	default:
		return time.Second
	}
}

// forward offers the request to an owner and relays its answer to the caller. It
// reports whether the request has ended.
func (c *call) forward(cmd callCommand) bool {
	r := c.runtime
	c.offered.Store(true)
	conn, err := r.openOffer(cmd.owner, c.offerFrame(cmd.spill))
	if err != nil {
		var down *link.DownError
		c.ownerLost(cmd.owner, !errors.As(err, &down), err)
		return false
	}
	if !c.attach(conn) {
		_ = conn.Close()
		c.ownerLost(cmd.owner, true, context.Canceled)
		return false
	}
	defer c.detach(conn)
	timer := time.AfterFunc(c.timeLeft()+lateGrace, func() { _ = conn.Close() })
	defer timer.Stop()
	return c.exchangeFrames(cmd.owner, conn, timer)
}

// exchangeFrames handles the owner's frames until the request ends or has to go to
// another owner. It reports whether the request has ended.
func (c *call) exchangeFrames(owner model.InstanceID, conn link.Conn, timer *time.Timer) bool {
	r := c.runtime
	for {
		f, err := conn.Receive()
		if err != nil {
			if c.timeLeft() <= -lateGrace { // the timer set in forward closed conn
				err = fmt.Errorf("no word from %s until %s after the deadline", owner, lateGrace)
			}
			c.ownerLost(owner, true, err)
			return false
		}
		switch body := f.GetBody().(type) {
		case *linkpb.Frame_Accept:
			timer.Stop() // from here on, progress timeouts limit a streamed body
			c.uploads.Go(func() {
				if !r.panics.Do(contain.Request, func() { c.sendBody(conn) }) {
					_ = conn.Close() // the owner waits for the body
				}
			})
		case *linkpb.Frame_Refuse:
			c.ownerRefused(owner, body.Refuse)
			return false
		case *linkpb.Frame_Answer:
			timer.Stop()
			return c.respond(owner, conn, body.Answer)
		default:
			c.ownerLost(owner, true, fmt.Errorf("unexpected frame %T from %s", body, owner))
			return false
		}
	}
}

func (c *call) sendBody(conn link.Conn) {
	_, readErr, _ := link.SendBody(conn, c.body, c.meta.BodyBytes, model.CauseCallerGone)
	if readErr != nil {
		c.runtime.log.WithError(readErr).WithField("request", c.meta.TraceID).Debug("caller's request body ended early")
	}
}

func (c *call) offerFrame(spill bool) *linkpb.Offer {
	x := c.exchange
	o := &linkpb.Offer{
		Trace:          c.meta.TraceID,
		Request:        c.meta.GlobalID,
		Service:        string(c.meta.Service),
		Route:          string(c.meta.Route),
		Rank:           uint32(c.meta.Rank),
		Kind:           uint32(c.meta.Kind),
		Block:          string(c.meta.CallerGroup),
		DeadlineLeftNs: int64(c.timeLeft()),
		BodyBytes:      c.meta.BodyBytes,
		AnswerBytes:    c.meta.AnswerBytes,
		Fingerprint:    c.meta.Fingerprint,
		IdempotencyKey: c.meta.IdempotencyKey,
		Digest:         c.meta.Digest,
		Replayable:     c.meta.Replayable,
		Spill:          spill,
		Method:         x.Method,
		Uri:            x.URI,
		Headers:        toFrameHeaders(x.Header),
		Body:           x.Body,
		Streamed:       c.body != nil,
	}
	return o
}

func (c *call) timeLeft() time.Duration { return c.meta.Deadline.Sub(c.runtime.clock.now()) }

// openOffer sends an offer to an owner, which may be this instance, and returns
// the connection for the reply.
func (r *Runtime) openOffer(owner model.InstanceID, o *linkpb.Offer) (link.Conn, error) {
	if owner != r.self {
		return r.links.OfferAt(r.ctx, owner, r.linkAddress(owner), o)
	}
	ingressEnd, ownerEnd := link.Pipe()
	go func() {
		defer func() { _ = ownerEnd.Close() }()
		r.panics.Do(contain.Offer, func() { r.ServeOffer(r.self, o, ownerEnd) })
	}()
	return ingressEnd, nil
}

func (r *Runtime) linkAddress(id model.InstanceID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reducer.LinkAddress(id)
}

// attach stores the connection to the owner, so that withdraw can close it. It
// returns false if the caller has already closed its connection.
func (c *call) attach(conn link.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return !c.callerClosed
}

// detach closes the connection to an owner, unless keepConnOpen has been called
// because its answer is being relayed.
func (c *call) detach(conn link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
		_ = conn.Close()
	}
}

// keepConnOpen leaves the connection open after forward has returned.
func (c *call) keepConnOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

func (c *call) callerGone() {
	c.mu.Lock()
	c.callerClosed = true
	c.mu.Unlock()
	c.runtime.post(&event.CallerGone{At: c.runtime.clock.now(), Request: c.id})
}

// withdraw closes the connection to the owner, which signals that the answer is no
// longer needed.
func (c *call) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (c *call) bodyUsed() bool { return c.body != nil && c.body.count.Load() > 0 }

func (c *call) ownerLost(owner model.InstanceID, offered bool, err error) {
	c.recordEntry(errorEntry(journal.StepOwnerLost, string(owner), err))
	c.runtime.post(&event.OwnerLost{
		At:       c.runtime.clock.now(),
		Request:  c.id,
		Owner:    owner,
		Offered:  offered,
		BodyUsed: c.bodyUsed(),
	})
}

func (c *call) ownerRefused(owner model.InstanceID, f *linkpb.Refuse) {
	c.recordEntry(journal.RequestEntry{
		Step:    journal.StepOwnerRefused,
		Subject: string(owner),
		Outcome: model.Outcome(f.GetOutcome()),
		Cause:   model.Cause(f.GetCause()),
	})
	c.runtime.post(&event.OwnerRefused{
		At:       c.runtime.clock.now(),
		Request:  c.id,
		Owner:    owner,
		Outcome:  model.Outcome(f.GetOutcome()),
		Cause:    model.Cause(f.GetCause()),
		BodyUsed: c.bodyUsed(),
	})
}
