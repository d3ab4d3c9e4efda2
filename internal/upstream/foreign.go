package upstream

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// maxForeignAnswers bounds the answers to earlier requests that are skipped on one
// connection before it is given up.
const maxForeignAnswers = 2

var (
	errForeign  = errors.New("the connection only gives answers to other requests")
	errUnsigned = errors.New("a success without the server's signature")
)

// skipForeign reads past answers that belong to other requests, and refuses a
// success without a signature: a server may repeat an answer on a kept connection.
func (c *Client) skipForeign(a *Attempt, cn *conn, resp *fasthttp.Response) (Step, error) {
	d := c.settings.Dialect
	if !d.EchoedID || a.Trace == "" {
		return "", nil
	}
	for range maxForeignAnswers {
		if string(resp.Header.Peek(d.RequestID)) == a.Trace {
			return StepReceive, c.requireSignature(resp)
		}
		if c.isNotRun(resp) && len(resp.Header.Peek(d.RequestID)) == 0 {
			return "", nil
		}
		cn.foreign = true
		if err := skipAnswer(cn, resp); err != nil {
			return StepReceive, err
		}
	}
	return StepReceive, errForeign
}

func (c *Client) requireSignature(resp *fasthttp.Response) error {
	d := c.settings.Dialect
	success := resp.StatusCode()/100 == 2
	if success && d.Signature != "" && len(resp.Header.Peek(d.Signature)) == 0 {
		return errUnsigned
	}
	return nil
}

// skipAnswer reads the rest of an answer and the header of the next one.
func skipAnswer(cn *conn, resp *fasthttp.Response) error {
	if resp.Header.ContentLength() == identityLength || resp.ConnectionClose() {
		return errForeign
	}
	if stream := resp.BodyStream(); stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	skip := resp.SkipBody
	resp.Reset()
	resp.StreamBody = true
	resp.SkipBody = skip
	if err := resp.ReadLimitBody(cn.br, 0); err != nil {
		return cn.receiveError(err)
	}
	return nil
}
