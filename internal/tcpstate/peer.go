// Package tcpstate queries the kernel for the receive state of a TCP connection
// without consuming any of its data.
package tcpstate

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection's receive side.
type State uint8

// The states.
const (
	Idle     State = iota // open, nothing received
	Readable              // open, unread data received
	Closed                // the peer closed or reset the connection, with or without unread data
)

// Probe peeks repeatedly at the receive side of one connection. It is not safe for
// concurrent use.
type Probe struct {
	raw   syscall.RawConn // nil if the connection gives no access to its socket
	peek  func(fd uintptr)
	state State
	b     [1]byte
}

// NewProbe returns a Probe of the connection c.
func NewProbe(c net.Conn) *Probe {
	p := new(Probe)
	p.peek = p.peekSocket
	if sc, ok := c.(syscall.Conn); ok {
		// An error means that the connection is closed, which Peek also reports.
		p.raw, _ = sc.SyscallConn()
	}
	return p
}

// Peek returns the state of the receive side. It never blocks. A connection
// that gives no access to its socket counts as Idle.
func (p *Probe) Peek() State {
	if p.raw == nil {
		return Idle
	}
	if err := p.raw.Control(p.peek); err != nil {
		return Closed
	}
	return p.state
}

func (p *Probe) peekSocket(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), p.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0 && hungUp(fd):
		p.state = Closed
	case n > 0:
		p.state = Readable
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		p.state = Idle
	default:
		p.state = Closed
	}
}

// hungUp reports whether the peer has closed or reset the connection. Unread data hides that
// from a read.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
