package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/valyala/fasthttp"
)

const (
	// maxAheadRequests is the number of requests of a connection that may be forwarded while an
	// earlier one is running.
	maxAheadRequests = 8
	// maxAheadBytes bounds the bytes of a connection's requests that are read ahead.
	maxAheadBytes = 64 << 10
	// aheadReadBytes is the size of a read from a caller that sends ahead.
	aheadReadBytes = 4 << 10
	// aheadHeldFactor is the ratio of the response bytes that may be held for the requests read
	// ahead on a connection to Settings.BufferBytes. Responses beyond it are streamed.
	aheadHeldFactor = 2
)

// ReadAheadHandler is a Handler that permits some requests to be passed to it while an earlier
// request of the same connection is running.
type ReadAheadHandler interface {
	Handler
	// MayReadAhead reports whether the request may be repeated if its response does not reach the
	// caller. It must not block.
	MayReadAhead(x *Exchange) bool
}

// pipeline hands the HTTP library one request of a connection at a time and starts the exchanges
// of requests that the caller has sent behind the running one. A caller that sends nothing ahead
// costs no goroutine: bytes behind a request are noticed when they arrive with it, or by the
// watcher. From then on, a goroutine reads from the connection while a request is running.
type pipeline struct {
	server *Server
	conn   *progressConn
	held   atomic.Int64 // response bytes held for requests in queue

	mu      sync.Mutex
	framing framing
	// atBoundary is set while the HTTP library waits for a request with nothing left to parse.
	atBoundary bool
	pending    []byte          // received, not yet taken by the HTTP library
	counted    int64           // bytes of pending that are counted as held
	queue      []*aheadRequest // the first requests in pending, as far as they have been started
	started    int             // length of these in pending
	current    *aheadRequest   // the request that the HTTP library has taken, if it had been started
	safe       bool            // the current request is safe by its method
	receiving  bool            // the current request is running, and others may be read ahead
	sendsAhead bool            // the caller has sent a request before it had the previous response
	last       bool            // no further request is started: the connection will be closed
	// closeDeferred makes the last request in queue close the connection.
	closeDeferred bool
	closed        bool
	reader        chan struct{} // closed when the reading goroutine has ended, nil if there is none
	readErr       error         // of the reading goroutine
}

// deliverPending moves bytes of the current request from pending to p. If there are none, it
// returns the error that ended reading ahead, if any.
func (p *pipeline) deliverPending(dst []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alignLocked()
	if len(p.pending) == 0 {
		return 0, p.readErr
	}
	n := copy(dst, p.takeLocked(p.pending[:min(len(dst), len(p.pending))]))
	p.started = max(p.started-n, 0)
	p.pending = p.pending[n:]
	p.countLocked()
	return n, nil
}

// deliver returns the length of the part of data, which has just been received, that belongs to
// the current request. It keeps the rest.
func (p *pipeline) deliver(data []byte) int {
	if len(data) == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.takeLocked(data))
	if n < len(data) && !p.closed {
		p.noteLocked()
		p.pending = append(p.pending, data[n:]...)
		p.countLocked()
	}
	return n
}

func (p *pipeline) alignLocked() {
	if p.atBoundary {
		p.atBoundary, p.framing = false, framing{}
	}
}

// takeLocked returns the bytes of data that belong to the current request.
func (p *pipeline) takeLocked(data []byte) []byte {
	n, head, ended := p.framing.take(data, p.server.settings.MaxHeaderBytes)
	if ended {
		p.current = nil
		if len(p.queue) > 0 {
			p.current, p.queue = p.queue[0], p.queue[1:]
		}
		p.last = p.last || head.last
		p.safe = head.safe
	}
	return data[:n]
}

// countLocked counts the bytes of pending as held.
func (p *pipeline) countLocked() {
	length := int64(len(p.pending))
	p.server.held.Add(length - p.counted)
	p.counted = length
	if length == 0 {
		p.pending = nil
	}
}

// received starts what can be read ahead behind the current request, which is passed to the handler.
// Requests sent behind one that is not safe by its method may depend on its effect, and wait.
func (p *pipeline) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.safe || !p.framing.complete() || p.closed {
		return
	}
	p.receiving = true
	p.startReaderLocked(p.startLocked())
}

// sentAhead is called when the caller was seen to have sent bytes while a request is running.
func (p *pipeline) sentAhead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.receiving {
		p.noteLocked()
		p.startReaderLocked(p.startLocked())
	}
}

