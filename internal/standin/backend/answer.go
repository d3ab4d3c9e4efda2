package backend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// noRequestID replaces a missing request identifier in the body of an answer.
const noRequestID = "-"

// blockBytes is the minimum length of the repeated block of an answer, and the length of
// the pieces in which CheckAnswer compares.
const blockBytes = 4 << 10

// answerReader generates the unlimited body of an answer: the request identifier and a
// newline, repeated. A body that contains bytes of another answer can thus be detected.
type answerReader struct {
	block  []byte // whole repetitions of the pattern
	offset int
}

func newAnswerReader(requestID string) *answerReader {
	if requestID == "" {
		requestID = noRequestID
	}
	pattern := []byte(requestID + "\n")
	return &answerReader{block: bytes.Repeat(pattern, 1+blockBytes/len(pattern))}
}

// Read implements io.Reader.
func (r *answerReader) Read(p []byte) (int, error) {
	for filled := 0; filled < len(p); {
		n := copy(p[filled:], r.block[r.offset:])
		filled += n
		r.offset = (r.offset + n) % len(r.block)
	}
	return len(p), nil
}

// AnswerReader returns a reader of the n-byte answer to the request requestID.
func AnswerReader(requestID string, n int64) io.Reader {
	return io.LimitReader(newAnswerReader(requestID), n)
}

// AnswerBody returns the n-byte answer to the request requestID.
func AnswerBody(requestID string, n int) []byte {
	body := make([]byte, n)
	_, _ = newAnswerReader(requestID).Read(body)
	return body
}

// CheckAnswer reads an answer to its end and returns its length in bytes. It returns an
// error at the first byte that differs from the answer to requestID, together with the
// length of the blocks checked before.
func CheckAnswer(requestID string, answer io.Reader) (int64, error) {
	wanted := newAnswerReader(requestID)
	got, expected := make([]byte, blockBytes), make([]byte, blockBytes)
	var length int64
	for {
		n, err := answer.Read(got)
		_, _ = wanted.Read(expected[:n])
		if at := firstDifference(got[:n], expected[:n]); at >= 0 {
			return length, fmt.Errorf("answer to request %q has byte %q at %d, want %q", requestID, got[at], length+int64(at), expected[at])
		}
		length += int64(n)
		if errors.Is(err, io.EOF) {
			return length, nil
		}
		if err != nil {
			return length, fmt.Errorf("read answer at byte %d: %w", length, err)
		}
	}
}

// firstDifference returns the index of the first byte that differs, or -1.
func firstDifference(a, b []byte) int {
	if bytes.Equal(a, b) {
		return -1
	}
	for i := range a {
		if a[i] != b[i] {
			return i
		}
	}
	return -1
}
