package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// Server is the callers' HTTP server.
type Server struct {
	settings Settings
	handler  Handler
	// readAheadHandler is handler if requests are read ahead, else nil.
	readAheadHandler ReadAheadHandler
	http             *fasthttp.Server
	watcher          *watcher
	linger           *lingerer
	directory        atomic.Pointer[Directory]
	limits           atomic.Pointer[Limits]

	inFlight       atomic.Int64
	lookups        atomic.Int64
	refusedLookups atomic.Int64
	overloaded     atomic.Int64
	held           atomic.Int64 // bytes of bodies, and of requests that were read ahead
	ahead          atomic.Int64 // exchanges started ahead that are neither taken over nor dropped
	readAhead      atomic.Int64
	aheadAbandoned atomic.Int64
	draining       atomic.Bool
}

// enableRandPool sets a switch of the whole process, which several servers may share.
var enableRandPool = sync.OnceFunc(uuid.EnableRandPool)

// New returns a server that passes requests to handler.
func New(settings Settings, handler Handler) *Server {
	enableRandPool()
	s := &Server{
		settings: settings.withDefaults(),
		handler:  handler,
		watcher:  newWatcher(),
	}
	if s.settings.ReadAhead > 0 {
		s.readAheadHandler, _ = handler.(ReadAheadHandler)
	}
	s.linger = &lingerer{timeout: s.settings.ProgressTimeout, max: int64(min(max(s.settings.MaxConnections/lingerDivisor, 1), maxLingering))}
	s.limits.Store(&Limits{})
	app := fiber.New(fiber.Config{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		BodyLimit:                    s.settings.BufferBytes,
		Concurrency:                  s.settings.MaxConnections,
		ReadTimeout:                  maxHeaderTimeout, // shortened by readTimeout, as is IdleTimeout
		IdleTimeout:                  idleReadTimeout,
		ReadBufferSize:               s.settings.MaxHeaderBytes,
		DisableDefaultContentType:    true,
	})
	if !s.settings.NoLookups {
		app.Get(EntriesPath, s.lookup)
	}
	app.Use(s.serve)
	s.http = app.Server()
	s.http.CloseOnShutdown = true
	s.http.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) {
		s.settings.Panics.Do(contain.Request, func() { s.refuseMalformed(ctx, err) })
	}
	s.http.Handler = s.finishHeader(app.Handler())
	return s
}

// SetDirectory sets the directory used for lookups. Until it is set, lookups are
// refused.
func (s *Server) SetDirectory(d Directory) { s.directory.Store(&d) }

// InFlight returns the number of exchanges that have not ended.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Stats holds counts since the server's start.
type Stats struct {
	Overloaded     int64 // exchanges refused because of MaxExchanges or HeldBytes
	RefusedLookups int64 // lookups refused because of MaxLookups
	// RefusedConnections is the number of connections refused because of MaxConnections.
	RefusedConnections int64
	// ReadAhead is the number of requests passed to the handler while an earlier request of their
	// connection was running. AheadAbandoned counts those whose responses were not written,
	// because the connection had ended.
	ReadAhead, AheadAbandoned int64
}

// Stats returns the counts since the server's start.
func (s *Server) Stats() Stats {
	return Stats{
		Overloaded:         s.overloaded.Load(),
		RefusedLookups:     s.refusedLookups.Load(),
		RefusedConnections: int64(s.http.GetRejectedConnectionsCount()),
		ReadAhead:          s.readAhead.Load(),
		AheadAbandoned:     s.aheadAbandoned.Load(),
	}
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.settings.Panics.Keep(ctx, contain.Connection, func() { s.watcher.run(ctx) })
	wrapped := &listener{
		Listener:    ln,
		timeout:     s.settings.ProgressTimeout,
		minBytes:    s.settings.ProgressBytes,
		readTimeout: s.readTimeout,
		held:        &s.held,
		linger:      s.linger,
	}
	if s.readAheadHandler != nil {
		wrapped.server = s
	}
	if err := s.http.Serve(wrapped); err != nil {
		return fmt.Errorf("serve callers on %s: %w", ln.Addr(), err)
	}
	return nil
}

