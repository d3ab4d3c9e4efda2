package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// replacementLogInterval is the least time between two log lines about replaced connections.
const replacementLogInterval = time.Minute

// Limited is a net.Listener that bounds its open connections.
type Limited struct {
	net.Listener
	log *logrus.Entry
	max int

	mu       sync.Mutex
	open     map[*limitedConn]struct{}
	loggedAt time.Time
}

// Limit returns l with at most maxOpen open connections. A connection beyond them replaces the
// one that has been silent for longest, so that peers that send nothing cannot keep others out.
func Limit(l net.Listener, maxOpen int, name string, log *logrus.Entry) *Limited {
	return &Limited{
		Listener: l,
		log:      log.WithFields(logrus.Fields{"listener": name, "address": l.Addr().String()}),
		max:      maxOpen,
		open:     map[*limitedConn]struct{}{},
	}
}

// Accept implements net.Listener.
func (l *Limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lc := &limitedConn{Conn: c, listener: l}
	lc.lastRead.Store(time.Now().UnixNano())
	if replaced := l.add(lc); replaced != nil {
		_ = replaced.Close() // its peer is silent
	}
	return lc, nil
}

// add adds a connection and returns the one that it replaces, nil if there is room.
func (l *Limited) add(c *limitedConn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var replaced *limitedConn
	if len(l.open) >= l.max {
		for o := range l.open {
			if replaced == nil || o.lastRead.Load() < replaced.lastRead.Load() {
				replaced = o
			}
		}
		delete(l.open, replaced)
		if now := time.Now(); now.Sub(l.loggedAt) >= replacementLogInterval {
			l.loggedAt = now
			l.log.WithField("limit", l.max).Warn("too many connections; closing those that are silent for longest")
		}
	}
	l.open[c] = struct{}{}
	return replaced
}

func (l *Limited) remove(c *limitedConn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// limitedConn is a connection that counts towards its listener's limit until it is closed.
type limitedConn struct {
	net.Conn
	listener *Limited
	lastRead atomic.Int64 // Unix nanoseconds
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
