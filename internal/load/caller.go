package load

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// Outcomes that only the caller's side sees, besides those of package model.
const (
	outcomeUnreachable = "unreachable" // no entry instance could be connected to
	outcomeBroken      = "broken"      // the connection broke before the answer
	outcomeTimeout     = "timeout"     // no answer in time
	outcomeCut         = "cut"         // the answer ended early
	outcomeWrong       = "wrong"       // the answer failed its check
	outcomeDropped     = "dropped"     // the tool itself was at its bound; not sent
)

// defaultRetryGap is the wait before a retry without a Retry-After.
const defaultRetryGap = 50 * time.Millisecond

// maxRetryGap bounds what a Retry-After can ask for.
const maxRetryGap = 2 * time.Second

// observation is how one request ended.
type observation struct {
	outcome string
	cause   string
	status  int // 0 without an answer
	retries int
	moved   int // entry instances that could not be connected to
	detail  string
	gap     time.Duration // what the answer asks to wait before a retry
}

// caller sends requests as one caller would.
type caller struct {
	experiment *Experiment
	clients    *clients
}

// do sends a request until it has an answer that is not a refusal, or its
// retries are used up.
func (c *caller) do(q *request, d *directory) observation {
	o := c.attempt(q, d)
	for o.outcome == model.NotRun.String() && o.retries < c.experiment.Retries {
		time.Sleep(o.gap)
		next := c.attempt(q, d)
		next.retries = o.retries + 1
		next.moved += o.moved
		o = next
	}
	return o
}

// attempt tries the entry instances in turn until one can be connected to.
func (c *caller) attempt(q *request, d *directory) observation {
	var moved int
	for _, address := range d.list() {
		o, err := c.send(q, address, d)
		var unreachable *dialError
		if !errors.As(err, &unreachable) {
			o.moved = moved
			return o
		}
		moved++
		d.invalidate()
	}
	return observation{outcome: outcomeUnreachable, moved: moved}
}

func (c *caller) send(q *request, address string, d *directory) (observation, error) {
	class := &c.experiment.Classes[q.class]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	q.fill(req, class, address)
	client := c.clients.get(route{source: q.source, entry: address})
	if err := client.DoTimeout(req, resp, c.experiment.timeout(class)); err != nil {
		return observation{outcome: outcomeOf(err), detail: err.Error()}, err
	}
	if resp.ConnectionClose() {
		d.invalidate()
	}
	return observe(q, class, resp), nil
}

func outcomeOf(err error) string {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return outcomeTimeout
	case errors.Is(err, io.ErrUnexpectedEOF):
		return outcomeCut
	default:
		return outcomeBroken
	}
}

func observe(q *request, class *Class, resp *fasthttp.Response) observation {
	o := observation{
		outcome: string(resp.Header.Peek(httpheader.Outcome)),
		cause:   string(resp.Header.Peek(httpheader.Cause)),
		status:  resp.StatusCode(),
		gap:     retryGap(resp),
	}
	if err := verify(q, class, resp); err != nil {
		o.outcome, o.detail = outcomeWrong, err.Error()
	}
	if o.outcome == "" {
		o.outcome, o.detail = outcomeWrong, "the answer says nothing of its outcome"
	}
	return o
}

func retryGap(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(httpheader.RetryAfter)))
	if err != nil || seconds <= 0 {
		return defaultRetryGap
	}
	return min(time.Duration(seconds)*time.Second, maxRetryGap)
}
