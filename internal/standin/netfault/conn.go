package netfault

import (
	"net"
	"sync"
)

// Conn is a connection that a Listener accepted.
type Conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	closeErr  error
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.forget(c)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// Reset closes the connection at once, as a process that died would: what was
// not yet sent is lost and the peer sees a reset.
func (c *Conn) Reset() {
	SetReset(c.Conn)
	_ = c.Close()
}

// CloseWrite ends the sending half.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

// SetReset makes the next Close of a TCP connection reset it.
func SetReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
