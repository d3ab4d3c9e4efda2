package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHalfOpenBreakerAllowsOneCall(t *testing.T) {
	now := time.Unix(0, 0)
	b := newBreaker(BreakerSettings{Failures: 2, Cooldown: time.Second})
	b.now = func() time.Time { return now }
	b.jitter = func() float64 { return 0.5 }

	for range 2 {
		require.True(t, b.allow())
		b.record(false)
	}
	require.Equal(t, BreakerOpen, b.State())
	require.False(t, b.allow())
	b.record(false) // a call sent before the breaker opened must not extend the open time

	now = now.Add(time.Second)
	require.Equal(t, BreakerHalfOpen, b.State())
	require.True(t, b.allow())
	require.False(t, b.allow())
	b.record(false)
	require.Equal(t, BreakerOpen, b.State())

	now = now.Add(time.Second)
	require.True(t, b.allow())
	b.record(true)
	require.Equal(t, BreakerClosed, b.State())
	require.True(t, b.allow())
	b.record(false)
	require.Equal(t, BreakerClosed, b.State())
}
