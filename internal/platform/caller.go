package platform

import (
	"context"

	"github.com/valyala/fasthttp"
)

// Verdict says what the status of an answer means for its call.
type Verdict uint8

// The verdicts.
const (
	Uncertain  Verdict = iota // the call may have been applied
	Answered                  // an answer on purpose
	NotApplied                // provably without effect
	Throttled                 // without effect, since the rate was reached
	Rejected                  // without effect, and repeating it cannot help
)

// Call is one call of a Caller.
type Call struct {
	Step        Step
	Method      string
	Target      string // path and query
	Body        []byte
	ContentType string
	// ReadOnly marks a call that has no effect, so that a lost reply is harmless.
	ReadOnly bool
}

// Reply is an answer that the service gave on purpose.
type Reply struct {
	Status int
	Body   []byte
}

// Caller makes the calls of a client that speaks another protocol than this
// package's own, with the same time-outs, retries and circuit breaker.
type Caller struct{ policy *policy }

// NewCaller returns a caller; verdict reads the status of an answer.
func NewCaller(s Settings, verdict func(status int) Verdict) *Caller {
	p := newPolicy(s)
	p.transport.classify = func(httpAnswer *fasthttp.Response) (Verdict, bool) {
		return verdict(httpAnswer.StatusCode()), false
	}
	return &Caller{policy: p}
}

// Call fails with *UnavailableError or *UncertainError.
func (c *Caller) Call(ctx context.Context, call Call) (*Reply, error) {
	got, err := c.policy.call(ctx, request{
		step:        call.Step,
		method:      call.Method,
		path:        call.Target,
		body:        call.Body,
		contentType: call.ContentType,
		readOnly:    call.ReadOnly,
	})
	if err != nil {
		return nil, err
	}
	return &Reply{Status: got.status, Body: got.body}, nil
}

// Unusable returns the error of a reply that cannot be read.
func (c *Caller) Unusable(call Call, err error) error {
	return c.policy.transport.unanswered(request{step: call.Step, readOnly: call.ReadOnly}, err)
}

// Stats returns the state of the calls, for metrics.
func (c *Caller) Stats(service Service) ServiceStats { return c.policy.stats(service) }

// Close closes the idle connections.
func (c *Caller) Close() { c.policy.close() }
