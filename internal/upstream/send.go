package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/httpresponse"
	"github.com/valyala/fasthttp"
)

// earlyResponseTimeout is how long to wait for a response after sending has failed,
// because a server that refuses a body early responds and closes the connection.
const earlyResponseTimeout = 100 * time.Millisecond

// stalledBodyTimeout is how long a caller may take to send on after the server has answered.
// A caller that waits for the answer sends nothing more. One with a slow link does: if its
// connection is closed while its bytes arrive, it may be reset before it has the answer.
const stalledBodyTimeout = time.Second

// Send makes one attempt. The context bounds all of it, up to the end of the response
// body. When the context is done, the connection is closed, which makes the backend
// server cancel the request. Exactly one of the results is nil.
func (c *Client) Send(ctx context.Context, a *Attempt) (*Response, *SendError) {
	if err := ctx.Err(); errors.Is(err, context.Canceled) {
		return nil, newSendError(ctx, a, nil, StepDial, err) // not even over a pooled connection
	}
	cn, step, err := c.connect(ctx, a)
	if err != nil {
		return nil, newSendError(ctx, a, nil, step, err)
	}
	reused := cn.requests > 0
	stop := context.AfterFunc(ctx, func() { _ = cn.Conn.Close() })
	var body *responseBody
	returned := false
	defer func() {
		switch {
		case returned:
		case body != nil:
			_ = body.Close()
		default:
			stop()
			cn.pool.discard(cn)
		}
	}()
	cn.begin(a)
	if a.Connected != nil {
		a.Connected(reused)
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.SkipBody = a.Method == fasthttp.MethodHead
	sent, step, err := c.roundTrip(a, cn, resp)
	if err == nil {
		step, err = c.skipMismatched(a, cn, resp)
	}
	if err != nil {
		returned = true
		stop()
		cn.pool.discard(cn)
		fasthttp.ReleaseResponse(resp)
		return nil, newSendError(ctx, a, cn, step, err)
	}
	body = newResponseBody(c, cn, resp, stop)
	body.reusable = sent && !cn.desynchronized && !resp.ConnectionClose() && !fieldIsTrue(resp, c.settings.Dialect.Draining)
	if c.isNotRun(resp) {
		failed := c.shed(a, resp, body)
		returned = true
		return nil, failed
	}
	response := c.newResponse(resp, body, reused)
	returned = true
	return response, nil
}

// roundTrip sends the request and reads the response's header. It returns whether the
// whole request was sent and, if it fails, the step that failed.
func (c *Client) roundTrip(a *Attempt, cn *conn, resp *fasthttp.Response) (bool, Step, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.writeHeader(req, a)
	if a.BodyStream != nil {
		return c.streamedRoundTrip(a, cn, req, resp)
	}
	req.SetBodyRaw(a.Body)
	if err := writeRequest(req, cn); err != nil {
		return readEarlyResponse(cn, resp, err)
	}
	if err := httpresponse.Read(cn.br, resp, 0); err != nil {
		return true, StepReceive, cn.receiveError(err)
	}
	return true, "", nil
}

func writeRequest(req *fasthttp.Request, cn *conn) error {
	if err := req.Write(cn.bw); err != nil {
		return err
	}
	return cn.bw.Flush()
}

// readEarlyResponse reads the response of a server that closed its receiving side
// before the whole request was sent. If there is none, it returns cause, the error from
// sending.
func readEarlyResponse(cn *conn, resp *fasthttp.Response, cause error) (bool, Step, error) {
	if cn.written.Load() == 0 || errors.Is(cause, ErrNoProgress) {
		return false, StepSend, cause
	}
	cn.firstByteTimeout = earlyResponseTimeout
	switch err := httpresponse.Read(cn.br, resp, 0); {
	case err == nil:
		return false, "", nil
	case errors.Is(err, httpresponse.ErrInvalid):
		return false, StepReceive, err
	default:
		return false, StepSend, cause
	}
}

// streamedRoundTrip sends a streamed body while another goroutine waits for the
// response, so that an early response ends the upload.
func (c *Client) streamedRoundTrip(a *Attempt, cn *conn, req *fasthttp.Request, resp *fasthttp.Response) (bool, Step, error) {
	source := &requestBody{r: a.BodyStream, left: a.BodyBytes}
	req.SetBodyStream(source, int(a.BodyBytes))
	cn.uploading.Store(true)
	received, written := make(chan error, 1), make(chan struct{})
	go func() {
		err := errReceivePanic
		c.settings.Panics.Do(contain.Attempt, func() { err = httpresponse.Read(cn.br, resp, 0) })
		cn.abortUpload()
		if err == nil || errors.Is(err, httpresponse.ErrInvalid) {
			a.abortStalledBody(written)
		}
		received <- err
	}()
	sendErr := writeRequest(req, cn)
	close(written)
	if source.err != nil && !cn.responded.Load() {
		_ = cn.Conn.Close()
		<-received
		return false, StepReadBody, source.err
	}
	cn.finishUpload(responseTimeout(cn, sendErr))
	receiveErr := <-received
	switch {
	case receiveErr == nil:
		return sendErr == nil, "", nil
	case errors.Is(receiveErr, httpresponse.ErrInvalid):
		return sendErr == nil, StepReceive, receiveErr
	case source.err != nil:
		return false, StepReadBody, source.err
	case sendErr != nil && !errors.Is(sendErr, errEarlyResponse):
		return false, StepSend, sendErr
	default:
		return sendErr == nil, StepReceive, cn.receiveError(receiveErr)
	}
}

var errReceivePanic = errors.New("receiving the response failed in this instance")

// abortStalledBody ends the reading of a body that the server no longer needs, unless it ends
// by itself soon.
func (a *Attempt) abortStalledBody(written <-chan struct{}) {
	if a.AbortBody == nil {
		return
	}
	timer := time.NewTimer(stalledBodyTimeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
		a.AbortBody()
	}
}

// responseTimeout returns how long to wait for the response once sending has ended with
// sendErr.
func responseTimeout(cn *conn, sendErr error) time.Duration {
	if sendErr != nil {
		return earlyResponseTimeout
	}
	return cn.firstByteTimeout
}

// requestBody records a read error of the caller's body, to tell it from an error in
// sending. A body shorter than declared is an error.
type requestBody struct {
	r    io.Reader
	left int64 // bytes still expected, negative if unknown
	err  error
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err == io.EOF && b.left > 0 { //nolint:errorlint // a wrapped io.EOF is not the end of a reader
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF { //nolint:errorlint // a wrapped io.EOF is not the end of a reader
		b.err = fmt.Errorf("caller's request body: %w", err)
	}
	return n, err
}

// fieldIsTrue reports whether a header field is "true", in any case, or "1".
func fieldIsTrue(resp *fasthttp.Response, name string) bool {
	if name == "" {
		return false
	}
	value := string(resp.Header.Peek(name))
	return value == "1" || strings.EqualFold(value, "true")
}

// isNotRun reports whether the response says that the server did not run the request.
func (c *Client) isNotRun(resp *fasthttp.Response) bool {
	if isMisdirected(c.settings.Dialect, resp) {
		return true
	}
	return resp.StatusCode() >= fasthttp.StatusBadRequest && fieldIsTrue(resp, c.settings.Dialect.NotRun)
}

// isMisdirected reports whether the response comes from a server other than the
// expected one.
func isMisdirected(d *httpheader.Dialect, resp *fasthttp.Response) bool {
	return d.ExpectServer != "" && resp.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// shed returns the error of an attempt that the server refused without running it.
func (c *Client) shed(a *Attempt, resp *fasthttp.Response, body *responseBody) *SendError {
	d := c.settings.Dialect
	report := readReport(d, resp)
	e := &SendError{
		Result:      event.AttemptShed,
		Sent:        true,
		RetryAfter:  report.RetryAfter,
		Draining:    fieldIsTrue(resp, d.Draining),
		Misdirected: isMisdirected(d, resp),
		Report:      report,
		Step:        StepShed,
		Backend:     a.Backend,
		Peer:        a.Address,
		Err:         errShed,
	}
	body.drain()
	return e
}

var errShed = errors.New("server refused the request without running it")

// maxRetryAfter is the longest Retry-After that is accepted.
const maxRetryAfter = time.Hour
