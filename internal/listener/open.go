package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// StopMargin is added to the longest time of a planned stop, to get the time for which a process
// waits for the addresses of the one before it.
const StopMargin = 5 * time.Second

const (
	// minOpenDelay and maxOpenDelay are the delays between two attempts to listen on addresses
	// that are in use. Nobody is served meanwhile, so they are short.
	minOpenDelay = 10 * time.Millisecond
	maxOpenDelay = 200 * time.Millisecond
)

// Address is an address to listen on.
type Address struct {
	Name string // of the listener, for errors
	Addr string // host:port
	To   *net.Listener
}

// Open listens on all addresses and sets To of each. While some are in use, for wait at most, it
// keeps none of them and tries again, since the process that used them before may be stopping. It
// returns the error of ctx if ctx ends meanwhile, otherwise an error that names every address that
// cannot be used. An address that is in use keeps those after it from being opened: callers should
// come last, so that none connects to a process that cannot serve yet.
func Open(ctx context.Context, addresses []Address, wait time.Duration, log *logrus.Entry) error {
	deadline := time.Now().Add(wait)
	err := openOnce(addresses, false)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	log.WithError(err).WithField("wait", wait).Warn("address in use; waiting for the process that uses it to stop")
	for delay := minOpenDelay; errors.Is(err, syscall.EADDRINUSE); delay = min(2*delay, maxOpenDelay) {
		left := time.Until(deadline)
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for addresses in use: %w", ctx.Err())
		case <-time.After(max(0, min(delay, left))):
		}
		err = openOnce(addresses, left <= delay)
		if left <= delay {
			return err
		}
	}
	return err
}

// openOnce listens on the addresses, or on none if that fails. Unless all is set, addresses after
// one that is in use are not tried.
func openOnce(addresses []Address, all bool) error {
	var errs []error
	var open []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.Addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen for %s on %s: %w", a.Name, a.Addr, err))
			if errors.Is(err, syscall.EADDRINUSE) && !all {
				break
			}
			continue
		}
		*a.To = l
		open = append(open, l)
	}
	if len(errs) == 0 {
		return nil
	}
	for _, l := range open {
		_ = l.Close() // the error of the start matters more
	}
	return errors.Join(errs...)
}
