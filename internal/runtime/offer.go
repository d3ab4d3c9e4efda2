package runtime

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

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

// offerCommand is an effect for the goroutine that serves an offer.
type offerCommand struct {
	op       offerOp
	backend  model.BackendName
	fresh    bool
	patience time.Duration
	outcome  model.Outcome
	cause    model.Cause
	release  bool
}

// offer is a request at the owner of its backend server, served by one
// goroutine.
type offer struct {
	runtime  *Runtime
	id       model.RequestID
	frame    *linkpb.Offer
	conn     link.Conn
	meta     model.RequestMeta
	commands chan offerCommand
	body     *offeredBody // streamed request body, nil where it is in the frame
	stored   *ledger.Answer
	attempts int
	claimed  bool          // the ledger granted the idempotency key
	waiting  model.Instant // since when it waits for a slot

	mu     sync.Mutex
	cancel context.CancelFunc // of the running attempt
}

// ServeOffer implements link.OfferHandler.
func (r *Runtime) ServeOffer(from model.InstanceID, frame *linkpb.Offer, conn link.Conn) {
	o := &offer{
		runtime:  r,
		id:       r.nextID(),
		frame:    frame,
		conn:     conn,
		meta:     metaOf(frame, r.clock.now()),
		commands: make(chan offerCommand, 4),
	}
	if frame.GetStreamed() {
		o.body = newOfferedBody(conn)
	}
	r.mu.Lock()
	r.offers[o.id] = o
	r.mu.Unlock()
	o.waiting = r.clock.now()
	done := make(chan struct{})
	go o.watch(done)
	r.post(&event.OfferReceived{At: r.clock.now(), Request: o.id, From: from, Meta: &o.meta, Spill: frame.GetSpill()})
	o.run()
	r.mu.Lock()
	delete(r.offers, o.id)
	r.mu.Unlock()
	close(done)
}

func (r *Runtime) instruct(id model.RequestID, cmd offerCommand) {
	if o := r.offers[id]; o != nil {
		o.commands <- cmd
	}
}

// watch reads what the ingress sends: chunks of a streamed body, then nothing
// until it closes. Closing withdraws the offer.
func (o *offer) watch(done <-chan struct{}) {
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
	o.explain(journal.RequestEntry{
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

// attempt sends the request to one backend server and passes its answer on. It
// reports whether the offer has ended.
func (o *offer) attempt(cmd offerCommand) bool {
	r := o.runtime
	backend, ok := r.view.Load().backend(cmd.backend)
	if !ok {
		o.attemptFinished(cmd.backend, event.AttemptNotSent, nil)
		return false
	}
	o.attempts++
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.setCancel(cancel)
	a := o.upstreamAttempt(cmd)
	a.Address = backend.Address
	stop := o.watchSlow(cmd)
	started := r.clock.now()
	answer, err := r.upstream.Send(ctx, a)
	stop()
	if err != nil {
		o.explainFailure(cmd.backend, started, err)
		o.attemptFinished(cmd.backend, err.Result, err)
		return false
	}
	o.explainAnswer(cmd.backend, started, answer.Status)
	o.pass(cmd.backend, answer)
	return true
}

// answerTimeout bounds the wait for an answer. Work that must run at most once
// gets longer than its deadline, since its result is worth having late.
func (o *offer) answerTimeout(left time.Duration) time.Duration {
	if o.meta.Kind == model.Once {
		return max(left, upstream.DefaultProgressTimeout) + lateGrace
	}
	return max(left, 0) + lateGrace
}

// watchSlow reports an attempt that has no answer after the given patience. The
// returned function ends the watch.
func (o *offer) watchSlow(cmd offerCommand) func() {
	if cmd.patience <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(cmd.patience, func() {
		o.runtime.post(&event.AttemptSlow{
			At:       o.runtime.clock.now(),
			Request:  o.id,
			Backend:  cmd.backend,
			BodyUsed: o.bodyUsed(),
		})
	})
	return func() { timer.Stop() }
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
		Trace:           o.meta.Trace,
		IdempotencyKey:  o.meta.IdempotencyKey,
		DeadlineLeft:    max(left, time.Millisecond),
		AnswerTimeout:   o.answerTimeout(left),
		FreshConnection: cmd.fresh,
	}
	if o.body != nil {
		a.BodyStream = o.body
		a.BodyBytes = o.meta.BodyBytes
	}
	return a
}

func (o *offer) attemptFinished(backend model.BackendName, result event.AttemptResult, err *upstream.SendError) {
	ev := &event.AttemptFinished{
		At:       o.runtime.clock.now(),
		Request:  o.id,
		Backend:  backend,
		Result:   result,
		BodyUsed: o.bodyUsed(),
	}
	if err != nil {
		ev.OwnLimit = err.Step == upstream.StepLimit
		ev.RetryAfter = err.RetryAfter
		ev.Draining = err.Draining
	}
	o.setCancel(nil)
	o.waiting = ev.At
	o.runtime.post(ev)
}

// pass sends the backend server's answer to the ingress while it arrives.
func (o *offer) pass(backend model.BackendName, a *upstream.Answer) {
	defer func() { _ = a.Body.Close() }()
	if o.body != nil {
		o.body.abort() // the server has answered; what is left of the body is dropped
	}
	head := &linkpb.Answer{
		Status:    uint32(a.Status),
		Headers:   toFrameHeaders(a.Header),
		BodyBytes: a.BodyBytes,
		Backend:   string(backend),
	}
	kept := &keptBody{limit: maxStoredAnswer}
	var body io.Reader = a.Body
	once := o.meta.Kind == model.Once
	if once {
		body = io.TeeReader(a.Body, kept)
	}
	sendErr := o.conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: head}})
	var readErr error
	if sendErr == nil {
		_, readErr, sendErr = link.SendBody(o.conn, body, a.BodyBytes, model.CauseAnswerIncomplete)
	}
	if sendErr != nil && once && readErr == nil {
		_, readErr = io.Copy(io.Discard, body) // the ledger needs the whole answer
	}
	o.passed(backend, a, kept, readErr, sendErr)
}

