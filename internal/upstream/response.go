package upstream

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// maxDrainBytes bounds how much of a refusal's body is read so that its connection can
// be reused.
const maxDrainBytes = 4096

// closeDelimitedLength is fasthttp's content length of a response whose body ends
// only with the connection.
const closeDelimitedLength = -2

var errEndlessBody = errors.New("response without a declared length exceeds the limit")

var errUnverifiable = errors.New("response has no declared length, so its completeness cannot be checked")

// newResponse returns the response to an attempt. It copies what must outlive resp,
// which is released at the end of the body.
func (c *Client) newResponse(resp *fasthttp.Response, body *responseBody, reused bool) *Response {
	response := &Response{
		Status:    resp.StatusCode(),
		Header:    copyHeader(resp),
		BodyBytes: body.length,
		Body:      body,
		Draining:  fieldIsTrue(resp, c.settings.Dialect.Draining),
		Reused:    reused,
		Report:    readReport(c.settings.Dialect, resp),
	}
	if limit := keepAliveTimeout(resp); limit > 0 && body.cn != nil {
		body.cn.maxIdle = limit
	}
	if body.left == 0 {
		body.finish()
	}
	return response
}

func copyHeader(resp *fasthttp.Response) httpheader.List {
	b := httpheader.NewBuilder()
	for name, value := range resp.Header.All() {
		b.Add(name, value)
	}
	return b.List(0).Forwardable()
}

// responseBody reads the body of a response and returns the connection to the pool
// once the response is complete. It is not safe for concurrent use.
type responseBody struct {
	client         *Client
	cn             *conn // nil once returned to the pool or closed
	resp           *fasthttp.Response
	stream         io.Reader
	stop           func() bool // detaches the connection from the attempt's context, see context.AfterFunc
	length         int64       // declared length, -1 if unknown
	left           int64       // bytes still expected, -1 if unknown
	undeclared     int64       // bytes read of a body without a declared length
	closeDelimited bool        // the body ends with the connection
	reusable       bool
	err            error // returned by every further read
}

func newResponseBody(c *Client, cn *conn, resp *fasthttp.Response, stop func() bool) *responseBody {
	b := &responseBody{client: c, cn: cn, resp: resp, stop: stop, stream: resp.BodyStream()}
	b.length = int64(resp.Header.ContentLength())
	switch {
	case b.stream == nil: // response to HEAD, or a status code without a body
		b.left = 0
	case b.length == closeDelimitedLength:
		b.closeDelimited = true
		b.length, b.left = -1, -1
	default:
		b.left = b.length
	}
	if b.length < 0 && b.stream == nil && !resp.SkipBody {
		b.length = 0
	}
	b.length = max(b.length, -1)
	return b
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := b.stream.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	} else if b.length < 0 {
		b.undeclared += int64(n)
	}
	switch {
	case b.undeclared > b.client.settings.MaxUndeclaredBodyBytes:
		b.fail(errEndlessBody)
		return n, b.err
	case err == nil && b.left != 0:
		return n, nil
	case err == nil || err == io.EOF: //nolint:errorlint // a wrapped io.EOF is a broken response
		return n, b.handleEOF()
	default:
		b.fail(err)
		return n, b.err
	}
}

// handleEOF ends a body whose stream has ended, and returns io.EOF only for a complete
// response.
func (b *responseBody) handleEOF() error {
	switch {
	case b.closeDelimited && b.cn != nil && b.cn.brokenError() != nil:
		b.fail(b.cn.brokenError())
	case b.closeDelimited && b.client.settings.AcceptCloseDelimited:
		b.finish()
	case b.closeDelimited:
		b.fail(fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, errUnverifiable))
	case b.left > 0:
		b.fail(io.ErrUnexpectedEOF)
	default:
		b.finish()
	}
	return b.err
}

// finish ends the body of a complete response and returns its connection to the pool,
// unless the connection cannot be reused.
func (b *responseBody) finish() {
	b.err = io.EOF
	cn := b.detach()
	if cn == nil {
		return
	}
	if !b.stop() || !b.reusable || b.closeDelimited || cn.br.Buffered() > 0 {
		cn.pool.discard(cn)
		return
	}
	cn.pool.put(cn, time.Now(), b.client.settings.MaxIdlePerAddress)
}

// fail closes the connection of a response that is broken or not read to its end.
func (b *responseBody) fail(err error) {
	b.err = b.truncationError(err)
	if cn := b.detach(); cn != nil {
		b.stop()
		cn.pool.discard(cn)
	}
}

// truncationError turns every error but ErrNoProgress and errBodyClosed into an
// io.ErrUnexpectedEOF.
func (b *responseBody) truncationError(err error) error {
	if b.cn != nil {
		err = b.cn.receiveError(err)
	}
	switch {
	case errors.Is(err, ErrNoProgress), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errBodyClosed):
		return err
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	default:
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
}

// detach separates the body from its connection and releases the response.
func (b *responseBody) detach() *conn {
	cn := b.cn
	if cn == nil {
		return nil
	}
	b.cn = nil
	fasthttp.ReleaseResponse(b.resp)
	b.resp, b.stream = nil, nil
	return cn
}

// Close implements io.Closer. Closing the body before its end closes the connection.
func (b *responseBody) Close() error {
	if b.cn != nil {
		b.fail(errBodyClosed)
	}
	return nil
}

var errBodyClosed = errors.New("response body closed")

// drain reads the rest of a short body, so that its connection can be reused, and
// closes it.
func (b *responseBody) drain() {
	if b.left == 0 {
		b.finish()
		return
	}
	_, _ = io.CopyN(io.Discard, b, maxDrainBytes)
	_ = b.Close()
}