// noteLocked notes that the caller sends requests ahead.
func (p *pipeline) noteLocked() {
	p.sendsAhead = true
	p.server.watcher.sentAhead.Store(true)
}

// startLocked starts the exchanges of the next requests in pending that may be read ahead. It
// reports whether a request of which more must be received could be read ahead.
func (p *pipeline) startLocked() (wantsMore bool) {
	for p.receiving && len(p.queue) < maxAheadRequests && !p.last && !p.closed && !p.server.draining.Load() {
		rest := p.pending[p.started:]
		size, head := scanHead(rest)
		if size == 0 {
			return len(p.pending)+aheadReadBytes <= maxAheadBytes && p.server.held.Load() <= p.server.settings.HeldBytes
		}
		if size < 0 || size > p.server.settings.MaxHeaderBytes || !head.readable || p.started+size > maxAheadBytes {
			return false
		}
		a := p.server.startAhead(p, rest[:size])
		if a == nil {
			return false
		}
		p.queue = append(p.queue, a)
		p.started += size
		p.last = head.last
	}
	return false
}

// startReaderLocked starts the reading goroutine if more is wanted of a caller that sends ahead.
func (p *pipeline) startReaderLocked(wantsMore bool) {
	if !wantsMore || !p.sendsAhead || p.reader != nil || p.readErr != nil {
		return
	}
	// The deadline of the header that was read last is still in force.
	if p.conn.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	done := make(chan struct{})
	p.reader = done
	go p.read(done)
}

var aheadReadBuffers = sync.Pool{New: func() any { return new([aheadReadBytes]byte) }}

// read reads from the connection until endRequest, an error, or a limit.
func (p *pipeline) read(done chan struct{}) {
	defer close(done)
	buffer := aheadReadBuffers.Get().(*[aheadReadBytes]byte)
	defer aheadReadBuffers.Put(buffer)
	for {
		n, err := p.conn.Conn.Read(buffer[:])
		if !p.readMore(buffer[:n], err) {
			return
		}
	}
}

// readMore takes what the reading goroutine has read. It returns false if that goroutine must end.
func (p *pipeline) readMore(data []byte, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pending = append(p.pending, data...)
	p.countLocked()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		p.readErr = err
	}
	return p.startLocked() && err == nil
}

// endRequest ends reading ahead behind the current request, so that the HTTP library can read the
// next one. nextAtBoundary is set if the library reads from the connection next only if it has
// nothing left to parse.
func (p *pipeline) endRequest(nextAtBoundary bool) {
	p.mu.Lock()
	p.receiving, p.atBoundary = false, nextAtBoundary
	p.mu.Unlock()
	p.stopReader()
}

func (p *pipeline) stopReader() {
	p.mu.Lock()
	reader := p.reader
	p.mu.Unlock()
	if reader == nil {
		return
	}
	_ = p.conn.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed
	<-reader
	p.mu.Lock()
	p.reader = nil
	p.mu.Unlock()
}

// takeCurrent returns the request that the HTTP library has taken if its exchange has been started.
func (p *pipeline) takeCurrent() *aheadRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.current
	p.current = nil
	return a
}

// settleClose reports whether the response that is about to be written closes the connection, given
// whether it should. Responses to requests that have been forwarded are written first.
func (p *pipeline) settleClose(wanted bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wanted || p.closeDeferred {
		p.closeDeferred, p.last = true, true
		return len(p.queue) == 0
	}
	return false
}

// close abandons the requests whose responses cannot be written any more.
func (p *pipeline) close() {
	p.mu.Lock()
	p.closed, p.receiving = true, false
	abandoned := p.queue
	if p.current != nil {
		abandoned = append(abandoned, p.current)
	}
	p.queue, p.current = nil, nil
	p.pending, p.started = nil, 0
	p.countLocked()
	p.mu.Unlock()
	p.stopReader()
	for _, a := range abandoned {
		a.abandon()
	}
}

// aheadRequest is a request whose exchange was started while an earlier one of its connection was
// running. Its response is kept until the HTTP library serves the request.
type aheadRequest struct {
	x        *Exchange
	pipeline *pipeline
	held     atomic.Int64  // response bytes held
	done     chan struct{} // closed when the handler has returned

	mu        sync.Mutex
	finished  bool
	abandoned bool // the response will not be written
}

