package ingress

import (
	"bytes"
	"strconv"
)

// requestHead is what the framing of a connection needs to know of a request's header.
type requestHead struct {
	safe      bool  // GET or HEAD without a body
	readable  bool  // GET or HEAD without a body over HTTP/1.1, with one host and a path as its target
	last      bool  // the connection is closed after the response
	bodyBytes int64 // length of the body, -1 if it cannot be told from the header alone
}

// framing finds the ends of requests in the bytes of a connection, so that the HTTP library gets
// one request at a time. It gives up at anything unusual: the library, which parses every request
// itself, then gets all bytes as they come, until the next time that it waits for a request with
// nothing left to parse.
type framing struct {
	lost     bool
	partial  []byte // the part of a header that was taken
	bodyLeft int64  // bytes of the current request's body that were not taken
}

// complete reports whether the last byte taken was the last one of a request.
func (f *framing) complete() bool { return !f.lost && len(f.partial) == 0 && f.bodyLeft == 0 }

// take returns how many bytes of data belong to the current request, and its head, with ended set,
// if that ends in them. maxHeader is the length of the longest header.
func (f *framing) take(data []byte, maxHeader int) (n int, head requestHead, ended bool) {
	if f.lost {
		return len(data), head, false
	}
	if f.bodyLeft > 0 {
		n = int(min(f.bodyLeft, int64(len(data))))
		f.bodyLeft -= int64(n)
		return n, head, false
	}
	before := len(f.partial)
	text := data
	if before > 0 {
		text = append(f.partial, data...)
	}
	size, head := scanHead(text)
	if size == 0 && len(text) <= maxHeader {
		f.partial = append(f.partial, data...)
		return len(data), head, false
	}
	f.partial = nil
	if size <= 0 || head.bodyBytes < 0 {
		f.lost = true
		return len(data), head, false
	}
	n = size - before
	body := min(head.bodyBytes, int64(len(data)-n))
	f.bodyLeft = head.bodyBytes - body
	return n + int(body), head, true
}

// scanHead returns the length of the header at the beginning of data, 0 if it is incomplete and -1
// if servers may differ about where it ends.
func scanHead(data []byte) (int, requestHead) {
	h := scannedHead{}
	for n := 0; ; {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			return 0, requestHead{}
		}
		line, terminated := bytes.CutSuffix(data[n:n+end], []byte("\r"))
		if !terminated || bytes.IndexByte(line, '\r') >= 0 {
			return -1, requestHead{}
		}
		first := n == 0
		n += end + 1
		switch {
		case first:
			if !h.requestLine(line) {
				return -1, requestHead{}
			}
		case len(line) == 0:
			return n, h.result()
		case !h.field(line):
			return -1, requestHead{}
		}
	}
}

// scannedHead collects what scanHead finds.
type scannedHead struct {
	bodyless   bool // GET or HEAD
	originForm bool
	http11     bool
	closes     bool
	hosts      int
	lengths    int
	length     int64
	unknown    bool // the length of the body
}

func (h *scannedHead) requestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || len(method) == 0 || len(target) == 0 || bytes.IndexByte(version, ' ') >= 0 {
		return false
	}
	h.bodyless = string(method) == "GET" || string(method) == "HEAD"
	h.originForm = target[0] == '/'
	h.http11 = string(version) == "HTTP/1.1"
	return true
}

// field notes a header field. It returns false if the field's name is malformed.
func (h *scannedHead) field(line []byte) bool {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || bytes.IndexByte(line[:colon], ' ') >= 0 || bytes.IndexByte(line[:colon], '\t') >= 0 {
		return false
	}
	name, value := line[:colon], bytes.TrimSpace(line[colon+1:])
	switch len(name) {
	case len("Host"):
		if isField(name, "Host") {
			h.hosts++
			if len(value) == 0 || bytes.IndexByte(value, '@') >= 0 {
				h.hosts++ // not one host
			}
		}
	case len("Expect"):
		h.unknown = h.unknown || isField(name, "Expect")
	case len("Connection"):
		if isField(name, "Connection") && !isField(value, "keep-alive") {
			h.closes = h.closes || bytes.Contains(bytes.ToLower(value), []byte("close"))
		}
	case len("Content-Length"):
		if isField(name, "Content-Length") {
			length, err := strconv.ParseUint(string(value), 10, 62)
			h.lengths++
			h.length = int64(length)
			h.unknown = h.unknown || err != nil
		}
	case len("Transfer-Encoding"):
		h.unknown = h.unknown || isField(name, "Transfer-Encoding")
	}
	return true
}

func isField(name []byte, want string) bool { return bytes.EqualFold(name, []byte(want)) }

func (h *scannedHead) result() requestHead {
	head := requestHead{last: h.closes || !h.http11, bodyBytes: h.length}
	if h.unknown || h.lengths > 1 || h.bodyless && h.length > 0 || !h.bodyless && h.lengths == 0 {
		head.bodyBytes = -1
	}
	head.safe = h.bodyless && head.bodyBytes == 0
	head.readable = head.safe && h.originForm && h.http11 && h.hosts == 1
	return head
}
