package ingress

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// Handler serves exchanges.
type Handler interface {
	// Serve answers x by exactly one successful Respond or Refuse before it
	// returns. An exchange without an answer is broken: its connection is closed.
	//
	// The context ends when the exchange has ended, or when the caller is gone:
	// the server looks at the connection of each exchange that takes longer than
	// goneCheckPeriod. A caller that shuts down only its sending side counts as
	// gone, as in net/http.
	//
	// Serve must not use the request's body after it has returned.
	Serve(ctx context.Context, x *Exchange)
}

// Exchange is one caller's request and its answer.
type Exchange struct {
	Method string
	Path   string          // decoded and cleaned, for matching routes
	Host   string          // as received
	URI    []byte          // path and query as received
	Header httpheader.List // without hop-by-hop fields
	Remote netip.Addr
	// Trace is the caller's request identifier, or a new one.
	Trace          string
	IdempotencyKey string
	Affinity       string // object that the request is about, empty where unknown
	// DeadlineHint is how long the caller waits, 0 where it does not say. It may only
	// shorten the route's deadline.
	DeadlineHint time.Duration
	BodyBytes    int64 // -1 when unknown
	// Body is the whole body where Replayable.
	Body []byte
	// BodyStream is the body where it is not Replayable. It returns
	// io.ErrUnexpectedEOF for a body that was cut.
	BodyStream io.Reader
	// Replayable reports that the whole body is in Body.
	Replayable bool

	server   *Server
	ctx      *fasthttp.RequestCtx
	watched  watched
	cancel   context.CancelFunc
	answered bool
	settled  sync.Once
}

// Answer is what a handler passes on to the caller.
type Answer struct {
	Status  int
	Header  httpheader.List
	Outcome model.Outcome // Served or Late
	Backend model.BackendName
	// BodyBytes is the length of Body, -1 when unknown.
	BodyBytes int64
	// Body is read until io.EOF. Any other error breaks the caller's connection,
	// so that the answer cannot pass for a complete one. It is closed at the end
	// if it is an io.Closer.
	Body io.Reader
	// Done, if set, is called once the exchange is over, with the number of body
	// bytes that were passed on and the error that broke it. It may be called by
	// Respond itself, and after Serve has returned.
	Done func(sent int64, err error)
}

// ErrAnswered is returned for a second answer to one exchange.
var ErrAnswered = errors.New("the exchange already has an answer")

// Respond hands the answer over. An answer of up to Settings.BufferBytes is read here
// and now: if that fails, nothing has been sent, Done is not called, and the
// exchange may still be refused. A larger one is sent after Serve has returned.
func (x *Exchange) Respond(a *Answer) error {
	if x.answered {
		return ErrAnswered
	}
	small, err := x.readSmall(a)
	if err != nil {
		return err
	}
	x.answered = true
	x.writeHeader(a)
	if small != nil || x.Method == fasthttp.MethodHead {
		x.respondWhole(a, small)
		return nil
	}
	x.ctx.Response.SetBodyStream(newAnswerStream(x, a), int(a.BodyBytes))
	return nil
}

// readSmall returns the whole body of a small answer, or nil for one to stream.
func (x *Exchange) readSmall(a *Answer) ([]byte, error) {
	if a.BodyBytes < 0 || a.BodyBytes > x.bufferBytes() || x.Method == fasthttp.MethodHead {
		return nil, nil
	}
	body, err := readDeclared(a.Body, a.BodyBytes)
	if cerr := closeBody(a.Body); err == nil {
		err = cerr
	}
	return body, err
}

func (x *Exchange) respondWhole(a *Answer, body []byte) {
	if x.Method == fasthttp.MethodHead {
		_ = closeBody(a.Body)
		x.ctx.Response.Header.SetContentLength(int(a.BodyBytes))
	} else {
		x.ctx.Response.SetBodyRaw(body)
	}
	if a.Done != nil {
		a.Done(int64(len(body)), nil)
	}
}

// writeHeader fills the answer's header.
func (x *Exchange) writeHeader(a *Answer) {
	resp := &x.ctx.Response
	resp.SetStatusCode(a.Status)
	for _, f := range a.Header {
		if !x.server.setsField(f.Name) {
			resp.Header.Add(f.Name, f.Value)
		}
	}
	dialect := x.server.settings.Dialect
	resp.Header.Set(dialect.RequestID, x.Trace)
	setNamed(resp, dialect.Outcome, a.Outcome.String())
	if a.Backend != "" {
		setNamed(resp, dialect.Backend, string(a.Backend))
	}
}

// setsField reports whether a backend server's field of this name is not passed
// on.
func (s *Server) setsField(name string) bool {
	d := s.settings.Dialect
	for _, own := range [...]string{d.RequestID, d.Outcome, d.Cause, d.Backend, d.NotRun, d.Draining} {
		if own != "" && strings.EqualFold(own, name) {
			return true
		}
	}
	return httpheader.IsHopByHop(name)
}

// settle ends the exchange once, and then calls done if it is set.
func (x *Exchange) settle(done func()) {
	x.settled.Do(func() {
		x.cancel()
		x.server.watcher.remove(x)
		x.server.inFlight.Add(-1)
		if done != nil {
			done()
		}
	})
}
