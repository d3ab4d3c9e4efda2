// Package httpresponse reads HTTP/1.1 responses with fasthttp, and rejects those whose header
// fasthttp accepts although it is invalid.
package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

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
		return resp.ReadBody(br, maxBodyBytes)
	}
	return fmt.Errorf("%w: more than %d with a 1xx status", ErrInvalid, maxInterimResponses)
}

// checkHeader waits for the whole header of the response that is read next and returns its status.
// It fails as soon as a line is invalid.
func checkHeader(br *bufio.Reader) (int, error) {
	var h headerCheck
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return 0, headerError(err, br.Buffered())
		}
		received, _ := br.Peek(br.Buffered())
		if complete, err := h.check(received); complete || err != nil {
			return h.status, err
		}
	}
}

// headerError returns the error of a header of which only some bytes could be buffered.
func headerError(err error, buffered int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("%w: header longer than %d bytes", ErrInvalid, buffered)
	case errors.Is(err, io.EOF) && buffered > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// headerCheck checks the lines of a header as they arrive.
type headerCheck struct {
	checked int // length of the checked lines
	status  int // 0 before the status line
}

// check checks the lines of received that are complete and not yet checked. received begins with the
// header. It reports whether the header is complete.
func (h *headerCheck) check(received []byte) (bool, error) {
	for h.status == 0 {
		line, ok := h.nextLine(received)
		switch {
		case !ok:
			return false, nil
		case len(line) == 0: // fasthttp skips empty lines before the status line
			continue
		}
		status, err := parseStatus(line)
		if err != nil {
			return false, err
		}
		h.status = status
	}
	for {
		h.skipFields(received)
		line, ok := h.nextLine(received)
		switch {
		case !ok:
			return false, nil
		case len(line) == 0:
			return true, nil
		}
		if err := checkFieldName(line); err != nil {
			return false, err
		}
	}
}

// skipFields skips complete lines with a valid field name. It is the fast path of checkFieldName.
func (h *headerCheck) skipFields(received []byte) {
	for {
		rest := received[h.checked:]
		name := tokenLength(rest)
		if name == 0 || name == len(rest) || rest[name] != ':' {
			return
		}
		end := bytes.IndexByte(rest[name:], '\n')
		if end < 0 {
			return
		}
		h.checked += name + end + 1
	}
}

// nextLine returns the next line without its end, and false if it is not complete.
func (h *headerCheck) nextLine(received []byte) ([]byte, bool) {
	rest := received[h.checked:]
	end := bytes.IndexByte(rest, '\n')
	if end < 0 {
		return nil, false
	}
	h.checked += end + 1
	return bytes.TrimSuffix(rest[:end], []byte("\r")), true
}

// parseStatus returns the status of a status line.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, fmt.Errorf("%w: status %.20q", ErrInvalid, code)
	}
	return int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0'), nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
