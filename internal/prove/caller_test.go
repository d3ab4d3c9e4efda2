//go:build prove

package prove

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout    = 500 * time.Millisecond
	lookupTimeout  = 500 * time.Millisecond
	lookupRetry    = 100 * time.Millisecond
	requestTimeout = 8 * time.Second // longer than every route deadline in configurationText
)

// unreachableError reports a failed dial: no part of the request was sent.
type unreachableError struct{ error }

// caller is a client with one source address. It caches the addresses of the entry
// instances from its last look-up and keeps one connection pool for each.
type caller struct {
	source     netip.Addr
	bootstrap  []string
	entries    atomic.Pointer[[]string] // addresses, preferred first
	refreshNow chan struct{}

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

func newCaller(source netip.Addr, bootstrap []string) *caller {
	c := &caller{source: source, bootstrap: bootstrap, refreshNow: make(chan struct{}, 1), clients: make(map[string]*fasthttp.HostClient)}
	c.entries.Store(&bootstrap)
	return c
}

// refreshLoop refreshes the list of entry instances until ctx ends: when it expires
// or when demote requests it.
func (c *caller) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.refreshNow:
		case <-time.After(c.refresh()):
		}
	}
}

// refresh looks up the entry instances at the known ones in turn, then at the
// bootstrap addresses, and returns the time until the next refresh.
func (c *caller) refresh() time.Duration {
	for _, entry := range append(append([]string(nil), *c.entries.Load()...), c.bootstrap...) {
		list, ttl, err := c.fetchEntries(entry)
		if err == nil && len(list) > 0 {
			c.entries.Store(&list)
			return max(ttl, lookupRetry)
		}
	}
	return lookupRetry
}

// fetchEntries returns the addresses that entry lists and their time to live.
func (c *caller) fetchEntries(entry string) ([]string, time.Duration, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + "/v1/entries")
	if err := c.client(entry).DoTimeout(req, resp, lookupTimeout); err != nil {
		return nil, 0, err
	}
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		TTLSeconds int `json:"ttl_seconds"`
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return nil, 0, err
	}
	var list []string
	for _, e := range answer.Entries {
		list = append(list, e.Address)
	}
	return list, time.Duration(answer.TTLSeconds) * time.Second, nil
}

// demote moves an entry instance to the end of the list and requests a refresh.
func (c *caller) demote(entry string) {
	var front, back []string
	for _, e := range *c.entries.Load() {
		if e == entry {
			back = append(back, e)
			continue
		}
		front = append(front, e)
	}
	list := append(front, back...)
	c.entries.Store(&list)
	select {
	case c.refreshNow <- struct{}{}:
	default:
	}
}

func (c *caller) client(entry string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.clients[entry]; client != nil {
		return client
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.source, 0))}
	client := &fasthttp.HostClient{
		Addr: entry,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, &unreachableError{err}
			}
			return conn, nil
		},
		MaxConns:                  10000,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	c.clients[entry] = client
	return client
}

func isUnreachable(err error) bool {
	var u *unreachableError
	return errors.As(err, &u)
}
