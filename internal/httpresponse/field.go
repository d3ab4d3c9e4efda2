package httpresponse

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// tokenBytes holds the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (valid [256]bool) {
	for b := range valid {
		valid[b] = httpguts.IsTokenRune(rune(b))
	}
	return valid
}()

// tokenLength returns the length of the token that text begins with.
func tokenLength(text []byte) int {
	for i, b := range text {
		if !tokenBytes[b] {
			return i
		}
	}
	return len(text)
}

// checkFieldName checks the name of a field line that is not empty. fasthttp accepts blanks in a name,
// and follows a field with a blank before its colon. It checks the value itself.
//
// A line that begins with a blank is rejected, as RFC 9112, section 5.2, allows: whether it continues
// the value of the line before or has an invalid name cannot be told.
func checkFieldName(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ', line[0] == '\t':
		return fmt.Errorf("%w: field line begins with a blank: %.40q", ErrInvalid, line)
	case !found:
		return fmt.Errorf("%w: field line without a colon: %.40q", ErrInvalid, line)
	case len(name) == 0 || tokenLength(name) < len(name):
		return fmt.Errorf("%w: field name %.40q", ErrInvalid, name)
	default:
		return nil
	}
}