// StartDraining makes the server close each connection after its next response, so
// that callers move to other entry instances. Requests are still served. Nothing more is read
// ahead; a connection with requests that were read ahead is closed after the last of these.
func (s *Server) StartDraining() { s.draining.Store(true) }

// Shutdown stops accepting connections and waits until the exchanges in flight have
// ended and their callers have received the responses, or the context is done. While requests
// that were read ahead wait for their turn, connections are still accepted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDraining()
	defer s.linger.wait(ctx)
	s.waitAhead(ctx)
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down callers' HTTP server with %d requests in flight: %w", s.InFlight(), err)
	}
	return nil
}

// waitAhead waits until the HTTP library has reached the requests that were read ahead, as it
// serves no further request of a connection once it is shut down.
func (s *Server) waitAhead(ctx context.Context) {
	ticker := time.NewTicker(lingerCheckInterval / 10)
	defer ticker.Stop()
	for s.ahead.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// finishHeader replaces a response that the router made by itself with a refusal, so
// that every response echoes the request ID. It has each response sent before the next
// request on the connection is served. It also closes connections while the
// server drains.
func (s *Server) finishHeader(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn, _ := ctx.Conn().(*progressConn)
		a := s.nextAhead(ctx, conn)
		if !s.settings.Panics.Do(contain.Request, func() {
			if a != nil {
				s.takeOver(ctx, a)
				return
			}
			next(ctx)
		}) {
			s.refusePanicked(ctx, model.Unknown)
		}
		if len(ctx.Response.Header.Peek(s.settings.Dialect.RequestID)) == 0 {
			s.reject(ctx, s.requestIDOf(&ctx.Request.Header), model.CauseInvalidRequest, errUnroutable)
		}
		closes := s.draining.Load() || ctx.Response.ConnectionClose()
		if conn != nil && conn.ahead != nil {
			closes = conn.ahead.settleClose(closes)
		}
		if closes {
			ctx.SetConnectionClose()
		} else {
			ctx.Response.Header.ResetConnectionClose()
		}
		// A response whose write deadline was set is sent at once; others wait for the end
		// of the next request if the caller has sent that already.
		_ = ctx.SetWriteDeadline(time.Time{}) // an error means that the connection is closed
	}
}

// nextAhead notes that a request has been read and returns the request if its exchange was started
// ahead.
func (s *Server) nextAhead(ctx *fasthttp.RequestCtx, conn *progressConn) *aheadRequest {
	setSending(ctx, hasBody(ctx))
	if conn == nil || conn.ahead == nil {
		return nil
	}
	a := conn.ahead.takeCurrent()
	conn.ahead.received()
	return a
}

// hasBody reports whether a request has a body, which may not have been received yet.
func hasBody(ctx *fasthttp.RequestCtx) bool {
	return ctx.RequestBodyStream() != nil && ctx.Request.Header.ContentLength() != 0
}

// setSending notes whether the caller may still send a part of the current request.
func setSending(ctx *fasthttp.RequestCtx, sending bool) {
	if c, ok := ctx.Conn().(*progressConn); ok {
		c.sending.Store(sending)
	}
}

// refuseMalformed refuses a request whose header could not be read.
func (s *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	s.reject(ctx, s.requestIDOf(&ctx.Request.Header), model.CauseInvalidRequest, errors.New("read header: "+withoutContents(err)))
	var tooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		setSending(ctx, true)
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &netErr) && netErr.Timeout():
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	}
}

// withoutContents returns the message of an error of the HTTP library up to its first quoted
// text, since the library quotes the header that it could not read, which may hold a key.
func withoutContents(err error) string {
	message, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimSpace(message)
}

// serve handles every request that is not a lookup.
func (s *Server) serve(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	if s.isReserved(ctx) {
		s.reject(ctx, s.requestIDOf(&ctx.Request.Header), model.CauseNoRoute, errReservedPath)
		return nil
	}
	var x *Exchange
	if !s.settings.Panics.Do(contain.Request, func() { x = s.accept(ctx) }) {
		s.refusePanicked(ctx, model.NotRun)
	}
	if x != nil {
		s.run(x.begin(), x)
	}
	return nil
}

