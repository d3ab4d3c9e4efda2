package upstream

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/tcpstate"
)

var errConnectionLimit = errors.New("too many open connections")

// pool holds the idle connections of one backend server.
type pool struct {
	address netip.AddrPort
	total   *atomic.Int64 // open connections of all pools
	mu      sync.Mutex
	idle    []*conn // longest idle first
	open    int     // idle connections and those in use
	// invalidatedAt is the latest time at which the pool was invalidated; connections
	// opened until then must not be reused.
	invalidatedAt time.Time
}

// take returns the most recently used idle connection that is still usable, or
// nil. Unusable ones are closed.
func (p *pool) take(now time.Time, maxIdle time.Duration) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < min(maxIdle, c.maxIdle) && c.probe.Peek() == tcpstate.Idle {
			return c
		}
		p.discard(c)
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened. At the limit it closes the
// longest idle one, or fails if there is none.
func (p *pool) reserve(limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit && len(p.idle) == 0 {
		return errConnectionLimit
	}
	if p.open >= limit {
		p.closeOldestLocked()
	}
	p.addOpenLocked(1)
	return nil
}

func (p *pool) addOpenLocked(n int) {
	p.open += n
	p.total.Add(int64(n))
}

// longestIdle returns since when the longest idle connection has been idle, and whether
// there is one.
func (p *pool) longestIdle() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// closeLongestIdle closes the longest idle connection, if there is one.
func (p *pool) closeLongestIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) > 0 {
		p.closeOldestLocked()
	}
}

func (p *pool) closeOldestLocked() {
	oldest := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.addOpenLocked(-1)
	_ = oldest.Conn.Close()
}

// unreserve undoes reserve after a failed dial.
func (p *pool) unreserve() {
	p.mu.Lock()
	p.addOpenLocked(-1)
	p.mu.Unlock()
}

// put returns a connection to the pool after a complete response.
func (p *pool) put(c *conn, now time.Time, maxIdle int) {
	c.idleSince = now
	p.mu.Lock()
	if len(p.idle) < maxIdle && c.opened.After(p.invalidatedAt) {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection that is not in the idle list.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	p.addOpenLocked(-1)
	p.mu.Unlock()
	_ = c.Conn.Close()
}

// invalidate closes every idle connection and returns how many there were. Connections
// in use that were opened up to now are closed when they are returned.
func (p *pool) invalidate(now time.Time) int {
	p.mu.Lock()
	p.invalidatedAt = now
	closing := p.idle
	p.idle = nil
	p.addOpenLocked(-len(closing))
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Conn.Close()
	}
	return len(closing)
}

// expire closes the connections that have been idle for at least idleTimeout.
func (p *pool) expire(now time.Time, idleTimeout time.Duration) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= idleTimeout {
		n++
	}
	closing := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.addOpenLocked(-n)
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Conn.Close()
	}
}

// Connections counts the connections to a backend server.
type Connections struct {
	Open int // including idle connections
	Idle int
}

func (p *pool) count() Connections {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Connections{Open: p.open, Idle: len(p.idle)}
}