// startAhead starts the exchange of a request that was read ahead. It returns nil if it may not
// be started now.
func (s *Server) startAhead(p *pipeline, head []byte) *aheadRequest {
	// Counted first, so that Shutdown either waits for it or is seen by it.
	if s.ahead.Add(1) > int64(s.settings.ReadAhead) || s.draining.Load() || s.held.Load() > s.settings.HeldBytes {
		s.ahead.Add(-1)
		return nil
	}
	a := s.newAhead(p, head)
	if a == nil {
		s.ahead.Add(-1)
		return nil
	}
	if s.inFlight.Add(1) > int64(s.settings.MaxExchanges) {
		s.inFlight.Add(-1)
		s.ahead.Add(-1)
		return nil
	}
	s.readAhead.Add(1)
	ctx := a.x.begin()
	go func() {
		defer a.end()
		s.settings.Panics.Do(contain.Request, func() { s.run(ctx, a.x) })
	}()
	return a
}

// newAhead returns the request with the given header, or nil if it may not be read ahead.
func (s *Server) newAhead(p *pipeline, head []byte) *aheadRequest {
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(p.conn, nil, true)
	ctx.Response.Header.SetNoDefaultContentType(true) // as in the server's settings
	if !readHead(&ctx.Request, head) || s.isReserved(ctx) {
		return nil
	}
	var a *aheadRequest
	s.settings.Panics.Do(contain.Request, func() {
		x, err := newExchange(s, ctx)
		if err != nil {
			return
		}
		x.ReadAhead = true
		if s.readAheadHandler.MayReadAhead(x) {
			a = &aheadRequest{x: x, pipeline: p, done: make(chan struct{})}
			x.ahead = a
		}
	})
	return a
}

// readHead parses a whole header. It returns false for one that the HTTP library refuses.
func readHead(r *fasthttp.Request, text []byte) bool {
	if r.Header.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text))) != nil {
		return false
	}
	var uri fasthttp.URI
	return uri.Parse(r.Header.Host(), r.Header.RequestURI()) == nil
}

// hold counts response bytes that are held until they can be written. It returns false if too
// many are held.
func (a *aheadRequest) hold(bytes int64) bool {
	s := a.pipeline.server
	if a.pipeline.held.Add(bytes) > aheadHeldFactor*int64(s.settings.BufferBytes) {
		a.pipeline.held.Add(-bytes)
		return false
	}
	if s.held.Add(bytes) > s.settings.HeldBytes {
		a.pipeline.held.Add(-bytes)
		s.held.Add(-bytes)
		return false
	}
	a.held.Add(bytes)
	return true
}

// takeOver waits for the response to a request that was read ahead and makes it that of ctx.
func (s *Server) takeOver(ctx *fasthttp.RequestCtx, a *aheadRequest) {
	s.ahead.Add(-1)
	conn := a.pipeline.conn
	conn.sendsNoMore.Store(ctx.Request.Header.ConnectionClose())
	<-a.done
	held := a.held.Swap(0)
	a.pipeline.held.Add(-held)
	conn.held.Add(held) // released with the other bytes of this response
	from := &a.x.ctx.Response
	from.Header.CopyTo(&ctx.Response.Header)
	if stream, ok := from.BodyStream().(*responseStream); ok {
		ctx.Response.SetBodyStream(stream, int(stream.a.BodyBytes))
	} else {
		ctx.Response.SetBodyRaw(from.Body())
	}
	if !a.x.responded {
		_ = conn.Close()
	}
}

// end is called when the handler has returned.
func (a *aheadRequest) end() {
	close(a.done)
	a.mu.Lock()
	a.finished = true
	drop := a.abandoned
	a.mu.Unlock()
	if drop {
		a.drop()
	}
}

// abandon cancels a request whose response cannot be written.
func (a *aheadRequest) abandon() {
	a.mu.Lock()
	a.abandoned = true
	drop := a.finished
	a.mu.Unlock()
	a.x.cancel(ErrCallerGone)
	if drop {
		a.drop()
	}
}

// drop releases a response that is not written.
func (a *aheadRequest) drop() {
	s := a.pipeline.server
	if stream, ok := a.x.ctx.Response.BodyStream().(*responseStream); ok {
		_ = stream.CloseWithError(net.ErrClosed)
	}
	s.held.Add(-a.held.Swap(0))
	s.aheadAbandoned.Add(1)
	s.ahead.Add(-1)
}
