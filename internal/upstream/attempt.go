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
	// Body is the whole request body; it is used where BodyStream is nil.
	Body []byte
	// BodyStream is read until io.EOF, and not after Send has returned.
	BodyStream io.Reader
	// BodyBytes is the length of BodyStream, -1 when unknown.
	BodyBytes      int64
	Trace          string
	IdempotencyKey string
	// ExpectServer is the only server that may run the request, empty for any.
	ExpectServer model.BackendName
	// DeadlineLeft is what the backend server is told; 0 tells
	// it nothing. The attempt itself is bounded by its context.
	DeadlineLeft time.Duration
	// AnswerTimeout bounds the wait for the first byte of the answer after the
	// request has been sent; 0 means the client's progress time-out.
	AnswerTimeout time.Duration
	// FreshConnection forbids a pooled connection.
	FreshConnection bool
	// MaxIdle bounds how long a pooled connection may have been idle; 0 means the
	// client's idle time-out.
	MaxIdle time.Duration
}

// Answer is a backend server's answer. Its body must be closed.
type Answer struct {
	Status int
	Header httpheader.List // without hop-by-hop fields
	// BodyBytes is the declared length of the body, -1 when unknown. An answer to
	// HEAD declares a length too, but its Body is empty.
	BodyBytes int64
	// Body returns io.EOF only after the whole answer, io.ErrUnexpectedEOF when
	// the connection broke before, and ErrNoProgress when it went silent.
	Body     io.ReadCloser
	Draining bool // the backend server announced that it is leaving
	Reused   bool // the connection had carried a request before
	Report   Report
}

// Report is what a backend server says of itself on an answer.
type Report struct {
	Server   model.BackendName // empty where it does not say
	Load     Load
	HasLoad  bool
	ColdLeft time.Duration // how long it stays cold
	HasCold  bool
}

// Load is a backend server's own count of requests.
type Load struct{ Running, Waiting, Slots int }

// Step names the part of an attempt at which it failed.
type Step string

// The steps of an attempt.
const (
	StepLimit    Step = "connection limit"
	StepDial     Step = "dial"
	StepSend     Step = "send request"
	StepReadBody Step = "read request body" // the caller's side failed
	StepReceive  Step = "receive answer"
	StepShed     Step = "shed by server"
	StepStatus   Step = "read status"
)

// SendError says how an attempt ended that has no answer to pass on.
type SendError struct {
	Result event.AttemptResult
	// Sent reports whether any byte of the request was written.
	Sent       bool
	RetryAfter time.Duration // the server's hint with event.AttemptShed
	Draining   bool
	// Misdirected reports that another server answers at the address.
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
