package platform

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// maxIdleConnDuration is how long an unused connection is kept.
const maxIdleConnDuration = 20 * time.Second

// MaxAnswerBytes bounds the body of one answer. It is several times the size of the largest
// table that instances read.
const MaxAnswerBytes = 32 << 20

// ErrThrottled is wrapped by the UnavailableError of a call that the platform
// refused because its rate limit was reached.
var ErrThrottled = errors.New("platform rate limit reached")

// ErrRejected is wrapped by the UnavailableError of a call that the platform
// rejected as malformed. A retry would fail as well.
var ErrRejected = errors.New("request rejected by the platform")

// request describes the HTTP request of a call.
type request struct {
	step        Step
	method      string
	path        string
	objectName  string // value of the object name parameter; empty if there is none
	body        []byte
	contentType string
	// readOnly marks a call without side effects, for which a lost reply is harmless.
	readOnly bool
	// answerHeader names the header field of the response to keep; empty for none.
	answerHeader string
}

// answer is a copy of an HTTP response of the class Answered.
type answer struct {
	status   int
	notFound bool
	header   string // value of request.answerHeader
	body     []byte
}

// transport sends single attempts and classifies their failures.
type transport struct {
	peer string
	// classify returns the class of a response and whether it reports that the
	// requested object does not exist.
	classify func(httpResponse *fasthttp.Response) (AnswerClass, bool)
	http     *fasthttp.HostClient
}

// dialError marks a failure to connect: no byte of a request was written.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newTransport(settings Settings) *transport {
	return &transport{
		peer:     settings.Address,
		classify: classifyWire,
		http: &fasthttp.HostClient{
			Addr:                      settings.Address,
			DialTimeout:               dial,
			MaxConns:                  settings.MaxConns,
			MaxIdleConnDuration:       maxIdleConnDuration,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			Transport:                 checkedRoundTripper{},
			NoDefaultUserAgentHeader:  true,
			ReadTimeout:               settings.AttemptTimeout,
			WriteTimeout:              settings.AttemptTimeout,
			MaxResponseBodySize:       MaxAnswerBytes,
		},
	}
}

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

// neverRetry prevents the HTTP client from repeating a call by itself.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func (t *transport) close() { t.http.CloseIdleConnections() }

// send makes one attempt, which ends at the deadline.
func (t *transport) send(req request, deadline time.Time) (*answer, error) {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	httpResponse := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResponse)

	t.fillRequest(httpRequest, req)
	if !deadline.After(time.Now()) {
		return nil, t.unavailableError(req, fasthttp.ErrTimeout)
	}
	if err := t.http.DoDeadline(httpRequest, httpResponse, deadline); err != nil {
		return nil, t.classifyFailure(req, err)
	}
	return t.classifyAnswer(req, httpResponse)
}

func (t *transport) fillRequest(httpRequest *fasthttp.Request, req request) {
	httpRequest.Header.SetMethod(req.method)
	httpRequest.SetRequestURI("http://" + t.peer + req.path)
	if req.objectName != "" {
		httpRequest.URI().QueryArgs().Set(wire.ObjectNameParam, req.objectName)
	}
	if req.contentType != "" {
		httpRequest.Header.SetContentType(req.contentType)
	}
	httpRequest.SetBodyRaw(req.body)
}

// classifyFailure returns the error of an attempt without a complete response. Only a
// failure to obtain a connection proves that nothing was applied.
func (t *transport) classifyFailure(req request, err error) error {
	t.closeIdleAfterTimeout(err)
	var notConnected *dialError
	if errors.As(err, &notConnected) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return t.unavailableError(req, err)
	}
	return t.unknownOutcomeError(req, err)
}

// closeIdleAfterTimeout closes all idle connections after a timeout, because the cause
// of the timeout may affect the other connections as well.
func (t *transport) closeIdleAfterTimeout(err error) {
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &timeout) && timeout.Timeout()) {
		t.http.CloseIdleConnections()
	}
}

// classifyAnswer converts an HTTP response into an answer or an error.
func (t *transport) classifyAnswer(req request, httpResponse *fasthttp.Response) (*answer, error) {
	status := httpResponse.StatusCode()
	class, notFound := t.classify(httpResponse)
	switch class {
	case Answered:
		got := &answer{status: status, notFound: notFound, body: append([]byte(nil), httpResponse.Body()...)}
		if req.answerHeader != "" {
			got.header = string(httpResponse.Header.Peek(req.answerHeader))
		}
		return got, nil
	case Throttled:
		return nil, t.unavailableError(req, ErrThrottled)
	case Rejected:
		return nil, t.unavailableError(req, fmt.Errorf("%w: %s", ErrRejected, errorText(httpResponse)))
	case NotApplied:
		return nil, t.unavailableError(req, fmt.Errorf("status %d: %s", status, errorText(httpResponse)))
	default:
		return nil, t.unknownOutcomeError(req, fmt.Errorf("status %d", status))
	}
}

// maxErrorText bounds the part of an answer's body that an error repeats.
const maxErrorText = 256

func errorText(httpResponse *fasthttp.Response) []byte {
	body := httpResponse.Body()
	return body[:min(len(body), maxErrorText)]
}

// classifyWire classifies a response of the protocol of package wire, and reports
// whether it says that the object does not exist.
func classifyWire(httpResponse *fasthttp.Response) (AnswerClass, bool) {
	status := httpResponse.StatusCode()
	notApplied := string(httpResponse.Header.Peek(wire.HeaderNotApplied)) == wire.MarkerTrue
	notFound := string(httpResponse.Header.Peek(wire.HeaderNotFound)) == wire.MarkerTrue
	switch {
	case status/100 == 2, status == fasthttp.StatusConflict, notFound:
		return Answered, notFound
	case notApplied && status == fasthttp.StatusTooManyRequests:
		return Throttled, false
	case notApplied && status == fasthttp.StatusBadRequest:
		return Rejected, false
	case notApplied:
		return NotApplied, false
	default:
		return Uncertain, false
	}
}

// unknownOutcomeError returns the error of an attempt whose outcome is unknown.
// A read-only call has no effect, so its error is *UnavailableError rather than
// *UncertainError.
func (t *transport) unknownOutcomeError(req request, err error) error {
	if req.readOnly {
		return t.unavailableError(req, err)
	}
	return &UncertainError{Step: req.step, Peer: t.peer, Err: err}
}

func (t *transport) unavailableError(req request, err error) error {
	return &UnavailableError{Step: req.step, Peer: t.peer, Err: err}
}
