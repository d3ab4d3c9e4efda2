package load

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// bodyDigestField is the hash of the request body that a backend server got.
const bodyDigestField = "X-Body-Digest"

// verify checks that an answer is the whole answer to its own request. Only
// answers with status 200 have a body to check.
func verify(q *request, c *Class, resp *fasthttp.Response) error {
	if id := string(resp.Header.Peek(httpheader.RequestID)); id != q.id {
		return fmt.Errorf("answer to request %q says %q", q.id, id)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	body := resp.Body()
	if len(body) != c.AnswerBytes {
		return fmt.Errorf("answer to request %q has %d bytes, asked for %d", q.id, len(body), c.AnswerBytes)
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
	text := string(resp.Header.Peek(bodyDigestField))
	if text == "" {
		return nil
	}
	got, err := strconv.ParseUint(text, 16, 64)
	if err != nil || got != q.digest {
		return fmt.Errorf("the server got another body than that of request %q: digest %s, sent %016x", q.id, text, q.digest)
	}
	return nil
}
