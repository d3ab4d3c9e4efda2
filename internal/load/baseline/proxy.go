// Package baseline is a plain HTTP proxy for comparison in experiments: it
// forwards to a fixed list of backend servers in turn, without steering,
// admission or ranks. No other program uses it.
package baseline

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Policy says what the proxy does with failures.
type Policy string

// The policies.
const (
	// Bare forwards each request once.
	Bare Policy = "bare"
	// Naive sends a request that failed, or was answered with 5xx, to the next
	// backend server, whatever its kind.
	Naive Policy = "naive"
)

// naiveAttempts bounds the attempts of one request under Naive.
const naiveAttempts = 3

// Bounds of the proxy's connections.
const (
	maxConnsPerServer = 300
	idleTimeout       = 30 * time.Second
	attemptTimeout    = 30 * time.Second
	maxBodyBytes      = 64 << 20
)

// ErrPolicy is returned for an unknown policy.
var ErrPolicy = errors.New("policy is none of bare, naive")

// Proxy forwards requests.
type Proxy struct {
	http    *fasthttp.Server
	servers []*fasthttp.HostClient
	next    atomic.Uint64
	tries   int
	entries []byte // answer to look-ups: this proxy itself
}

// New returns a proxy to the given backend servers that answers look-ups with
// its own address.
func New(policy Policy, address string, servers []string) (*Proxy, error) {
	if policy != Bare && policy != Naive {
		return nil, fmt.Errorf("%w: %q", ErrPolicy, policy)
	}
	if len(servers) == 0 {
		return nil, errors.New("no backend servers")
	}
	p := &Proxy{tries: 1}
	if policy == Naive {
		p.tries = min(naiveAttempts, len(servers))
	}
	p.entries = fmt.Appendf(nil, `{"entries":[{"instance":"baseline","zone":"","address":%s}],"ttl_seconds":60}`, strconv.Quote(address))
	for _, server := range servers {
		p.servers = append(p.servers, newServer(server))
	}
	p.http = &fasthttp.Server{
		Handler:               p.serve,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxBodyBytes,
		CloseOnShutdown:       true,
		IdleTimeout:           idleTimeout,
	}
	return p, nil
}

func newServer(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnsPerServer,
		MaxConnWaitTimeout:        attemptTimeout,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// Serve accepts connections until Shutdown.
func (p *Proxy) Serve(ln net.Listener) error {
	if err := p.http.Serve(ln); err != nil {
		return fmt.Errorf("serve baseline on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Shutdown waits for the requests in flight, or for the context to end.
func (p *Proxy) Shutdown(ctx context.Context) error {
	err := p.http.ShutdownWithContext(ctx)
	for _, server := range p.servers {
		server.CloseIdleConnections()
	}
	if err != nil {
		return fmt.Errorf("stop baseline: %w", err)
	}
	return nil
}

func (p *Proxy) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/entries" {
		ctx.SetContentType("application/json")
		ctx.SetBody(p.entries)
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	ctx.Request.Header.Del("Connection")
	var err error
	for range p.tries {
		server := p.servers[p.next.Add(1)%uint64(len(p.servers))]
		err = server.DoTimeout(&ctx.Request, &ctx.Response, attemptTimeout)
		if err == nil && ctx.Response.StatusCode() < fasthttp.StatusInternalServerError {
			break
		}
	}
	p.finish(ctx, id, err)
}

func (p *Proxy) finish(ctx *fasthttp.RequestCtx, id string, err error) {
	if err != nil {
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.Header.Set("X-Outcome", "unknown")
		ctx.Response.Header.Set("X-Request-Id", id)
		return
	}
	ctx.Response.Header.Del("Connection")
	ctx.Response.Header.Set("X-Outcome", "served")
	if ctx.Response.StatusCode() >= fasthttp.StatusInternalServerError {
		ctx.Response.Header.Set("X-Outcome", "unknown")
	}
	ctx.Response.Header.Set("X-Request-Id", id)
}
