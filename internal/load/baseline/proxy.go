// Package baseline provides a plain HTTP proxy for comparison in experiments. It
// forwards requests round-robin to a fixed list of backend servers, without load-aware
// routing, admission control or ranks. Only the load tool uses it.
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

// Policy selects how the proxy handles failed requests.
type Policy string

// Values of Policy.
const (
	// Bare forwards each request once.
	Bare Policy = "bare"
	// Naive sends a request that failed or was answered with 5xx to the next backend
	// server, up to naiveAttempts, regardless of whether the request may be repeated.
	Naive Policy = "naive"
)

// naiveAttempts is the maximum number of attempts per request under Naive.
const naiveAttempts = 3

// Limits of the proxy's connections.
const (
	maxConnsPerServer = 300
	idleTimeout       = 30 * time.Second
	attemptTimeout    = 30 * time.Second
	maxBodyBytes      = 64 << 20
)

// ErrPolicy is returned for an unknown policy.
var ErrPolicy = errors.New("policy must be bare or naive")

// Proxy forwards requests to its backend servers according to its policy.
type Proxy struct {
	http     *fasthttp.Server
	servers  []*fasthttp.HostClient
	next     atomic.Uint64
	attempts int    // maximum per request
	entries  []byte // JSON answer to lookups, which lists only this proxy
}

// New returns a proxy to the given backend servers that answers lookups with
// its own address.
func New(policy Policy, address string, servers []string) (*Proxy, error) {
	if policy != Bare && policy != Naive {
		return nil, fmt.Errorf("%w: %q", ErrPolicy, policy)
	}
	if len(servers) == 0 {
		return nil, errors.New("no backend servers")
	}
	p := &Proxy{attempts: 1}
	if policy == Naive {
		p.attempts = min(naiveAttempts, len(servers))
	}
	p.entries = fmt.Appendf(nil, `{"entries":[{"instance":"baseline","zone":"","address":%s}],"ttl_seconds":60}`, strconv.Quote(address))
	for _, server := range servers {
		p.servers = append(p.servers, newServerClient(server))
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

func newServerClient(address string) *fasthttp.HostClient {
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

// Serve accepts connections on ln until Shutdown.
func (p *Proxy) Serve(ln net.Listener) error {
	if err := p.http.Serve(ln); err != nil {
		return fmt.Errorf("serve baseline on %s: %w", ln.Addr(), err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for the requests in flight, or until
// ctx ends.
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
	for range p.attempts {
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
