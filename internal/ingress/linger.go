package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerCheckInterval is how often a lingering connection is checked for progress.
	lingerCheckInterval = 50 * time.Millisecond
	// lingerDivisor is the ratio of all connections to those that may linger beside them, up
	// to maxLingering: they use the process's reserve of file descriptors.
	lingerDivisor = 16
	maxLingering  = 128
)

// lingerer closes connections whose caller has not received the whole response yet. Closing
// such a connection at once throws the rest away if the caller has sent, or still sends, bytes
// that are not read, such as the rest of a body or its next request: the kernel resets it.
type lingerer struct {
	timeout time.Duration // without progress
	max     int64
	open    atomic.Int64
}

// close closes the connection, now or, in the background, when the caller has received all.
func (l *lingerer) close(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok || unsent(tcp) == 0 {
		return c.Close()
	}
	if l.open.Add(1) > l.max {
		l.open.Add(-1)
		return c.Close()
	}
	go func() {
		defer l.open.Add(-1)
		l.linger(tcp)
		_ = tcp.Close() // the response has been delivered, or cannot be
	}()
	return nil
}

// linger ends the sending side and discards what the caller sends until it has received all,
// closes the connection, or makes no progress within the timeout.
func (l *lingerer) linger(c *net.TCPConn) {
	if c.CloseWrite() != nil {
		return
	}
	left, progressAt := unsent(c), time.Now()
	for left > 0 && time.Since(progressAt) < l.timeout {
		if c.SetReadDeadline(time.Now().Add(lingerCheckInterval)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, c); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if now := unsent(c); now < left {
			left, progressAt = now, time.Now()
		}
	}
}

// wait waits until no connection lingers or ctx is done.
func (l *lingerer) wait(ctx context.Context) {
	ticker := time.NewTicker(lingerCheckInterval / 10)
	defer ticker.Stop()
	for l.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unsent returns the number of bytes that the peer's kernel has not acknowledged, 0 if that is
// unknown.
func unsent(c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // an error means that the connection is closed
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}