// passed reports how the answer ended and stores it for repeats.
func (o *offer) passed(backend model.BackendName, a *upstream.Answer, kept *keptBody, readErr, sendErr error) {
	result := event.AttemptComplete
	switch {
	case readErr != nil:
		o.explain(errorEntry(journal.StepServerAnswerTruncated, string(backend), readErr))
		result = event.AttemptCut
	case sendErr != nil && o.meta.Kind != model.Once:
		result = event.AttemptCancelled
	case a.Status >= 500:
		result = event.AttemptFailed
	}
	o.runtime.post(&event.AttemptFinished{
		At:       o.runtime.clock.now(),
		Request:  o.id,
		Backend:  backend,
		Result:   result,
		Draining: a.Draining,
	})
	if o.meta.Kind == model.Once && readErr == nil {
		o.store(a, kept)
	}
}

// keptBody holds the start of an answer that may have to be stored.
type keptBody struct {
	buffer   bytes.Buffer
	limit    int
	overflow bool
}

// Write implements io.Writer; it never fails.
func (k *keptBody) Write(p []byte) (int, error) {
	if k.buffer.Len()+len(p) > k.limit {
		k.overflow = true
		return len(p), nil
	}
	return k.buffer.Write(p)
}

// offeredBody is a streamed request body. Its first Read tells the ingress that
// it may send.
type offeredBody struct {
	conn    link.Conn
	frames  chan *linkpb.Frame
	reader  io.Reader
	started sync.Once
	ended   sync.Once
	aborted chan struct{} // closed once no more of the body comes or is wanted
	mu      sync.Mutex
	asked   bool
}

func newOfferedBody(conn link.Conn) *offeredBody {
	b := &offeredBody{conn: conn, frames: make(chan *linkpb.Frame, 1), aborted: make(chan struct{})}
	b.reader = link.NewBody(b.receive, "request body")
	return b
}

// Read implements io.Reader.
func (b *offeredBody) Read(p []byte) (int, error) {
	var err error
	b.started.Do(func() {
		b.mu.Lock()
		b.asked = true
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
	return b.asked
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

// deliver hands a frame to the reader; it waits while the reader is slow, and
// drops the frame once nobody reads any more.
func (b *offeredBody) deliver(f *linkpb.Frame, done <-chan struct{}) {
	select {
	case b.frames <- f:
	case <-b.aborted:
	case <-done:
	}
}

func (b *offeredBody) abort() { b.ended.Do(func() { close(b.aborted) }) }

var errNotStored = errors.New("answer is too large to store")
