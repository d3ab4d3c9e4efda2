package upstream

import (
	"errors"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/httpresponse"
	"github.com/valyala/fasthttp"
)

// maxMismatchedResponses is the number of responses to other requests that are skipped
// before the attempt fails.
const maxMismatchedResponses = 2

// maxSkippedBytes bounds the body of a response to another request that is read in order
// to get to the next response.
const maxSkippedBytes = 1 << 20

var (
	errMismatchedResponses = errors.New("response belongs to another request")
	errUnsigned            = errors.New("successful response without the server's signature")
)

// skipMismatched skips nothing if the attempt has no request ID, as a health check. It skips the responses to
// other requests, because a server may repeat a response on a persistent connection, and
// rejects a successful response without a signature. A refusal without a request ID is
// accepted, as is any response without one of a server that has named none on this connection,
// unless the dialect's servers echo them. If it fails, it returns the step that failed.
func (c *Client) skipMismatched(a *Attempt, cn *conn, resp *fasthttp.Response) (Step, error) {
	if a.TraceID == "" {
		// A second copy of this refusal could not be told from a refusal of the next request.
		cn.desynchronized = cn.desynchronized || c.isNotRun(resp)
		return "", nil
	}
	d := c.settings.Dialect
	for skipped := 0; ; skipped++ {
		id := resp.Header.Peek(d.RequestID)
		switch {
		case string(id) == a.TraceID:
			cn.echoes = true
			return StepReceive, c.requireSignature(resp)
		case len(id) == 0 && c.isNotRun(resp):
			// The same holds here, so the connection must not carry another request.
			cn.desynchronized = true
			return "", nil
		case len(id) == 0 && !d.EchoesRequestID && !cn.echoes:
			return "", nil
		}
		cn.desynchronized = true
		if skipped == maxMismatchedResponses {
			return StepReceive, errMismatchedResponses
		}
		if err := skipResponse(cn, resp); err != nil {
			return StepReceive, err
		}
	}
}

// requireSignature returns errUnsigned for a 2xx response without the signature that the
// dialect requires.
func (c *Client) requireSignature(resp *fasthttp.Response) error {
	d := c.settings.Dialect
	success := resp.StatusCode()/100 == 2
	if success && d.Signature != "" && len(resp.Header.Peek(d.Signature)) == 0 {
		return errUnsigned
	}
	return nil
}

// skipResponse reads the rest of a response and the header of the next one.
func skipResponse(cn *conn, resp *fasthttp.Response) error {
	stream := resp.BodyStream() // nil for a status without a body
	closeDelimited := stream != nil && resp.Header.ContentLength() == closeDelimitedLength
	if closeDelimited || resp.ConnectionClose() {
		return errMismatchedResponses
	}
	if stream != nil {
		skipped, err := io.Copy(io.Discard, io.LimitReader(stream, maxSkippedBytes+1))
		if err != nil {
			return err
		}
		if skipped > maxSkippedBytes {
			return errMismatchedResponses
		}
	}
	skip := resp.SkipBody
	resp.Reset()
	resp.StreamBody = true
	resp.SkipBody = skip
	if err := httpresponse.Read(cn.br, resp, 0); err != nil {
		return cn.receiveError(err)
	}
	return nil
}
