package model

import "time"

// Instant is a point in time in nanoseconds since the Unix epoch. The runtime
// reads the wall clock once at start and advances it by the monotonic clock, so
// within one process an Instant never goes backwards.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i > other }

// Time converts to the standard library's type.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }

// InstantOf converts from the standard library's type.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }
