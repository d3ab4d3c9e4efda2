package edge

import (
	"context"
	"errors"
	"sync"

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
	outcomes chan outcome  // from hedges
	ended    chan struct{} // closed when outcomes are no longer received
	hedges   sync.WaitGroup
	// responded is set when an answer has been passed on, or begins to be. It belongs to the
	// serving goroutine.
	responded bool

	mu      sync.Mutex
	waiting map[int]context.CancelCauseFunc // attempts that wait for an answer, by number
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
	release  func() // releases the attempt's context
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
	c.cancelWaiting()
	c.hedges.Wait()
}

// hedge makes an attempt beside the running one.
func (c *call) hedge(f *dispatch.Send) {
	c.edge.requests.hedged(c.x, f)
	c.edge.metrics.hedges.Inc()
	c.hedges.Go(func() {
		o := c.send(f)
		if o.answer != nil {
			c.cancelWaiting()
		} else if o.next == nil {
			return
		}
		select {
		case c.outcomes <- o:
		case <-c.ended:
			c.discard(o.answer)
		}
	})
}

// discard drops a hedge's answer that came too late. A call that waits for an effect
// receives it before it ends, so that there is always an answer.
func (c *call) discard(a *answer) {
	_ = a.response.Body.Close() // another answer has been passed on
	a.release()
	c.edge.post(&dispatch.AttemptEnded{
		At: c.edge.clock.now(), Request: c.id, Attempt: a.send.Attempt, Result: event.AttemptCancelled,
		Draining: a.response.Draining, Report: c.edge.serverReport(a.send.Server.ID, &a.response.Report),
	})
}

// startWaiting registers an attempt that waits for an answer.
func (c *call) startWaiting(attempt int, cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[attempt] = cancel
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
