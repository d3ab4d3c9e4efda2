package platform

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// maxIdleConnection is how long an unused connection is kept.
const maxIdleConnection = 20 * time.Second

// ErrThrottled is wrapped by the UnavailableError of a call that the platform
// refused because its rate was reached.
var ErrThrottled = errors.New("rate of the platform reached")

// ErrRejected is wrapped by the UnavailableError of a call that the platform
// found malformed; repeating it cannot help.
var ErrRejected = errors.New("request rejected")

// request is one call in terms of HTTP.
type request struct {
	step        Step
	method      string
	path        string
	query       string // value of the object's name parameter, empty for none
	body        []byte
	contentType string
	// readOnly marks a call that has no effect, so that a lost reply is harmless.
	readOnly bool
}

// answer is a reply that the service gave on purpose.
type answer struct {
	status   int
	notFound bool
	body     []byte
}

// transport sends single attempts and classifies how they fail.
type transport struct {
	peer     string
	classify func(httpAnswer *fasthttp.Response) (Verdict, bool)
	http     *fasthttp.HostClient
}

// dialError marks a failure before any byte of a request was written.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newTransport(settings Settings) *transport {
	return &transport{
		peer:     settings.Address,
		classify: ownVerdict,
		http: &fasthttp.HostClient{
			Addr:                      settings.Address,
			DialTimeout:               dial,
			MaxConns:                  settings.MaxConns,
			MaxIdleConnDuration:       maxIdleConnection,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			NoDefaultUserAgentHeader:  true,
			ReadTimeout:               settings.CallTimeout,
			WriteTimeout:              settings.CallTimeout,
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

// neverRetry keeps the HTTP client from repeating a call on its own.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func (t *transport) close() { t.http.CloseIdleConnections() }

// send makes one attempt that ends by deadline.
func (t *transport) send(req request, deadline time.Time) (*answer, error) {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	httpAnswer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpAnswer)

	t.fill(httpRequest, req)
	if !deadline.After(time.Now()) {
		return nil, t.unavailable(req, fasthttp.ErrTimeout)
	}
	if err := t.http.DoDeadline(httpRequest, httpAnswer, deadline); err != nil {
		return nil, t.classifyFailure(req, err)
	}
	return t.classifyAnswer(req, httpAnswer)
}

func (t *transport) fill(httpRequest *fasthttp.Request, req request) {
	httpRequest.Header.SetMethod(req.method)
	httpRequest.SetRequestURI("http://" + t.peer + req.path)
	if req.query != "" {
		httpRequest.URI().QueryArgs().Set(wire.ObjectNameParam, req.query)
	}
	if req.contentType != "" {
		httpRequest.Header.SetContentType(req.contentType)
	}
	httpRequest.SetBodyRaw(req.body)
}

// classifyFailure handles an attempt without a complete answer. Only a failure
// to get a connection proves that nothing was applied.
func (t *transport) classifyFailure(req request, err error) error {
	t.distrustConnections(err)
	var notConnected *dialError
	if errors.As(err, &notConnected) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return t.unavailable(req, err)
	}
	return t.unanswered(req, err)
}

// distrustConnections closes the idle connections after a time-out: whatever
// silenced one connection may have silenced those of the same age.
func (t *transport) distrustConnections(err error) {
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &timeout) && timeout.Timeout()) {
		t.http.CloseIdleConnections()
	}
}

// classifyAnswer turns error statuses into errors.
func (t *transport) classifyAnswer(req request, httpAnswer *fasthttp.Response) (*answer, error) {
	status := httpAnswer.StatusCode()
	verdict, notFound := t.classify(httpAnswer)
	switch verdict {
	case Answered:
		return &answer{status: status, notFound: notFound, body: append([]byte(nil), httpAnswer.Body()...)}, nil
	case Throttled:
		return nil, t.unavailable(req, ErrThrottled)
	case Rejected:
		return nil, t.unavailable(req, fmt.Errorf("%w: %s", ErrRejected, httpAnswer.Body()))
	case NotApplied:
		return nil, t.unavailable(req, fmt.Errorf("status %d: %s", status, httpAnswer.Body()))
	default:
		return nil, t.unanswered(req, fmt.Errorf("status %d", status))
	}
}

// ownVerdict reads an answer of the project's own protocol.
func ownVerdict(httpAnswer *fasthttp.Response) (Verdict, bool) {
	status := httpAnswer.StatusCode()
	notApplied := string(httpAnswer.Header.Peek(wire.HeaderNotApplied)) == wire.MarkerTrue
	notFound := string(httpAnswer.Header.Peek(wire.HeaderNotFound)) == wire.MarkerTrue
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

// unanswered is the error of an attempt of which the outcome was not told.
func (t *transport) unanswered(req request, err error) error {
	if req.readOnly {
		return t.unavailable(req, err)
	}
	return &UncertainError{Step: req.step, Peer: t.peer, Err: err}
}

func (t *transport) unavailable(req request, err error) error {
	return &UnavailableError{Step: req.step, Peer: t.peer, Err: err}
}
