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
	// maxLingerSilence is how long a caller that has received all may send nothing.
	maxLingerSilence = time.Second
	// maxLingerTime bounds the time in which a caller sends what is discarded.
	maxLingerTime = 30 * time.Second
)

// lingerer closes connections whose caller has not received the whole response yet, or still
// sends. Closing such a connection at once throws the rest away if the caller has sent, or still
// sends, bytes that are not read, such as the rest of a body or its next request: the kernel resets
// it, and a caller that reads only after it has sent all fails before it reads.
type lingerer struct {
	timeout time.Duration // without progress
	max     int64
	open    atomic.Int64
}

// close closes the connection, now or, in the background, when the caller has received all. If
// sending is set, the caller may be sending what is not read, and is left time to end that.
func (l *lingerer) close(c net.Conn, sending bool) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c.Close()
	}
	limit := l.max
	if unsent(tcp) == 0 {
		if !sending {
			return c.Close()
		}
		limit = (l.max + 1) / 2 // the others are for responses that are not delivered
	}
	if l.open.Add(1) > limit {
		l.open.Add(-1)
		return c.Close()
	}
	go func() {
		defer l.open.Add(-1)
		l.linger(tcp, sending)
		_ = tcp.Close() // the response has been delivered, or cannot be
	}()
	return nil
}

// linger ends the sending side and discards what the caller sends until it has received all and,
// if it is sending, has ended that, closes the connection, or makes no progress within the timeout.
func (l *lingerer) linger(c *net.TCPConn, sending bool) {
	if c.CloseWrite() != nil {
		return
	}
	start := time.Now()
	left, progressAt := unsent(c), start
	silence := time.Duration(0) // in which this process ran
	for {
		switch now := time.Now(); {
		case left > 0 && now.Sub(progressAt) >= l.timeout:
			return
		case left == 0 && (!sending || silence >= maxLingerSilence || now.Sub(start) >= maxLingerTime):
			return
		}
		if c.SetReadDeadline(time.Now().Add(lingerCheckInterval)) != nil {
			return
		}
		n, err := io.Copy(io.Discard, c)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if silence += lingerCheckInterval; n > 0 {
			silence = 0
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
