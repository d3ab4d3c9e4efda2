package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// maxRequestIDBytes bounds a request ID accepted from the caller.
const maxRequestIDBytes = 128

// maxDeadline bounds the deadline that a caller may request.
const maxDeadline = time.Hour

// newExchange reads a request except for a body that is streamed. If reading the
// body fails, it also returns the exchange without a body, so that the refusal can
// carry its request ID.
func newExchange(s *Server, ctx *fasthttp.RequestCtx) (*Exchange, error) {
	dialect := s.settings.Dialect
	header := readHeader(&ctx.Request.Header)
	uri := ctx.URI()
	x := &Exchange{
		Method:         string(ctx.Method()),
		Path:           string(uri.Path()),
		URI:            originalURI(uri),
		Remote:         remoteAddr(ctx.RemoteAddr()),
		Host:           string(ctx.Host()),
		TraceID:        s.requestIDOf(&ctx.Request.Header),
		IdempotencyKey: header.Get(dialect.IdempotencyKey),
		AffinityKey:    header.Get(dialect.AffinityKey),
		DeadlineHint:   deadlineHint(header.Get(dialect.DeadlineMillis)),
		server:         s,
		ctx:            ctx,
	}
	x.Header = header.Forwardable()
	if dialect.ForwardedFor != "" {
		x.Header = withForwardedFor(x.Header, x.Remote)
	}
	if err := x.readBody(); err != nil {
		return x, err
	}
	return x, nil
}

// originalURI returns the path and query as received, also for a request target in
// absolute form.
func originalURI(uri *fasthttp.URI) []byte {
	path, query := uri.PathOriginal(), uri.QueryString()
	full := make([]byte, 0, len(path)+1+len(query))
	full = append(full, path...)
	if len(query) > 0 {
		full = append(full, '?')
		full = append(full, query...)
	}
	return full
}

func readHeader(h *fasthttp.RequestHeader) httpheader.List {
	b := httpheader.NewBuilder()
	for name, value := range h.All() {
		b.Add(name, value)
	}
	return b.List(1)
}

// withForwardedFor appends the caller's address to X-Forwarded-For.
func withForwardedFor(l httpheader.List, remote netip.Addr) httpheader.List {
	address := remote.String()
	if before := l.Get(httpheader.ForwardedFor); before != "" {
		address = before + ", " + address
	}
	return l.With(httpheader.ForwardedFor, address)
}

func remoteAddr(a net.Addr) netip.Addr {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// requestIDOf returns the caller's request ID if it is valid, else a generated one.
func (s *Server) requestIDOf(h *fasthttp.RequestHeader) string {
	id := h.Peek(s.settings.Dialect.RequestID)
	if isValidRequestID(id) {
		return string(id)
	}
	return uuid.NewString()
}

func isValidRequestID(id []byte) bool {
	if len(id) == 0 || len(id) > maxRequestIDBytes {
		return false
	}
	for _, c := range id {
		if !isRequestIDByte(c) {
			return false
		}
	}
	return true
}

func isRequestIDByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	case c == '-', c == '_', c == '.', c == ':', c == '/', c == '+', c == '=':
		return true
	default:
		return false
	}
}

