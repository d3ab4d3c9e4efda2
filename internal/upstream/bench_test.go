package upstream

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/httpresponse"
)

const benchResponse = "HTTP/1.1 200 OK\r\n" +
	"Date: Mon, 07 Dec 2026 04:00:00 GMT\r\n" +
	"Content-Type: application/json; charset=utf-8\r\n" +
	"Cache-Control: no-store, no-cache, must-revalidate\r\n" +
	"X-Request-Id: 01234567-89ab-cdef-0123-456789abcdef\r\n" +
	"X-Signature: 0123456789abcdef0123456789abcdef\r\n" +
	"X-Server: shop-north-a-1\r\n" +
	"X-Load: 1,0,4\r\n" +
	"Content-Length: 2\r\n\r\nok"

// BenchmarkReadResponse reads a valid response from memory.
func BenchmarkReadResponse(b *testing.B) {
	source := strings.NewReader(benchResponse)
	br := bufio.NewReaderSize(source, bufferBytes)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(benchResponse)
		br.Reset(source)
		resp.Reset()
		resp.StreamBody = true
		if err := httpresponse.Read(br, resp, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkInterpretResponse reads a valid response from memory, checks that it belongs to its request,
// and copies its header and report.
func BenchmarkInterpretResponse(b *testing.B) {
	settings := echoingSettings()
	settings.Dialect.ServerLoad = "" // parsed by the tests' own function
	c := New(settings)
	defer func() { require.NoError(b, c.Shutdown()) }()
	a := &Attempt{TraceID: "01234567-89ab-cdef-0123-456789abcdef"}
	source := strings.NewReader(benchResponse)
	cn := newConn(&failedConn{}, nil, time.Now(), time.Second)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(benchResponse)
		cn.br.Reset(source)
		resp := fasthttp.AcquireResponse()
		resp.StreamBody = true
		if err := httpresponse.Read(cn.br, resp, 0); err != nil {
			b.Fatal(err)
		}
		if _, err := c.skipMismatched(a, cn, resp); err != nil {
			b.Fatal(err)
		}
		body := newResponseBody(c, nil, resp, nil)
		if response := c.newResponse(resp, body, false); response.Report.Server == "" {
			b.Fatal("no report")
		}
		fasthttp.ReleaseResponse(resp)
	}
}

// BenchmarkSend sends requests to a server in the same process and reads the responses.
func BenchmarkSend(b *testing.B) {
	head, _, _ := strings.Cut(benchResponse, "Content-Length")
	chunk := "4000\r\n" + strings.Repeat("a", 0x4000) + "\r\n"
	for name, response := range map[string]string{
		"length":      benchResponse,
		"chunks":      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"many chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 64) + "0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			s := startServer(b, respondAlways(response))
			c := New(Settings{})
			defer func() { require.NoError(b, c.Shutdown()) }()
			a := newGet(s)
			a.TraceID = "01234567-89ab-cdef-0123-456789abcdef"
			b.ReportAllocs()
			for b.Loop() {
				response, failed := c.Send(b.Context(), a)
				if failed != nil {
					b.Fatal(failed)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Fatal(err)
				}
				if err := response.Body.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
