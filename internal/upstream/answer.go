package upstream

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// drainBytes bounds how much of a refused answer's body is read to keep its
// connection.
const drainBytes = 4096

// identityLength is fasthttp's content length of an answer whose end is only
// marked by the end of the connection.
const identityLength = -2

var errUnverifiable = errors.New("the answer gives no length, so its completeness cannot be checked")

// newAnswer copies what outlives the connection's response.
func (c *Client) newAnswer(resp *fasthttp.Response, body *answerBody, reused bool) *Answer {
	answer := &Answer{
		Status:    resp.StatusCode(),
		Header:    copyHeader(resp),
		BodyBytes: body.length,
		Body:      body,
		Draining:  isTrue(resp, c.settings.Dialect.Draining),
		Reused:    reused,
		Report:    readReport(c.settings.Dialect, resp),
	}
	if limit := keepAlive(resp); limit > 0 && body.cn != nil {
		body.cn.maxIdle = limit
	}
	if body.left == 0 {
		body.finish()
	}
	return answer
}

func copyHeader(resp *fasthttp.Response) httpheader.List {
	b := httpheader.NewBuilder()
	for name, value := range resp.Header.All() {
		b.Add(name, value)
	}
	return b.List(0).Forwardable()
}

// answerBody reads one answer's body and gives its connection back to the pool
// once the answer is complete. It is not safe for concurrent use.
type answerBody struct {
	client   *Client
	cn       *conn // nil once given back or closed
	resp     *fasthttp.Response
	stream   io.Reader
	stop     func() bool // detaches the connection from the attempt's context
	length   int64       // -1 when unknown
	left     int64       // bytes still due, -1 when unknown
	identity bool        // ends with its connection
	reusable bool
	err      error // result of every further read
}

func newAnswerBody(c *Client, cn *conn, resp *fasthttp.Response, stop func() bool) *answerBody {
	b := &answerBody{client: c, cn: cn, resp: resp, stop: stop, stream: resp.BodyStream()}
	b.length = int64(resp.Header.ContentLength())
	switch {
	case b.stream == nil: // an answer to HEAD, or a status that has no body
		b.left = 0
	case b.length == identityLength:
		b.identity = true
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
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := b.stream.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	switch {
	case err == nil && b.left != 0:
		return n, nil
	case err == nil || err == io.EOF: //nolint:errorlint // a wrapped io.EOF is a broken answer
		return n, b.ended()
	default:
		b.fail(err)
		return n, b.err
	}
}

// ended settles a stream that ended by itself.
func (b *answerBody) ended() error {
	switch {
	case b.identity && b.client.settings.AcceptUnframed:
		b.finish()
	case b.identity:
		b.fail(fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, errUnverifiable))
	case b.left > 0:
		b.fail(io.ErrUnexpectedEOF)
	default:
		b.finish()
	}
	return b.err
}

// finish gives the connection of a complete answer back.
func (b *answerBody) finish() {
	b.err = io.EOF
	cn := b.detach()
	if cn == nil {
		return
	}
	if !b.stop() || !b.reusable || b.identity || cn.br.Buffered() > 0 {
		cn.pool.discard(cn)
		return
	}
	cn.pool.put(cn, time.Now(), b.client.settings.MaxIdlePerAddress)
}

// fail closes the connection of a broken or abandoned answer.
func (b *answerBody) fail(err error) {
	b.err = b.cutError(err)
	if cn := b.detach(); cn != nil {
		b.stop()
		cn.pool.discard(cn)
	}
}

// cutError makes every break but a time-out an io.ErrUnexpectedEOF.
func (b *answerBody) cutError(err error) error {
	if b.cn != nil {
		err = b.cn.receiveError(err)
	}
	switch {
	case errors.Is(err, ErrNoProgress), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errClosed):
		return err
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	default:
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
}

// detach separates the body from its connection and releases the response.
func (b *answerBody) detach() *conn {
	cn := b.cn
	if cn == nil {
		return nil
	}
	b.cn = nil
	fasthttp.ReleaseResponse(b.resp)
	b.resp, b.stream = nil, nil
	return cn
}

// Close implements io.Closer. Closing before the end of the answer closes the
// connection.
func (b *answerBody) Close() error {
	if b.cn != nil {
		b.fail(errClosed)
	}
	return nil
}

var errClosed = errors.New("the answer's body was closed")

// drain reads the rest of a short body, to keep its connection, and closes it.
func (b *answerBody) drain() {
	if b.left == 0 {
		b.finish()
		return
	}
	_, _ = io.CopyN(io.Discard, b, drainBytes)
	_ = b.Close()
}
