package runtime

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/ledger"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

type offerOp uint8

const (
	opClaim offerOp = iota
	opDispatch
	opRefuseOffer
	opReplayOffer
)

// offerCommand is an effect to be executed by the goroutine that serves an offer.
type offerCommand struct {
	op              offerOp
	backend         model.BackendName
	freshConnection bool
	slowAfter       time.Duration // 0 for no AttemptSlow event
	outcome         model.Outcome
	cause           model.Cause
	release         bool // release the claim before refusing
}

// offer is a request at the owner of its backend server. One goroutine serves it.
type offer struct {
	runtime      *Runtime
	id           model.RequestID
	frame        *linkpb.Offer
	conn         link.Conn
	meta         model.RequestMeta
	commands     chan offerCommand
	body         *offeredBody // streamed request body, nil if the body is in frame
	stored       *ledger.Answer
	attempts     int
	attempting   model.BackendName // server of the running attempt, empty if there is none
	claiming     bool              // a claim of the idempotency key has been begun
	claimed      bool              // the ledger granted the idempotency key
	waitingSince model.Instant     // start of the current wait for a slot

	mu     sync.Mutex
	cancel context.CancelFunc // cancels the running attempt, nil if there is none
}

// ServeOffer implements link.OfferHandler.
func (r *Runtime) ServeOffer(from model.InstanceID, frame *linkpb.Offer, conn link.Conn) {
	o := &offer{
		runtime:  r,
		id:       r.nextID(),
		frame:    frame,
		conn:     conn,
		meta:     metaFromOffer(frame, r.clock.now()),
		commands: make(chan offerCommand, 4),
	}
	if frame.GetStreamed() {
		o.body = newOfferedBody(conn)
	}
	r.mu.Lock()
	r.offers[o.id] = o
	r.mu.Unlock()
	o.waitingSince = r.clock.now()
	done := make(chan struct{})
	go func() {
		if !r.panics.Do(contain.Frame, func() { o.receiveFrames(done) }) {
			r.post(&event.OfferWithdrawn{At: r.clock.now(), Request: o.id})
		}
	}()
	served := r.panics.Do(contain.Offer, func() {
		r.post(&event.OfferReceived{At: r.clock.now(), Request: o.id, From: from, Meta: &o.meta, Spill: frame.GetSpill()})
		o.run()
	})
	if !served {
		r.panics.Do(contain.Offer, o.panicked)
	}
	r.mu.Lock()
	delete(r.offers, o.id)
	r.mu.Unlock()
	close(done)
}

// panicked refuses an offer whose goroutine panicked, and has the reducer forget it. A claim is
// released only if nothing was sent to a backend server.
func (o *offer) panicked() {
	r := o.runtime
	r.locked(func() { delete(r.offers, o.id) }) // it takes no more commands
	outcome := model.NotRun
	if o.attempts > 0 || o.claiming && !o.claimed { // an earlier request with the key may have run
		outcome = model.Unknown
	}
	r.post(&event.ClaimResolved{At: r.clock.now(), Request: o.id, Result: event.ClaimUncertain})
	if o.attempting != "" {
		r.post(&event.AttemptFinished{At: r.clock.now(), Request: o.id, Backend: o.attempting, Result: event.AttemptCancelled, BodyUsed: o.bodyUsed()})
	}
	r.post(&event.OfferWithdrawn{At: r.clock.now(), Request: o.id})
	if o.claimed && o.attempts == 0 {
		r.panics.Do(contain.Offer, o.release)
	}
	refuse := &linkpb.Refuse{Outcome: uint32(outcome), Cause: string(model.CauseInternal)}
	_ = o.conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Refuse{Refuse: refuse}})
}

func (r *Runtime) commandOffer(id model.RequestID, cmd offerCommand) {
	if o := r.offers[id]; o != nil {
		o.commands <- cmd
	}
}

// receiveFrames reads frames from the ingress, which sends the chunks of a streamed
// body and nothing else. A closed connection withdraws the offer.
func (o *offer) receiveFrames(done <-chan struct{}) {
	for {
		f, err := o.conn.Receive()
		if err != nil {
			break
		}
		if o.body != nil {
			o.body.deliver(f, done)
		}
	}
	if o.body != nil {
		o.body.abort()
	}
	select {
	case <-done:
	default:
		o.runtime.post(&event.OfferWithdrawn{At: o.runtime.clock.now(), Request: o.id})
	}
}

