// Package ingress implements the HTTP server for callers. It turns each request into
// an Exchange for a Handler and serves lookups of entry instances. It makes no routing
// decisions.
package ingress

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// DefaultBufferBytes is the default of Settings.BufferBytes.
const DefaultBufferBytes = 64 << 10

// Settings configures a Server. Numbers and durations that are not positive
// are replaced with their defaults.
type Settings struct {
	// MaxExchanges limits concurrent exchanges. An exchange with a streamed response
	// lasts until the response has been written.
	MaxExchanges int
	// MaxLookups bounds concurrent lookups, which do not count as exchanges.
	MaxLookups int
	// MaxConnections bounds the callers' open connections.
	MaxConnections int
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
	// ProgressTimeout bounds the time in which a caller must send the next
	// ProgressBytes of a request body, or accept some more of a response.
	ProgressTimeout time.Duration
	// ProgressBytes is the number of request body bytes that restarts ProgressTimeout.
	ProgressBytes int
	// MaxHeaderBytes bounds the size of a request's header.
	MaxHeaderBytes int
	// BufferBytes is the size of the largest request body that is held in memory and
	// of the largest response body, by its declared length, that is read completely
	// before any of it is sent.
	BufferBytes int
	// HeldBytes bounds the bytes of request and response bodies that are held in memory for
	// all exchanges together. A request with a body beyond it is refused, a response beyond
	// it is streamed.
	HeldBytes int64
	// ReadAhead is the number of requests of all connections together that may be passed to the
	// handler while an earlier request of their connection is running; 0 for none. It has no
	// effect unless the handler is a ReadAheadHandler.
	ReadAhead int
	// Dialect names the header fields that callers and the server set; nil means
	// httpheader.DefaultDialect.
	Dialect *httpheader.Dialect
	// NoLookups passes every path to the handler, for deployments where lookups are
	// served elsewhere.
	NoLookups bool
	// FractionalRetryAfter writes Retry-After in seconds with three decimals.
	FractionalRetryAfter bool
	// OverloadRetryAfter is the Retry-After hint of a refusal because of overload.
	OverloadRetryAfter time.Duration
	// OnReject, if set, is called for each request that the server refuses without calling
	// the handler, except for lookups. It must not block.
	OnReject func(*Rejection)
	// Panics contains the panics of requests and lookups; nil for none.
	Panics *contain.Panics
}

// Rejection is a request that was refused without calling the handler.
type Rejection struct {
	RequestID string
	Host      string // empty if the header could not be read
	Path      string
	Cause     model.Cause
	Err       error // what is wrong with the request, or what it lacks; nil if there are too many
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
	DefaultHeldBytes          = 256 << 20
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
	setDefault(&s.BufferBytes, DefaultBufferBytes)
	setDefault(&s.HeldBytes, DefaultHeldBytes)
	if s.Dialect == nil {
		s.Dialect = httpheader.DefaultDialect()
	}
	setDefault(&s.OverloadRetryAfter, DefaultOverloadRetryAfter)
	return s
}

func setDefault[T time.Duration | int | int64](v *T, fallback T) {
	if *v <= 0 {
		*v = fallback
	}
}
