package model

import "time"

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

// InstantOf converts a time.Time to an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }
