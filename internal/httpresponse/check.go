package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// checkHeader waits for the whole header of the response that is read next and returns its status.
// It fails as soon as a line is invalid.
func checkHeader(br *bufio.Reader) (int, error) {
	var c headerCheck
	err := c.wait(br)
	return c.status, err
}

// checkTrailer waits for the whole trailer that is read next. It fails as soon as a line is invalid.
func checkTrailer(br *bufio.Reader) error {
	c := headerCheck{inFields: true}
	if err := c.wait(br); err != io.EOF { //nolint:errorlint // a wrapped io.EOF is not the end of a reader
		return err
	}
	return io.ErrUnexpectedEOF
}

// headerCheck checks the lines of a header or a trailer as they arrive.
type headerCheck struct {
	checked  int  // length of the checked lines
	inFields bool // the status line, if there is one, has been checked
	status   int
}

// wait waits until all lines are buffered and valid, or one is invalid. It consumes nothing.
func (c *headerCheck) wait(br *bufio.Reader) error {
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return incompleteError(err, br.Buffered())
		}
		received, _ := br.Peek(br.Buffered())
		if complete, err := c.checkLines(received); complete || err != nil {
			return err
		}
	}
}

// incompleteError returns the error of a header of which only some bytes could be buffered.
func incompleteError(err error, buffered int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("%w: header or trailer longer than %d bytes", ErrInvalid, buffered)
	case errors.Is(err, io.EOF) && buffered > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// checkLines checks the lines of received that are complete and not yet checked, and reports whether the
// last one is empty, which ends the header.
func (c *headerCheck) checkLines(received []byte) (bool, error) {
	for {
		if c.inFields {
			c.skipValidFields(received)
		}
		line, ok := c.nextLine(received)
		if !ok {
			return false, nil
		}
		var err error
		switch {
		case c.inFields && len(line) == 0:
			return true, nil
		case c.inFields:
			err = checkFieldName(line)
		case len(line) > 0: // fasthttp skips empty lines before the status line
			c.inFields = true
			c.status, err = parseStatus(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// skipValidFields skips complete lines with a valid field name. It is the fast path of checkFieldName.
func (c *headerCheck) skipValidFields(received []byte) {
	for {
		rest := received[c.checked:]
		name := tokenLength(rest)
		if name == 0 || name == len(rest) || rest[name] != ':' {
			return
		}
		end := bytes.IndexByte(rest[name:], '\n')
		if end < 0 {
			return
		}
		c.checked += name + end + 1
	}
}

// nextLine returns the next line without its end, and false if it is not complete.
func (c *headerCheck) nextLine(received []byte) ([]byte, bool) {
	rest := received[c.checked:]
	end := bytes.IndexByte(rest, '\n')
	if end < 0 {
		return nil, false
	}
	c.checked += end + 1
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