func (o *offer) run() {
	for {
		cmd := <-o.commands
		switch cmd.op {
		case opClaim:
			o.claim()
		case opDispatch:
			if o.attempt(cmd) {
				return
			}
		case opRefuseOffer:
			o.refuse(cmd)
			return
		case opReplayOffer:
			o.replay()
			return
		}
	}
}

func (o *offer) cancelAttempt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancel != nil {
		o.cancel()
	}
}

func (o *offer) setCancel(cancel context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancel = cancel
}

func (o *offer) refuse(cmd offerCommand) {
	o.recordEntry(journal.RequestEntry{
		Step:    journal.StepOfferRefused,
		Subject: string(o.runtime.self),
		Outcome: cmd.outcome,
		Cause:   cmd.cause,
	})
	if cmd.release {
		o.release()
	}
	refuse := &linkpb.Refuse{Outcome: uint32(cmd.outcome), Cause: string(cmd.cause)}
	_ = o.conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Refuse{Refuse: refuse}})
}

// attempt sends the request to a backend server and relays its answer to the
// ingress. It reports whether the offer has ended.
func (o *offer) attempt(cmd offerCommand) bool {
	r := o.runtime
	backend, ok := r.view.Load().backend(cmd.backend)
	if !ok {
		o.attemptFinished(cmd.backend, event.AttemptNotSent, nil)
		return false
	}
	o.attempts++
	o.attempting = cmd.backend
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.setCancel(cancel)
	a := o.upstreamAttempt(cmd)
	a.Address = backend.Address
	stop := o.startSlowTimer(cmd, a)
	started := r.clock.now()
	answer, err := r.upstream.Send(ctx, a)
	stop()
	if err != nil {
		o.recordAttemptFailure(cmd.backend, started, err)
		o.attemptFinished(cmd.backend, unansweredResult(err.Result), err)
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	o.recordAnswer(cmd.backend, started, answer.Status)
	o.relayAnswer(cmd.backend, answer)
	return true
}

// responseTimeout returns the longest time to wait for an answer. A once request,
// which must run at most once, may exceed its deadline, since its result is useful
// even when it is late.
func (o *offer) responseTimeout(left time.Duration) time.Duration {
	if o.meta.Kind == model.Once {
		return max(left, upstream.DefaultProgressTimeout) + lateGrace
	}
	return max(left, 0) + lateGrace
}

// startSlowTimer posts AttemptSlow if the attempt has no answer after
// cmd.slowAfter on a reused connection. Only such a connection may have become silent
// while new ones work; on a new one the server is at work. The returned function stops
// the timer.
func (o *offer) startSlowTimer(cmd offerCommand, a *upstream.Attempt) func() {
	var timer *time.Timer
	if cmd.slowAfter > 0 {
		a.Connected = func(reused bool) {
			if reused {
				timer = time.AfterFunc(cmd.slowAfter, func() {
					o.runtime.panics.Do(contain.Attempt, func() { o.attemptSlow(cmd.backend) })
				})
			}
		}
	}
	return func() {
		if timer != nil {
			timer.Stop()
		}
	}
}

func (o *offer) bodyUsed() bool { return o.body != nil && o.body.used() }

func (o *offer) upstreamAttempt(cmd offerCommand) *upstream.Attempt {
	left := o.meta.Deadline.Sub(o.runtime.clock.now())
	a := &upstream.Attempt{
		Backend:         cmd.backend,
		Method:          o.frame.GetMethod(),
		URI:             o.frame.GetUri(),
		Header:          fromFrameHeaders(o.frame.GetHeaders()),
		Body:            o.frame.GetBody(),
		TraceID:         o.meta.TraceID,
		IdempotencyKey:  o.meta.IdempotencyKey,
		DeadlineLeft:    max(left, time.Millisecond),
		ResponseTimeout: o.responseTimeout(left),
		FreshConnection: cmd.freshConnection,
	}
	if o.body != nil {
		a.BodyStream = o.body
		a.BodyBytes = o.meta.BodyBytes
	}
	return a
}

// relayAnswer streams the backend server's answer to the ingress.
func (o *offer) relayAnswer(backend model.BackendName, a *upstream.Response) {
	if o.body != nil {
		o.body.abort() // the server has answered, so the rest of the body is dropped
	}
	head := &linkpb.Answer{
		Status:    uint32(a.Status),
		Headers:   toFrameHeaders(a.Header),
		BodyBytes: a.BodyBytes,
		Backend:   string(backend),
	}
	captured := &captureBuffer{limit: maxStoredAnswer}
	var body io.Reader = a.Body
	once := o.meta.Kind == model.Once
	if once {
		body = io.TeeReader(a.Body, captured)
	}
	sendErr := o.conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: head}})
	var readErr error
	if sendErr == nil {
		_, readErr, sendErr = link.SendBody(o.conn, body, a.BodyBytes, model.CauseAnswerIncomplete)
	}
	if sendErr != nil && once && readErr == nil {
		_, readErr = io.Copy(io.Discard, body) // the ledger needs the complete answer
	}
	o.finishAnswer(backend, a, captured, readErr, sendErr)
}

