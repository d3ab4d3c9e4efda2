package httpresponse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// TestValidHeaders guards against a valid response that is rejected or read differently than by
// fasthttp, however it arrives.
func TestValidHeaders(t *testing.T) {
	long := strings.Repeat("a", 3000)
	for _, header := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length:2\r\nEmpty:\r\n\r\n",
		"\r\nHTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\nContent-Length: \t2 \t\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 2\r\n!#$%&'*+-.^_`|~09azAZ: a:b, \"c d\"\n\r\nok\r\n\r\n",
		"HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nX: tab\there, \xe9\x80\r\n" + long + ": " + "v\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-T: v\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\n",
	} {
		want := fasthttp.AcquireResponse()
		require.NoError(t, want.Read(bufio.NewReader(strings.NewReader(header+"ok"))), "%.60q", header)
		for _, source := range []io.Reader{strings.NewReader(header + "ok"), iotest.OneByteReader(strings.NewReader(header + "ok"))} {
			got := fasthttp.AcquireResponse()
			require.NoError(t, Read(bufio.NewReader(source), got, 0), "%.60q", header)
			require.Equal(t, want.String(), got.String())
		}
	}
}

// TestBrokenHeaders covers headers and trailers that end early, are too long, or are rejected by
// fasthttp only.
func TestBrokenHeaders(t *testing.T) {
	for _, c := range []struct {
		text string
		want error
	}{
		{"", io.EOF},
		{"HTTP/1.1 200 OK\r\nContent-Le", io.ErrUnexpectedEOF},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\n", ErrInvalid},
		{"HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n", ErrInvalid},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ErrInvalid},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 0\r\n\r\n", ErrInvalid},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: v\r\nBad : v\r\n\r\n", ErrInvalid},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 1\r\n\r\n", ErrInvalid},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: v\r\n", io.ErrUnexpectedEOF},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", io.ErrUnexpectedEOF},
		{strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimResponses+1), ErrInvalid},
	} {
		require.ErrorIs(t, Read(bufio.NewReader(strings.NewReader(c.text)), fasthttp.AcquireResponse(), 0), c.want, "%.60q", c.text)
	}
}

// FuzzRead checks that each field line of an accepted header has a valid name, as found by splitting
// the header into lines.
func FuzzRead(f *testing.F) {
	for _, line := range []string{"Bad Name: v", "Bad : v", " Bad: v", "\tBad: v", "Bad\rName: v", ": v", "Bad", "A: v\nBad : v", "A: v\n\nBad : v", "A: v\r\n\r\nBad : v"} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"))
		f.Add([]byte("HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\nContent-Length : 1\r\n\r\nok"))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 4096 || Read(bufio.NewReader(bytes.NewReader(text)), fasthttp.AcquireResponse(), 0) != nil {
			return
		}
		lines := strings.Split(string(text), "\n")
		for i, final := 0, false; !final; i++ {
			for strings.TrimSuffix(lines[i], "\r") == "" {
				i++
			}
			var status int
			_, err := fmt.Sscanf(lines[i], "HTTP/%s %d", new(string), &status)
			require.NoError(t, err)
			final = status >= 200
			for i++; strings.TrimSuffix(lines[i], "\r") != ""; i++ {
				name, _, _ := strings.Cut(lines[i], ":")
				require.True(t, httpguts.ValidHeaderFieldName(name), "%q", lines[i])
			}
		}
	})
}
