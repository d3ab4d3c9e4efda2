// Package upstream sends requests to backend servers over HTTP/1.1, one request per
// connection at a time, and classifies how each attempt ended. It never retries a
// request by itself.
package upstream

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
)

// Settings configures a Client. Numbers and durations that are not positive
// are replaced with their defaults.
type Settings struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// ProgressTimeout bounds the time without a byte sent or received on a connection
	// while one is due, from the deadline of the attempt on.
	ProgressTimeout time.Duration
	// IdleTimeout bounds how long an idle connection stays in the pool.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections to a backend server.
	MaxIdlePerAddress int
	// MaxOpenPerAddress bounds all connections to a backend server, which itself
	// accepts only a limited number.
	MaxOpenPerAddress int
	// MaxOpen bounds all connections to all backend servers.
	MaxOpen int
	// StatusTimeout bounds a status request.
	StatusTimeout time.Duration
	// Dialect names the header fields that backend servers understand; nil means
	// httpheader.DefaultDialect.
	Dialect *httpheader.Dialect
	// AcceptCloseDelimited accepts a close-delimited response as complete if its
	// connection is closed in an orderly way, not reset.
	AcceptCloseDelimited bool
	// MaxUndeclaredBodyBytes bounds a response body without a declared length.
	MaxUndeclaredBodyBytes int64
	// Panics contains the panics of the client's own goroutines; nil for none.
	Panics *contain.Panics
}

// The defaults of Settings.
const (
	DefaultDialTimeout       = 250 * time.Millisecond
	DefaultProgressTimeout   = 5 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultMaxIdlePerAddress = 320
	DefaultMaxOpenPerAddress = 320
	DefaultMaxOpen           = 16384
	DefaultStatusTimeout     = 500 * time.Millisecond
	// DefaultMaxUndeclaredBodyBytes is far above any answer, and low enough to end one
	// that does not end by itself.
	DefaultMaxUndeclaredBodyBytes = 64 << 20
)

func (s Settings) withDefaults() Settings {
	s.DialTimeout = orDefault(s.DialTimeout, DefaultDialTimeout)
	s.ProgressTimeout = orDefault(s.ProgressTimeout, DefaultProgressTimeout)
	s.IdleTimeout = orDefault(s.IdleTimeout, DefaultIdleTimeout)
	s.MaxIdlePerAddress = orDefault(s.MaxIdlePerAddress, DefaultMaxIdlePerAddress)
	s.MaxOpenPerAddress = orDefault(s.MaxOpenPerAddress, DefaultMaxOpenPerAddress)
	s.MaxOpen = orDefault(s.MaxOpen, DefaultMaxOpen)
	s.StatusTimeout = orDefault(s.StatusTimeout, DefaultStatusTimeout)
	s.MaxUndeclaredBodyBytes = orDefault(s.MaxUndeclaredBodyBytes, DefaultMaxUndeclaredBodyBytes)
	if s.Dialect == nil {
		s.Dialect = httpheader.DefaultDialect()
	}
	return s
}

func orDefault[T time.Duration | int | int64](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}