// isReserved reports whether a request's path never reaches the handler.
func (s *Server) isReserved(ctx *fasthttp.RequestCtx) bool {
	return !s.settings.NoLookups && strings.HasPrefix(string(ctx.Path()), reservedPrefix)
}

// accept returns the exchange of a request, or nil if it refuses the request.
func (s *Server) accept(ctx *fasthttp.RequestCtx) *Exchange {
	if length := ctx.Request.Header.ContentLength(); s.bodyTooLong(length) {
		s.reject(ctx, s.requestIDOf(&ctx.Request.Header), model.CauseInvalidRequest, fmt.Errorf("body of %d bytes is too long", length))
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		ctx.SetConnectionClose()
		return nil
	}
	x, err := newExchange(s, ctx)
	if errors.Is(err, errTooMuchHeld) {
		s.overloaded.Add(1)
		s.notifyReject(ctx, x.TraceID, model.CauseOverload, err)
		ctx.SetConnectionClose()
		_ = x.Refuse(model.NotRun, model.CauseOverload, s.settings.OverloadRetryAfter) // it has no response yet
		return nil
	}
	if err != nil {
		s.reject(ctx, x.TraceID, model.CauseInvalidRequest, fmt.Errorf("read body: %w", err))
		ctx.SetConnectionClose()
		return nil
	}
	if c, ok := ctx.Conn().(*progressConn); ok {
		c.sendsNoMore.Store(x.Replayable && ctx.Request.Header.ConnectionClose())
	}
	if s.inFlight.Add(1) > int64(s.settings.MaxExchanges) {
		s.inFlight.Add(-1)
		s.overloaded.Add(1)
		s.notifyReject(ctx, x.TraceID, model.CauseOverload, nil)
		_ = x.Refuse(model.NotRun, model.CauseOverload, s.settings.OverloadRetryAfter) // it has no response yet
		return nil
	}
	return x
}

// refusePanicked replaces whatever has been set of the response to a request whose handling
// panicked, and closes the connection after it.
func (s *Server) refusePanicked(ctx *fasthttp.RequestCtx, outcome model.Outcome) {
	ctx.Response.Reset()
	s.writeRefusal(&ctx.Response, s.requestIDOf(&ctx.Request.Header), outcome, model.CauseInternal, 0)
	ctx.SetConnectionClose()
}

var (
	errUnroutable   = errors.New("method or path is not supported")
	errReservedPath = errors.New("path is reserved")
)

// reject refuses a request that is not passed to the handler.
func (s *Server) reject(ctx *fasthttp.RequestCtx, requestID string, cause model.Cause, err error) {
	s.writeRefusal(&ctx.Response, requestID, model.NotRun, cause, 0)
	s.notifyReject(ctx, requestID, cause, err)
}

func (s *Server) notifyReject(ctx *fasthttp.RequestCtx, requestID string, cause model.Cause, err error) {
	if s.settings.OnReject == nil {
		return
	}
	s.settings.OnReject(&Rejection{
		RequestID: requestID,
		Host:      string(ctx.Host()),
		Path:      string(ctx.Path()),
		Cause:     cause,
		Err:       err,
	})
}

// begin returns the context of an exchange.
func (x *Exchange) begin() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	x.cancel = cancel
	return ctx
}

// run passes an exchange to the handler and ends it, except for one with a streamed
// response, which ends once the response has been written.
func (s *Server) run(ctx context.Context, x *Exchange) {
	s.watcher.add(x)
	if !s.settings.Panics.Do(contain.Request, func() { s.handler.Serve(ctx, x) }) {
		x.Abort(model.Unknown)
	}
	if errors.Is(context.Cause(ctx), ErrCallerGone) {
		x.ctx.SetConnectionClose() // its further requests may have been received already
	}
	if !x.responded && x.ahead == nil {
		_ = x.ctx.Conn().Close()
	}
	if !x.ctx.Response.IsBodyStream() {
		x.finish(nil)
	}
}