// finishAnswer posts the result of the attempt. It stores a complete answer to a
// once request for repeated requests.
func (o *offer) finishAnswer(backend model.BackendName, a *upstream.Response, captured *captureBuffer, readErr, sendErr error) {
	result := event.AttemptComplete
	switch {
	case readErr != nil:
		o.recordEntry(errorEntry(journal.StepServerAnswerTruncated, string(backend), readErr))
		result = event.AttemptTruncated
	case sendErr != nil && o.meta.Kind != model.Once:
		result = event.AttemptCancelled
	case a.Status >= 500:
		result = event.AttemptFailed
	}
	o.attempting = ""
	o.runtime.post(&event.AttemptFinished{
		At:       o.runtime.clock.now(),
		Request:  o.id,
		Backend:  backend,
		Result:   result,
		Draining: a.Draining,

		Rate:      a.Report.Limit,
		RateNamed: a.Report.HasLimit,
	})
	if o.meta.Kind == model.Once && readErr == nil {
		o.store(a, captured)
	}
}

// captureBuffer holds a copy of an answer body that may have to be stored. Once
// the body exceeds limit bytes, overflow is set and the data is incomplete.
type captureBuffer struct {
	buffer   bytes.Buffer
	limit    int
	overflow bool
}

// Write implements io.Writer; it never fails.
func (c *captureBuffer) Write(p []byte) (int, error) {
	if c.buffer.Len()+len(p) > c.limit {
		c.overflow = true
		return len(p), nil
	}
	return c.buffer.Write(p)
}

// offeredBody is a streamed request body. Its first Read sends an Accept frame,
// which allows the ingress to send the body.
type offeredBody struct {
	conn       link.Conn
	frames     chan *linkpb.Frame
	reader     io.Reader
	acceptOnce sync.Once
	abortOnce  sync.Once
	aborted    chan struct{} // closed when the rest of the body will not arrive or is not needed
	mu         sync.Mutex
	accepted   bool // Read has been called
}

func newOfferedBody(conn link.Conn) *offeredBody {
	b := &offeredBody{conn: conn, frames: make(chan *linkpb.Frame, 1), aborted: make(chan struct{})}
	b.reader = link.NewBodyReader(b.receive, "request body")
	return b
}

// Read implements io.Reader.
func (b *offeredBody) Read(p []byte) (int, error) {
	var err error
	b.acceptOnce.Do(func() {
		b.mu.Lock()
		b.accepted = true
		b.mu.Unlock()
		err = b.conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Accept{Accept: &linkpb.Accept{}}})
	})
	if err != nil {
		return 0, err
	}
	return b.reader.Read(p)
}

func (b *offeredBody) used() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

func (b *offeredBody) receive() (*linkpb.Frame, error) {
	select {
	case f := <-b.frames:
		return f, nil
	default:
	}
	select {
	case f := <-b.frames:
		return f, nil
	case <-b.aborted:
		return nil, io.ErrUnexpectedEOF
	}
}

// deliver passes a frame to the reader. It blocks until the reader takes the frame,
// and drops it once the body is aborted or the offer is done.
func (b *offeredBody) deliver(f *linkpb.Frame, done <-chan struct{}) {
	select {
	case b.frames <- f:
	case <-b.aborted:
	case <-done:
	}
}

func (b *offeredBody) abort() { b.abortOnce.Do(func() { close(b.aborted) }) }

var errAnswerTooLarge = errors.New("answer body exceeds the size limit of stored answers")
