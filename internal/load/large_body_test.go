package load

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// pattern is an endless body whose bytes depend on their offset.
type pattern struct{ offset uint64 }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.offset * 2654435761 >> 24)
		p.offset++
	}
	return len(b), nil
}

// TestLargeBodiesPassUnchanged sends large request and response bodies through
// ingress and upstream, with and without a declared length.
func TestLargeBodiesPassUnchanged(t *testing.T) {
	const size = 4 << 20
	want := xxh3.New()
	_, err := io.CopyN(want, &pattern{}, size)
	require.NoError(t, err)
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: 1 << 16, Handler: func(ctx *fasthttp.RequestCtx) {
		got := xxh3.New()
		_, err := io.Copy(got, ctx.RequestBodyStream())
		ctx.Response.Header.Set("X-Body-Digest", fmt.Sprintf("%016x", got.Sum64()))
		if err != nil {
			ctx.SetStatusCode(400)
		}
		length := size
		if ctx.QueryArgs().Has("chunked") {
			length = -1
		}
		// The struct hides the io.LimitedReader, from which fasthttp would derive a length.
		ctx.SetBodyStream(struct{ io.Reader }{io.LimitReader(&pattern{}, size)}, length)
	}}
	entry := startForwarder(t, listenWith(t, server))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, query := range []string{"", "?chunked"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/"+query, io.LimitReader(&pattern{}, size))
		require.NoError(t, err)
		if query == "" {
			req.ContentLength = size
		}
		resp, err := client.Do(req)
		require.NoError(t, err)
		got := xxh3.New()
		n, err := io.Copy(got, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 200, resp.StatusCode)
		require.EqualValues(t, size, n)
		require.Equal(t, want.Sum64(), got.Sum64())
		require.Equal(t, fmt.Sprintf("%016x", want.Sum64()), resp.Header.Get("X-Body-Digest"))
	}
}
