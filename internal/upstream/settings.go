// Package upstream sends requests to backend servers over HTTP/1.1, one request
// a connection at a time, and classifies how each attempt ended. It never
// repeats a request by itself.
package upstream

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
)

// Settings bounds the client. A zero field takes the default.
type Settings struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// ProgressTimeout is the longest time without a byte sent or received while
	// one is due, per connection.
	ProgressTimeout time.Duration
	// IdleTimeout is the longest time that a connection stays in the pool.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the pooled connections of one backend server.
	MaxIdlePerAddress int
	// MaxOpenPerAddress bounds all connections to one backend server, which
	// itself holds a limited number.
	MaxOpenPerAddress int
	// StatusTimeout bounds one status request.
	StatusTimeout time.Duration
	// Dialect names the fields that backend servers understand; nil is httpheader.Own.
	Dialect *httpheader.Dialect
	// AcceptUnframed takes an answer without a length as complete when its
	// connection is closed in an orderly way.
	AcceptUnframed bool
}

// The defaults of Settings.
const (
	DefaultDialTimeout       = 250 * time.Millisecond
	DefaultProgressTimeout   = 5 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultMaxIdlePerAddress = 320
	DefaultMaxOpenPerAddress = 320
	DefaultStatusTimeout     = 500 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	s.DialTimeout = orDefault(s.DialTimeout, DefaultDialTimeout)
	s.ProgressTimeout = orDefault(s.ProgressTimeout, DefaultProgressTimeout)
	s.IdleTimeout = orDefault(s.IdleTimeout, DefaultIdleTimeout)
	s.MaxIdlePerAddress = orDefault(s.MaxIdlePerAddress, DefaultMaxIdlePerAddress)
	s.MaxOpenPerAddress = orDefault(s.MaxOpenPerAddress, DefaultMaxOpenPerAddress)
	s.StatusTimeout = orDefault(s.StatusTimeout, DefaultStatusTimeout)
	if s.Dialect == nil {
		s.Dialect = httpheader.Own()
	}
	return s
}

func orDefault[T time.Duration | int](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}
