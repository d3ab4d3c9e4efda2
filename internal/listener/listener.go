// Package listener opens TCP listeners that survive a shortage of resources.
package listener

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/descriptors"
)

const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// recoveryTime is the time without a failure after which accepting counts as
	// recovered, so that a shortage that comes and goes is logged once.
	recoveryTime = time.Second
)

// Retrying is a net.Listener whose Accept retries failures that concern a single
// connection or a temporary shortage, such as of file descriptors, after a short delay.
// It must be accepted from by one goroutine at a time.
type Retrying struct {
	net.Listener
	log         *logrus.Entry
	failures    prometheus.Counter
	consecutive int // failures since the last accepted connection
	failing     bool
	lastFailure time.Time
	closing     chan struct{}
	close       func() error
}

// Retry returns l with retries. It counts each failure in failures, and logs the first
// and the end of consecutive ones with the listener's name.
func Retry(l net.Listener, name string, log *logrus.Entry, failures *prometheus.CounterVec) *Retrying {
	r := &Retrying{
		Listener: l,
		log:      log.WithFields(logrus.Fields{"listener": name, "address": l.Addr().String()}),
		failures: failures.WithLabelValues(name),
		closing:  make(chan struct{}),
	}
	r.close = sync.OnceValue(func() error {
		close(r.closing)
		return l.Close()
	})
	return r
}

// Accept implements net.Listener.
func (r *Retrying) Accept() (net.Conn, error) {
	for {
		c, err := r.Listener.Accept()
		if err == nil {
			r.accepted()
			return c, nil
		}
		if !isTemporary(err) {
			return nil, err
		}
		r.noteFailure(err)
		select {
		case <-time.After(r.delay()):
		case <-r.closing:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. It also ends the delay before a retry.
func (r *Retrying) Close() error { return r.close() }

func (r *Retrying) noteFailure(err error) {
	r.failures.Inc()
	r.consecutive++
	r.lastFailure = time.Now()
	if !r.failing {
		r.failing = true
		r.log.WithError(err).Warn("cannot accept connections")
	}
}

func (r *Retrying) accepted() {
	r.consecutive = 0
	if r.failing && time.Since(r.lastFailure) >= recoveryTime {
		r.failing = false
		r.log.Info("accepting connections again")
	}
}

// delay doubles with each consecutive failure, up to maxRetryDelay.
func (r *Retrying) delay() time.Duration {
	const doublings = 6 // enough to exceed maxRetryDelay
	return min(minRetryDelay<<min(r.consecutive-1, doublings), maxRetryDelay)
}

// isTemporary reports whether a later accept may succeed. Linux also reports the errors
// of a new connection from accept.
func isTemporary(err error) bool {
	if descriptors.IsShortage(err) {
		return true
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPERM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.ETIMEDOUT, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET:
		return true
	default:
		return false
	}
}
