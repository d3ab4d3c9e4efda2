package load

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// bodyDigestHeader is the header with the hash of the request body that a backend
// server received.
const bodyDigestHeader = "X-Body-Digest"

// verify checks that an answer is complete and belongs to its request. The body is
// checked only with status 200, and the digest only if the answer has one.
func verify(q *request, c *Class, resp *fasthttp.Response) error {
	if id := string(resp.Header.Peek(httpheader.RequestID)); id != q.id {
		return fmt.Errorf("answer to request %q has request ID %q", q.id, id)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	body := resp.Body()
	if len(body) != c.AnswerBytes {
		return fmt.Errorf("answer to request %q has %d bytes, expected %d", q.id, len(body), c.AnswerBytes)
	}
	if len(body) > len(q.id) && !startsWithLine(body, q.id) {
		return fmt.Errorf("answer to request %q starts with %q", q.id, body[:len(q.id)+1])
	}
	return verifyDigest(q, resp)
}

func startsWithLine(body []byte, line string) bool {
	return bytes.HasPrefix(body, []byte(line)) && body[len(line)] == '\n'
}

func verifyDigest(q *request, resp *fasthttp.Response) error {
	text := string(resp.Header.Peek(bodyDigestHeader))
	if text == "" {
		return nil
	}
	got, err := strconv.ParseUint(text, 16, 64)
	if err != nil || got != q.digest {
		return fmt.Errorf("backend server received a different body for request %q: digest %s, sent %016x", q.id, text, q.digest)
	}
	return nil
}
