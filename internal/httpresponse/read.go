// Package httpresponse reads HTTP/1.1 responses with fasthttp, and rejects those whose header
// fasthttp accepts although it is invalid.
package httpresponse

import (
	"bufio"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the responses with a 1xx status before the final one.
const maxInterimResponses = 16

// ErrInvalid is wrapped by the errors of responses that are not valid HTTP, as opposed to those of
// connections that fail.
var ErrInvalid = errors.New("invalid response")

// Read reads the header of the final response and, unless resp.StreamBody is set, its body of up to
// maxBodyBytes, 0 for no limit. Its status is from 200 to 599: fasthttp would take status 000 for
// 200, and accept 101 and any number up to 999.
func Read(br *bufio.Reader, resp *fasthttp.Response, maxBodyBytes int) error {
	for range maxInterimResponses + 1 {
		status, err := checkHeader(br)
		if err != nil {
			return err
		}
		if status == fasthttp.StatusSwitchingProtocols { // never requested
			return fmt.Errorf("%w: unexpected status %d", ErrInvalid, status)
		}
		if err := resp.Header.Read(br); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if status < fasthttp.StatusOK {
			continue
		}
		if resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			return nil
		}
		return readBody(br, resp, maxBodyBytes)
	}
	return fmt.Errorf("%w: more than %d with a 1xx status", ErrInvalid, maxInterimResponses)
}

// readBody reads the body and the trailer, or makes resp read them as a stream.
func readBody(br *bufio.Reader, resp *fasthttp.Response, maxBodyBytes int) error {
	chunked := resp.Header.ContentLength() == chunkedLength
	if chunked && resp.StreamBody {
		streamChunks(br, resp)
		return nil
	}
	if err := resp.ReadBody(br, maxBodyBytes); err != nil || !chunked {
		return err
	}
	return readTrailer(br, &resp.Header)
}
