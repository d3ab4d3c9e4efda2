package load

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/load/baseline"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// forwarder is an ingress handler that passes each request directly to the
// upstream client, without any decision in between.
type forwarder struct {
	client  *upstream.Client
	address netip.AddrPort
}

func (f *forwarder) Serve(ctx context.Context, x *ingress.Exchange) {
	answer, err := f.client.Send(ctx, &upstream.Attempt{
		Address: f.address, Method: x.Method, URI: x.URI, Header: x.Header,
		Body: x.Body, BodyStream: x.BodyStream, BodyBytes: x.BodyBytes, TraceID: x.TraceID,
	})
	if err != nil {
		return
	}
	_ = x.Respond(&ingress.Response{Status: answer.Status, Header: answer.Header, BodyBytes: answer.BodyBytes, Body: answer.Body})
}

func startForwarder(t testing.TB, server string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client := upstream.New(upstream.Settings{MaxIdlePerAddress: 256, MaxOpenPerAddress: 256})
	s := ingress.New(ingress.Settings{}, &forwarder{client: client, address: netip.MustParseAddrPort(server)})
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		<-done
		_ = client.Shutdown()
	})
	return ln.Addr().String()
}

func TestRunThroughIngressAndUpstream(t *testing.T) {
	entry := startForwarder(t, listen(t, echoHandler))
	result := Run(t.Context(), shortExperiment(t, entry), nil)
	require.Zero(t, result.Faulty(), result.Problems)
	for _, row := range result.Rows {
		require.Equal(t, row.Requests, row.Outcomes["served"])
	}
}

// BenchmarkProxies compares the HTTP cost of ingress and upstream with that of
// the baseline proxy, with 16 concurrent callers per core.
func BenchmarkProxies(b *testing.B) {
	server := listen(b, echoHandler)
	for _, bc := range []struct{ name, entry string }{
		{"baseline", startBaseline(b, baseline.Bare, server)},
		{"ingress-upstream", startForwarder(b, server)},
	} {
		b.Run(bc.name, func(b *testing.B) {
			client := newHostClient(route{entry: bc.entry})
			defer client.CloseIdleConnections()
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				defer fasthttp.ReleaseRequest(req)
				defer fasthttp.ReleaseResponse(resp)
				req.SetRequestURI("/x?answer_bytes=500")
				req.Header.SetHost(bc.entry)
				for pb.Next() {
					if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
						b.Error(err, resp.StatusCode())
						return
					}
				}
			})
		})
	}
}
