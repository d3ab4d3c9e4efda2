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

// Outcomes that only the caller can observe, in addition to those of package model.
const (
	outcomeUnreachable = "unreachable" // no entry instance accepted a connection
	outcomeBroken      = "broken"      // the exchange failed for another reason, such as a broken connection
	outcomeTimeout     = "timeout"     // no answer within the attempt's timeout
	outcomeCut         = "cut"         // the answer ended early
	outcomeWrong       = "wrong"       // the answer failed verification or has no outcome header
	outcomeDropped     = "dropped"     // not sent: the tool had reached its limit of requests in flight
)

// defaultRetryDelay is the delay before a retry if the answer has no Retry-After.
const defaultRetryDelay = 50 * time.Millisecond

// maxRetryDelay caps the delay taken from Retry-After.
const maxRetryDelay = 2 * time.Second

// observation describes how one request ended.
type observation struct {
	outcome     string
	cause       string
	status      int // 0 without an answer
	retries     int
	failedDials int // connection attempts to entry instances that failed
	detail      string
	retryDelay  time.Duration // delay before a retry, from Retry-After
}

// caller sends requests, with retries and failover between entry instances.
type caller struct {
	experiment *Experiment
	clients    *clients
}

// do sends a request and retries it while the outcome is not-run, up to the
// experiment's number of retries.
func (c *caller) do(q *request, d *directory) observation {
	o := c.attempt(q, d)
	for o.outcome == model.NotRun.String() && o.retries < c.experiment.Retries {
		time.Sleep(o.retryDelay)
		next := c.attempt(q, d)
		next.retries = o.retries + 1
		next.failedDials += o.failedDials
		o = next
	}
	return o
}

// attempt tries the entry instances in order until one accepts a connection.
func (c *caller) attempt(q *request, d *directory) observation {
	var failedDials int
	for _, address := range d.list() {
		o, err := c.send(q, address, d)
		var unreachable *dialError
		if !errors.As(err, &unreachable) {
			o.failedDials = failedDials
			return o
		}
		failedDials++
		d.invalidate()
	}
	return observation{outcome: outcomeUnreachable, failedDials: failedDials}
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
		outcome:    string(resp.Header.Peek(httpheader.Outcome)),
		cause:      string(resp.Header.Peek(httpheader.Cause)),
		status:     resp.StatusCode(),
		retryDelay: retryDelay(resp),
	}
	if err := verify(q, class, resp); err != nil {
		o.outcome, o.detail = outcomeWrong, err.Error()
	}
	if o.outcome == "" {
		o.outcome, o.detail = outcomeWrong, "answer has no outcome header"
	}
	return o
}

func retryDelay(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(httpheader.RetryAfter)))
	if err != nil || seconds <= 0 {
		return defaultRetryDelay
	}
	return min(time.Duration(seconds)*time.Second, maxRetryDelay)
}
