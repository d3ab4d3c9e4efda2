package load

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/dialing"
	"github.com/valyala/fasthttp"
)

// Limits of the tool's connections.
const (
	dialTimeout   = 500 * time.Millisecond
	clientIdle    = 10 * time.Second
	clientMaxConn = 20000
)

// dialError reports a failed connection attempt; no part of the request was sent.
type dialError struct {
	address string
	err     error
}

func (e *dialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.address, e.err) }
func (e *dialError) Unwrap() error { return e.err }

// route is a pair of source address and entry instance address.
type route struct {
	source netip.Addr
	entry  string
}

// clients holds one HTTP client per route. The clients never retry a request.
type clients struct {
	mu      sync.RWMutex
	byRoute map[route]*fasthttp.HostClient
}

func newClients() *clients {
	return &clients{byRoute: make(map[route]*fasthttp.HostClient)}
}

func (c *clients) get(r route) *fasthttp.HostClient {
	c.mu.RLock()
	client := c.byRoute[r]
	c.mu.RUnlock()
	if client != nil {
		return client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if client = c.byRoute[r]; client == nil {
		client = newHostClient(r)
		c.byRoute[r] = client
	}
	return client
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.byRoute {
		client.CloseIdleConnections()
	}
}

func newHostClient(r route) *fasthttp.HostClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if r.source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.source, 0))
	}
	return &fasthttp.HostClient{
		Addr: r.entry,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialing.Dial(context.Background(), dialer, address)
			if err != nil {
				return nil, &dialError{address: address, err: err}
			}
			return conn, nil
		},
		MaxConns:                      clientMaxConn,
		MaxIdleConnDuration:           clientIdle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
}
