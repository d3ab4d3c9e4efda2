// Package ingress is the callers' HTTP server. It turns each request into an
// Exchange for a Handler and answers look-ups of entry instances. It decides
// nothing about where a request goes.
package ingress

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
)

// SmallBodyBytes is the default of Settings.BufferBytes.
const SmallBodyBytes = 64 << 10

// Settings bounds the server. A zero field takes the default.
type Settings struct {
	// MaxExchanges bounds the requests in the handler at the same time.
	MaxExchanges int
	// MaxLookups bounds the look-ups at the same time; they do not count as
	// exchanges.
	MaxLookups int
	// MaxConnections bounds the callers' open connections.
	MaxConnections int
	// HeaderTimeout bounds reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
	// ProgressTimeout bounds the time in which a caller must send, or take, the
	// next ProgressBytes of a body.
	ProgressTimeout time.Duration
	// ProgressBytes is the smallest progress that counts, in bytes.
	ProgressBytes int
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// BufferBytes is the largest request body that is held in memory whole, and the
	// largest answer that is read whole before any of it is sent.
	BufferBytes int
	// Dialect names the fields that callers and the server set; nil is httpheader.Own.
	Dialect *httpheader.Dialect
	// NoLookups leaves every path to the handler; look-ups are answered elsewhere.
	NoLookups bool
	// FractionalRetryAfter gives Retry-After with fractions of seconds.
	FractionalRetryAfter bool
	// OverloadRetryAfter is the hint given with a refusal for overload.
	OverloadRetryAfter time.Duration
}

// The defaults of Settings.
const (
	DefaultMaxExchanges       = 4096
	DefaultMaxLookups         = 256
	DefaultMaxConnections     = 16384
	DefaultHeaderTimeout      = 10 * time.Second
	DefaultIdleTimeout        = 75 * time.Second
	DefaultProgressTimeout    = 10 * time.Second
	DefaultProgressBytes      = 1024
	DefaultMaxHeaderBytes     = 16 << 10
	DefaultOverloadRetryAfter = time.Second
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxExchanges, DefaultMaxExchanges)
	setDefault(&s.MaxLookups, DefaultMaxLookups)
	setDefault(&s.MaxConnections, DefaultMaxConnections)
	setDefault(&s.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&s.IdleTimeout, DefaultIdleTimeout)
	setDefault(&s.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&s.ProgressBytes, DefaultProgressBytes)
	setDefault(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.BufferBytes, SmallBodyBytes)
	if s.Dialect == nil {
		s.Dialect = httpheader.Own()
	}
	setDefault(&s.OverloadRetryAfter, DefaultOverloadRetryAfter)
	return s
}

func setDefault[T time.Duration | int](v *T, fallback T) {
	if *v <= 0 {
		*v = fallback
	}
}
