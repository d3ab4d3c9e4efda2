// Package tcpstate asks the kernel about a TCP connection without consuming
// any of its data.
package tcpstate

import (
	"errors"
	"net"
	"syscall"
)

// State is what the receive side of a connection holds.
type State uint8

// The states.
const (
	Quiet    State = iota // open, nothing received
	Readable              // open, unread data received
	Closed                // the peer closed or reset the connection
)

// Probe peeks at one connection again and again. It is not safe for concurrent
// use.
type Probe struct {
	raw   syscall.RawConn // nil where the connection gives no access to its socket
	peek  func(fd uintptr)
	state State
	b     [1]byte
}

// NewProbe returns a probe of a connection.
func NewProbe(c net.Conn) *Probe {
	p := new(Probe)
	p.peek = p.peekSocket
	if sc, ok := c.(syscall.Conn); ok {
		// An error means that the connection is closed, which Peek finds out too.
		p.raw, _ = sc.SyscallConn()
	}
	return p
}

// Peek returns the state of the receive side. It never blocks. A connection
// that gives no access to its socket counts as Quiet.
func (p *Probe) Peek() State {
	if p.raw == nil {
		return Quiet
	}
	if err := p.raw.Control(p.peek); err != nil {
		return Closed
	}
	return p.state
}

func (p *Probe) peekSocket(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), p.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		p.state = Readable
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		p.state = Quiet
	default:
		p.state = Closed
	}
}
