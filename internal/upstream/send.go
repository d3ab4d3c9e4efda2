package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// lateAnswerGrace is how long an answer is awaited after sending has failed:
// a server that refuses a body early answers and closes.
const lateAnswerGrace = 100 * time.Millisecond

// Send makes one attempt. The context bounds all of it, up to the end of the
// answer's body; when it ends, the connection is closed, which tells the
// backend server to cancel. Exactly one of the results is nil.
func (c *Client) Send(ctx context.Context, a *Attempt) (*Answer, *SendError) {
	cn, step, err := c.connect(ctx, a)
	if err != nil {
		return nil, failure(ctx, a, nil, step, err)
	}
	reused := cn.requests > 0
	cn.begin(a.AnswerTimeout)
	stop := context.AfterFunc(ctx, func() { _ = cn.Conn.Close() })
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.SkipBody = a.Method == fasthttp.MethodHead
	sent, step, err := c.roundTrip(a, cn, resp)
	if err == nil {
		step, err = c.skipForeign(a, cn, resp)
	}
	if err != nil {
		stop()
		cn.pool.discard(cn)
		fasthttp.ReleaseResponse(resp)
		return nil, failure(ctx, a, cn, step, err)
	}
	body := newAnswerBody(c, cn, resp, stop)
	body.reusable = sent && !cn.foreign && !resp.ConnectionClose() && !isTrue(resp, c.settings.Dialect.Draining)
	if c.isNotRun(resp) {
		return nil, c.shed(a, resp, body)
	}
	return c.newAnswer(resp, body, reused), nil
}

// roundTrip sends the request and reads the answer's header. It reports whether
// the whole request was sent.
func (c *Client) roundTrip(a *Attempt, cn *conn, resp *fasthttp.Response) (bool, Step, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.writeHeader(req, a)
	if a.BodyStream != nil {
		return streamedRoundTrip(a, cn, req, resp)
	}
	req.SetBodyRaw(a.Body)
	if err := writeRequest(req, cn); err != nil {
		return earlyAnswer(cn, resp, err)
	}
	if err := resp.ReadLimitBody(cn.br, 0); err != nil {
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

// earlyAnswer reads the answer of a server that closed its receiving side
// before the whole request was sent; without one, cause is what went wrong.
func earlyAnswer(cn *conn, resp *fasthttp.Response, cause error) (bool, Step, error) {
	if cn.written.Load() == 0 || errors.Is(cause, ErrNoProgress) {
		return false, StepSend, cause
	}
	cn.firstByte = lateAnswerGrace
	if err := resp.ReadLimitBody(cn.br, 0); err != nil {
		return false, StepSend, cause
	}
	return false, "", nil
}

// streamedRoundTrip sends a streamed body while another goroutine awaits the
// answer, so that an early one ends the upload.
func streamedRoundTrip(a *Attempt, cn *conn, req *fasthttp.Request, resp *fasthttp.Response) (bool, Step, error) {
	source := &requestBody{r: a.BodyStream, left: a.BodyBytes}
	req.SetBodyStream(source, int(a.BodyBytes))
	cn.uploading.Store(true)
	received := make(chan error, 1)
	go func() {
		err := resp.ReadLimitBody(cn.br, 0)
		cn.stopUpload()
		received <- err
	}()
	sendErr := writeRequest(req, cn)
	if source.err != nil {
		_ = cn.Conn.Close()
		<-received
		return false, StepReadBody, source.err
	}
	cn.uploadEnded(answerWait(cn, sendErr))
	receiveErr := <-received
	switch {
	case receiveErr == nil:
		return sendErr == nil, "", nil
	case sendErr != nil && !errors.Is(sendErr, errAnswered):
		return false, StepSend, sendErr
	default:
		return sendErr == nil, StepReceive, cn.receiveError(receiveErr)
	}
}

func answerWait(cn *conn, sendErr error) time.Duration {
	if sendErr != nil {
		return lateAnswerGrace
	}
	return cn.firstByte
}

// requestBody remembers whether reading, rather than sending, failed. A body
// shorter than declared has failed.
type requestBody struct {
	r    io.Reader
	left int64 // bytes still due, negative when unknown
	err  error
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err == io.EOF && b.left > 0 { //nolint:errorlint // as below
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF { //nolint:errorlint // a wrapped io.EOF is not the end of a reader
		b.err = fmt.Errorf("request body: %w", err)
	}
	return n, err
}

// isTrue reports whether a field says yes, as "true" or "1".
func isTrue(resp *fasthttp.Response, name string) bool {
	if name == "" {
		return false
	}
	value := string(resp.Header.Peek(name))
	return value == "1" || strings.EqualFold(value, "true")
}

// isNotRun reports whether the server says that it did not run the request.
func (c *Client) isNotRun(resp *fasthttp.Response) bool {
	if isMisdirected(c.settings.Dialect, resp) {
		return true
	}
	return resp.StatusCode() >= fasthttp.StatusBadRequest && isTrue(resp, c.settings.Dialect.NotRun)
}

// isMisdirected reports whether another server than the expected one answered.
func isMisdirected(d *httpheader.Dialect, resp *fasthttp.Response) bool {
	return d.ExpectServer != "" && resp.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// shed ends an attempt that the server refused without running it.
func (c *Client) shed(a *Attempt, resp *fasthttp.Response, body *answerBody) *SendError {
	d := c.settings.Dialect
	e := &SendError{
		Result:      event.AttemptShed,
		Sent:        true,
		RetryAfter:  retryAfter(resp),
		Draining:    isTrue(resp, d.Draining),
		Misdirected: isMisdirected(d, resp),
		Report:      readReport(d, resp),
		Step:        StepShed,
		Backend:     a.Backend,
		Peer:        a.Address,
		Err:         errShed,
	}
	body.drain()
	return e
}

var errShed = errors.New("the server refused the request without running it")

func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.ParseFloat(string(resp.Header.Peek(httpheader.RetryAfter)), 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxRetryAfter is the longest Retry-After that is believed.
const maxRetryAfter = time.Hour
