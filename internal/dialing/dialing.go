// Package dialing opens TCP connections and tells a peer that does not answer from a stall
// of this process.
package dialing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// MaxLateness is how much later than its timeout a failed dial may return. A later one
// shows that this process did not run in the meantime and may have missed the connection.
const MaxLateness = 5 * time.Millisecond

// ErrStalled is returned if the time for a dial ran out while this process did not run,
// which says nothing about the peer.
var ErrStalled = errors.New("this process did not run while the connection was being opened")

// Dial opens a TCP connection with a dialer that has a timeout. If that runs out while
// this process does not run, Dial tries once more.
func Dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	conn, err := dialOnce(ctx, d, address)
	if errors.Is(err, ErrStalled) {
		return dialOnce(ctx, d, address)
	}
	return conn, err
}

func dialOnce(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	start := time.Now()
	conn, err := d.DialContext(ctx, "tcp", address)
	if ctx.Err() == nil && isTimeout(err) && time.Since(start) > d.Timeout+MaxLateness {
		return nil, fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return conn, err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
