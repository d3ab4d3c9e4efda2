package upstream

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Attempt is one request to one backend server.
type Attempt struct {
	Backend model.BackendName
	Address netip.AddrPort
	Method  string
	URI     []byte // path and query
	Header  httpheader.List
	// Body is the whole request body, used if BodyStream is nil.
	Body []byte
	// BodyStream is read until io.EOF, and not after Send has returned.
	BodyStream io.Reader
	// AbortBody, if set, makes a read of BodyStream fail. It is called when the server has
	// answered and the caller does not send on.
	AbortBody func()
	// BodyBytes is the length of BodyStream, -1 if unknown.
	BodyBytes      int64
	TraceID        string
	IdempotencyKey string
	// ExpectServer is the only backend server that may run the request, empty for any.
	ExpectServer model.BackendName
	// KeyChecked reports that the caller's key has been checked: it is not sent, and
	// Organisation replaces the name that the caller sent, if any.
	KeyChecked   bool
	Organisation model.OrganisationName // empty for none
	// DeadlineLeft is the remaining time sent to the backend server, 0 to send none.
	// The attempt itself is bounded by its context.
	DeadlineLeft time.Duration
	// ResponseTimeout bounds the wait for the first byte of the response after the
	// request has been sent; 0 means the client's progress timeout.
	ResponseTimeout time.Duration
	// FreshConnection requires a new connection instead of a pooled one.
	FreshConnection bool
	// Connected, if set, is called before the request is sent, with whether the
	// connection has carried an earlier request.
	Connected func(reused bool)
	// MaxIdle bounds how long a pooled connection may have been idle; 0 means the
	// client's idle timeout.
	MaxIdle time.Duration
}

// Response is a backend server's response. Its body must be closed.
type Response struct {
	Status int
	Header httpheader.List // without hop-by-hop fields
	// BodyBytes is the declared length of the body, -1 if unknown. A response to HEAD
	// declares a length too, but its Body is empty.
	BodyBytes int64
	// Body returns io.EOF only at the end of a complete response, io.ErrUnexpectedEOF
	// if the connection broke before that, and ErrNoProgress if the progress timeout
	// expired.
	Body     io.ReadCloser
	Draining bool // the backend server announced that it is draining
	Reused   bool // the connection had carried an earlier request
	Report   Report
}

// Report holds what a backend server reports about itself in a response's header.
type Report struct {
	Server  model.BackendName // empty if not reported
	Load    httpheader.ServerLoad
	HasLoad bool
	// ColdLeft is how much longer the server remains cold, that is, limited to a lower
	// request rate after its start.
	ColdLeft time.Duration
	HasCold  bool
	// Limit is the number of requests per second that the server takes from all instances
	// together. LimitNamed is also set if the field could not be parsed.
	Limit      float64
	HasLimit   bool
	LimitNamed bool
	// RetryAfter is the time for which a server that refused a request wants nothing, 0 if
	// it named none.
	RetryAfter time.Duration
	// Invalid lists the fields that could not be parsed.
	Invalid []*httpheader.FieldError
}

// Step is the step at which an attempt failed.
type Step string

// The steps of an attempt.
const (
	StepLimit    Step = "connection limit" // also for want of a file descriptor or processor; says nothing about the server
	StepDial     Step = "dial"
	StepSend     Step = "send request"
	StepReadBody Step = "read request body" // reading the caller's body failed
	StepReceive  Step = "receive answer"
	StepShed     Step = "shed by server"
	StepStatus   Step = "read status"
)

// SendError reports how an attempt without a response to pass on ended.
type SendError struct {
	Result event.AttemptResult
	// Sent reports whether any byte of the request was written.
	Sent       bool
	RetryAfter time.Duration // the server's hint with event.AttemptShed
	Draining   bool
	// Misdirected reports whether the address belongs to a backend server other than
	// the expected one.
	Misdirected bool
	Report      Report
	Step        Step
	Backend     model.BackendName
	Peer        netip.AddrPort
	Err         error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("%s: backend server %q at %s: %v", e.Step, e.Backend, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }
