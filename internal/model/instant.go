package model

import (
	"math"
	"time"
)

// Instant is a point in time in nanoseconds since the Unix epoch. The runtime
// reads the wall clock once at startup and advances it with the monotonic clock,
// so Instants never go backwards within a process.
type Instant int64

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i > other }

// Time converts i to a time.Time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }

// UnixMillis returns the Instant in milliseconds since the Unix epoch.
func (i Instant) UnixMillis() int64 { return int64(i) / int64(time.Millisecond) }

// InstantOfUnixMillis converts milliseconds since the Unix epoch to an Instant. Beyond the range
// of Instants it returns the nearest one.
func InstantOfUnixMillis(ms int64) Instant {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return Instant(min(max(ms, -limit), limit) * int64(time.Millisecond))
}

// InstantOf converts a time.Time to an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }
