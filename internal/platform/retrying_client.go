package platform

import (
	"context"

	"github.com/valyala/fasthttp"
)

// AnswerClass says what an HTTP response proves about its call.
type AnswerClass uint8

// The classes.
const (
	Uncertain  AnswerClass = iota // the call may have been applied
	Answered                      // the service processed the call and answered it
	NotApplied                    // the call provably had no effect
	Throttled                     // the call had no effect, because the rate limit was reached
	Rejected                      // the call had no effect, and a retry would fail as well
)

// Call describes a call of a RetryingClient.
type Call struct {
	Step        Step
	Method      string
	Target      string // path and query
	Body        []byte
	ContentType string
	// ReadOnly marks a call without side effects, for which a lost reply is harmless.
	ReadOnly bool
	// ReplyHeader names the header field that Reply.Header holds; empty for none.
	ReplyHeader string
}

// Reply is an HTTP response of the class Answered.
type Reply struct {
	Status int
	Header string // value of Call.ReplyHeader, empty if missing
	Body   []byte
}

// RetryingClient sends calls of a protocol other than the one of package wire, with the
// same timeouts, retries and circuit breaker as Client.
type RetryingClient struct{ policy *policy }

// NewRetryingClient returns a RetryingClient that classifies a response by passing its
// HTTP status to classify.
func NewRetryingClient(s Settings, classify func(status int) AnswerClass) *RetryingClient {
	p := newPolicy(s)
	p.transport.classify = func(httpResponse *fasthttp.Response) (AnswerClass, bool) {
		return classify(httpResponse.StatusCode()), false
	}
	return &RetryingClient{policy: p}
}

// Call sends a call. It fails with *UnavailableError or *UncertainError.
func (c *RetryingClient) Call(ctx context.Context, call Call) (*Reply, error) {
	got, err := c.policy.call(ctx, request{
		step:         call.Step,
		method:       call.Method,
		path:         call.Target,
		body:         call.Body,
		contentType:  call.ContentType,
		readOnly:     call.ReadOnly,
		answerHeader: call.ReplyHeader,
	})
	if err != nil {
		return nil, err
	}
	return &Reply{Status: got.status, Header: got.header, Body: got.body}, nil
}

// DecodeError returns the error for a reply that cannot be decoded. err is the cause.
func (c *RetryingClient) DecodeError(call Call, err error) error {
	return c.policy.transport.unknownOutcomeError(request{step: call.Step, readOnly: call.ReadOnly}, err)
}

// Stats returns attempt counts and the breaker state for metrics, labelled with
// service.
func (c *RetryingClient) Stats(service Service) ServiceStats { return c.policy.stats(service) }

// Close closes idle connections.
func (c *RetryingClient) Close() { c.policy.close() }
