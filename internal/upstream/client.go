package upstream

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/descriptors"
	"github.com/primrosenotch/primrosenotch/internal/dialing"
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   net.Dialer
	open     atomic.Int64 // connections of all pools
	mu       sync.RWMutex
	pools    map[netip.AddrPort]*pool
	stop     context.CancelFunc
	stopped  chan struct{}
}

// New returns a client that runs until Shutdown.
func New(settings Settings) *Client {
	s := settings.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		settings: s,
		dialer:   net.Dialer{Timeout: s.DialTimeout},
		pools:    make(map[netip.AddrPort]*pool),
		stop:     cancel,
		stopped:  make(chan struct{}),
	}
	go c.expireIdle(ctx)
	return c
}

// Shutdown closes every idle connection. Attempts in flight continue, and their
// connections are closed when they end.
func (c *Client) Shutdown() error {
	c.stop()
	<-c.stopped
	for _, p := range c.allPools() {
		// Attempts in flight may still open connections; an invalidation time in the
		// future keeps those out of the pool, too.
		p.invalidate(time.Now().Add(time.Hour))
	}
	return nil
}

// ClosePooledConnections closes the idle connections to a backend server and returns
// how many there were. Connections in use that were opened before now are closed when
// they are returned to the pool.
func (c *Client) ClosePooledConnections(address netip.AddrPort) int {
	return c.poolOf(address).invalidate(time.Now())
}

// Count returns the numbers of open and idle connections to a backend server.
func (c *Client) Count(address netip.AddrPort) Connections {
	return c.poolOf(address).count()
}

// CloseConnections removes the pool of a backend server that is no longer in the
// configuration and closes its idle connections.
func (c *Client) CloseConnections(address netip.AddrPort) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.invalidate(time.Now())
	}
}

func (c *Client) poolOf(address netip.AddrPort) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{address: address, total: &c.open}
		c.pools[address] = p
	}
	return p
}

func (c *Client) allPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}

// expireIdle closes connections that exceed the idle timeout until the context is done.
func (c *Client) expireIdle(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(c.settings.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.settings.Panics.Do(contain.Connection, func() {
				for _, p := range c.allPools() {
					p.expire(now, c.settings.IdleTimeout)
				}
			})
		}
	}
}

// connect returns a pooled connection or a new one. If it fails, it returns the step
// that failed.
func (c *Client) connect(ctx context.Context, a *Attempt) (*conn, Step, error) {
	p := c.poolOf(a.Address)
	if !a.FreshConnection {
		if cn := p.take(time.Now(), cmp.Or(a.MaxIdle, c.settings.IdleTimeout)); cn != nil {
			return cn, "", nil
		}
	}
	if err := c.reserve(p); err != nil {
		return nil, StepLimit, err
	}
	raw, err := dialing.Dial(ctx, &c.dialer, a.Address.String())
	if err != nil {
		p.unreserve()
		if descriptors.IsShortage(err) || errors.Is(err, dialing.ErrStalled) {
			return nil, StepLimit, err
		}
		return nil, StepDial, err
	}
	return newConn(raw, p, time.Now(), c.settings.ProgressTimeout), "", nil
}

// reserve counts a connection that is about to be opened. At the limit of all
// connections it closes the longest idle one, or fails if there is none.
func (c *Client) reserve(p *pool) error {
	if err := p.reserve(c.settings.MaxOpenPerAddress); err != nil {
		return err
	}
	if c.open.Load() <= int64(c.settings.MaxOpen) {
		return nil
	}
	if oldest := c.longestIdlePool(); oldest != nil {
		oldest.closeLongestIdle()
		return nil
	}
	p.unreserve()
	return errConnectionLimit
}

// longestIdlePool returns the pool with the longest idle connection, nil if no connection
// is idle.
func (c *Client) longestIdlePool() *pool {
	var oldest *pool
	var since time.Time
	for _, p := range c.allPools() {
		if idle, ok := p.longestIdle(); ok && (oldest == nil || idle.Before(since)) {
			oldest, since = p, idle
		}
	}
	return oldest
}
