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

// Peek returns the state of the receive side. Connections that give no access
// to their socket count as Quiet. It never blocks.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	if err := raw.Control(func(fd uintptr) { state = peekSocket(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

func peekSocket(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return Readable
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Quiet
	default:
		return Closed
	}
}
