package netfault

import (
	"net"
	"sync"
)

// Conn is a connection accepted by a Listener.
type Conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	closeErr  error
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.remove(c)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// Reset closes the connection immediately, as if the process had died: unsent data is lost
// and the peer receives a TCP reset.
func (c *Conn) Reset() {
	SetReset(c.Conn)
	_ = c.Close()
}

// CloseWrite closes the sending half of a TCP connection. A connection of another type is
// closed completely.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

// SetReset makes the next Close of c send a TCP reset. It has no effect on non-TCP
// connections.
func SetReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
