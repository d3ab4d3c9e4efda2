package ingress

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// Handler serves exchanges.
type Handler interface {
	// Serve must call Respond or Refuse successfully exactly once before it returns.
	// The connection of an exchange without a response is closed.
	//
	// The context is cancelled when the exchange ends or the caller disconnects, with
	// ErrExchangeEnded or ErrCallerGone as its cause; the
	// server checks the connection of each exchange that takes longer than
	// disconnectCheckInterval. As in net/http, a caller that shuts down only its
	// sending side counts as disconnected.
	//
	// Serve must not use the request body after it has returned.
	Serve(ctx context.Context, x *Exchange)
}

// Exchange is a caller's request and its response.
type Exchange struct {
	Method string
	Path   string          // decoded and cleaned, for route matching
	Host   string          // as received
	URI    []byte          // path and query as received
	Header httpheader.List // without hop-by-hop fields
	Remote netip.Addr
	// TraceID is the request ID sent by the caller, or a generated one.
	TraceID        string
	IdempotencyKey string
	AffinityKey    string // key of the object that the request concerns, empty if unknown
	// DeadlineHint is how long the caller will wait, 0 if it did not say. It can only
	// shorten the route's deadline.
	DeadlineHint time.Duration
	BodyBytes    int64 // length of the body, -1 if unknown
	// Body is the whole body if Replayable is set.
	Body []byte
	// BodyStream is the body if Replayable is not set. It returns
	// io.ErrUnexpectedEOF for a truncated body.
	BodyStream io.Reader
	// Replayable reports whether Body holds the whole body, so that it can be sent
	// again.
	Replayable bool
	// ReadAhead is set if an earlier request of the connection was running when this one was
	// passed to the handler.
	ReadAhead bool

	server     *Server
	ahead      *aheadRequest // nil unless ReadAhead is set
	ctx        *fasthttp.RequestCtx
	watched    watched
	cancel     context.CancelCauseFunc
	responded  bool
	finishOnce sync.Once
}

// Response is the response that a handler passes on to the caller.
type Response struct {
	Status  int
	Header  httpheader.List
	Outcome model.Outcome // Served or Late
	Backend model.BackendName
	// BodyBytes is the length of Body, -1 if unknown.
	BodyBytes int64
	// Body is read until io.EOF. On any other error the caller's connection is
	// closed, so that the caller cannot mistake the response for a complete one. A
	// Body that is an io.Closer is closed at the end.
	Body io.Reader
	// Done, if set, is called once with the number of body bytes passed on and the
	// error that broke the response, if any. For a streamed response it is called
	// after the response has been written, which may be after Serve has returned. For
	// any other response, Respond calls it with a nil error before the response is
	// written.
	Done func(sent int64, err error)
}

// The causes of the cancellation of an exchange's context.
var (
	ErrCallerGone    = errors.New("caller closed its connection")
	ErrExchangeEnded = errors.New("exchange has ended")
)

// ErrNotDelivered is passed to Response.Done if the caller did not take the response.
var ErrNotDelivered = errors.New("response could not be written to the caller")

// ErrAlreadyResponded is returned for a second response to the same exchange.
var ErrAlreadyResponded = errors.New("exchange already has a response")

// Respond sets the response. A body with a declared length of up to
// Settings.BufferBytes is read before Respond returns: if that fails, nothing has
// been sent, Done is not called, and the exchange may still be refused. Any other
// body is sent after Serve has returned; that of a response to HEAD is closed unread.
func (x *Exchange) Respond(a *Response) error {
	if x.responded {
		return ErrAlreadyResponded
	}
	buffered, err := x.readBuffered(a)
	if err != nil {
		return err
	}
	x.writeHeader(a)
	if buffered != nil || x.Method == fasthttp.MethodHead {
		x.setBuffered(a, buffered)
		x.responded = true
		if a.Done != nil {
			a.Done(int64(len(buffered)), nil)
		}
		return nil
	}
	x.ctx.Response.SetBodyStream(newResponseStream(x, a), int(a.BodyBytes))
	x.responded = true
	return nil
}

// Abort ends an exchange whose handling panicked. An exchange that has a whole response keeps it;
// any other is refused with the given outcome. The connection is closed afterwards. Abort reports
// whether it has refused the request.
func (x *Exchange) Abort(outcome model.Outcome) (refused bool) {
	refused = !x.responded
	if refused {
		x.ctx.Response.Reset() // it may have been set in part
		_ = x.Refuse(outcome, model.CauseInternal, 0)
	}
	x.ctx.SetConnectionClose()
	return refused
}

// readBuffered reads a body with a declared length of up to Settings.BufferBytes. It
// returns nil for a body to stream, also for want of memory, and for the response to a HEAD
// request.
func (x *Exchange) readBuffered(a *Response) ([]byte, error) {
	if a.BodyBytes < 0 || a.BodyBytes > x.bufferBytes() || x.Method == fasthttp.MethodHead || !x.Hold(a.BodyBytes) {
		return nil, nil
	}
	body, err := readWholeBody(a.Body, a.BodyBytes)
	if cerr := closeBody(a.Body); err == nil {
		err = cerr
	}
	return body, err
}

// setBuffered sets a body that is not streamed.
func (x *Exchange) setBuffered(a *Response, body []byte) {
	if x.Method == fasthttp.MethodHead {
		_ = closeBody(a.Body)
		x.ctx.Response.Header.SetContentLength(int(a.BodyBytes))
	} else {
		x.ctx.Response.SetBodyRaw(body)
	}
}

// writeHeader sets the status code and the header of the response.
func (x *Exchange) writeHeader(a *Response) {
	resp := &x.ctx.Response
	resp.SetStatusCode(a.Status)
	for _, f := range a.Header {
		if !x.server.dropsResponseField(f.Name) {
			resp.Header.Add(f.Name, f.Value)
		}
	}
	dialect := x.server.settings.Dialect
	resp.Header.Set(dialect.RequestID, x.TraceID)
	setHeader(resp, dialect.Outcome, a.Outcome.String())
	if a.Backend != "" {
		setHeader(resp, dialect.Backend, string(a.Backend))
	}
}

// dropsResponseField reports whether a backend server's header field of this name is
// withheld from callers.
func (s *Server) dropsResponseField(name string) bool {
	d := s.settings.Dialect
	for _, reserved := range [...]string{d.RequestID, d.Outcome, d.Cause, d.Backend, d.NotRun, d.Draining} {
		if reserved != "" && strings.EqualFold(reserved, name) {
			return true
		}
	}
	return httpheader.IsHopByHop(name)
}

func (x *Exchange) panics() *contain.Panics { return x.server.settings.Panics }

// finish ends the exchange and then calls done unless it is nil. Only the first call
// has an effect.
func (x *Exchange) finish(done func()) {
	x.finishOnce.Do(func() {
		x.cancel(ErrExchangeEnded)
		x.server.watcher.remove(x)
		x.server.inFlight.Add(-1)
		if done != nil {
			done()
		}
	})
}