// deadlineHint parses the remaining time in milliseconds, at most maxDeadline. It returns
// 0 for anything but a positive number.
func deadlineHint(text string) time.Duration {
	if text == "" {
		return 0
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
}

// readBody reads a body of up to Settings.BufferBytes into Body and sets BodyStream for
// a larger one.
func (x *Exchange) readBody() error {
	if !hasBody(x.ctx) {
		x.Replayable = true
		return nil
	}
	length := int64(x.ctx.Request.Header.ContentLength())
	stream := x.ctx.RequestBodyStream()
	x.startBody()
	source := &requestStream{r: stream, left: length, ended: func() { setSending(x.ctx, false) }}
	if length > x.bufferBytes() {
		x.BodyBytes, x.BodyStream = length, source
		return nil
	}
	if length < 0 {
		source.left = -1
		return x.readChunked(source)
	}
	body, err := x.readHeld(source, length)
	if err == nil && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	x.Body, x.BodyBytes, x.Replayable = body, length, true
	return nil
}

// readChunked reads a body of unknown length. It sets BodyStream if the body turns out
// to be larger than Settings.BufferBytes.
func (x *Exchange) readChunked(source io.Reader) error {
	prefix, err := x.readHeld(source, x.bufferBytes()+1)
	if err != nil {
		return fmt.Errorf("read request body: %w", err)
	}
	if int64(len(prefix)) <= x.bufferBytes() {
		x.Body, x.BodyBytes, x.Replayable = prefix, int64(len(prefix)), true
		return nil
	}
	x.BodyBytes = -1
	x.BodyStream = &prefixedReader{prefix: prefix, rest: source}
	return nil
}

// errTooMuchHeld reports that Settings.HeldBytes is used up.
var errTooMuchHeld = errors.New("no memory left for the body")

const (
	// uncountedBytes is the size up to which a body is not counted as held: it costs no more
	// than the buffers of its connection.
	uncountedBytes = 8 << 10
	// bodyGrowth is the factor by which the memory of a body grows.
	bodyGrowth = 4
)

// readHeld reads up to limit bytes, or to the end if that is earlier. The memory that it takes
// grows with what the caller has sent.
func (x *Exchange) readHeld(r io.Reader, limit int64) ([]byte, error) {
	body := make([]byte, 0, min(uncountedBytes, limit))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF: // a wrapped io.EOF is a broken body
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) == limit:
			return body, nil
		case len(body) == cap(body):
			size := min(bodyGrowth*int64(cap(body)), limit)
			if !x.hold(size - int64(cap(body))) {
				return nil, errTooMuchHeld
			}
			body = append(make([]byte, 0, size), body...)
		}
	}
}

// Hold counts a body of a response that the handler holds in memory until the exchange ends.
// It returns false if Settings.HeldBytes is used up, or what may be held for the requests of a
// connection that were read ahead.
func (x *Exchange) Hold(bytes int64) bool {
	return x.ahead == nil && bytes <= uncountedBytes || x.hold(bytes)
}

func (x *Exchange) hold(bytes int64) bool {
	if x.ahead != nil {
		return x.ahead.hold(bytes)
	}
	c, ok := x.ctx.Conn().(*progressConn)
	return !ok || c.hold(bytes, x.server.settings.HeldBytes)
}

func (x *Exchange) bufferBytes() int64 { return int64(x.server.settings.BufferBytes) }

// startBody applies the progress timeout to the body that is read next.
func (x *Exchange) startBody() {
	if c, ok := x.ctx.Conn().(*progressConn); ok {
		c.startBody()
	}
}

// AbortBody makes reads of BodyStream fail, including one in progress. The caller's
// connection is closed after the response. It must not be called after Serve has returned.
func (x *Exchange) AbortBody() {
	if c, ok := x.ctx.Conn().(*progressConn); ok && x.ahead == nil {
		c.abortBody()
	}
}

// requestStream reports io.ErrUnexpectedEOF for a body that ends early, because
// fasthttp ends a truncated body of declared length with io.EOF.
type requestStream struct {
	r     io.Reader
	left  int64  // bytes still expected, negative if unknown
	ended func() // called when the whole body has been read
}

// Read implements io.Reader.
func (s *requestStream) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if s.left >= 0 {
		s.left -= int64(n)
	}
	switch {
	case errors.Is(err, io.EOF) && s.left > 0:
		err = io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF), s.left == 0:
		s.ended()
	}
	return n, err
}

// prefixedReader reads a prefix and then the rest. It releases the prefix's memory once
// it has been read.
type prefixedReader struct {
	prefix []byte
	rest   io.Reader
}

// Read implements io.Reader.
func (r *prefixedReader) Read(p []byte) (int, error) {
	if len(r.prefix) == 0 {
		return r.rest.Read(p)
	}
	n := copy(p, r.prefix)
	r.prefix = r.prefix[n:]
	if len(r.prefix) == 0 {
		r.prefix = nil
	}
	return n, nil
}
