package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// minBurst is the least number of bytes that a bandwidth limiter lets through
// at once; it must hold one chunk.
const minBurst = chunkBytes

// link is the switchable state that the pumps of all connections share.
type link struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	thawed chan struct{} // closed while bytes may pass
	limits [2]*rate.Limiter
}

func newLink(faults Faults) *link {
	l := &link{thawed: make(chan struct{})}
	close(l.thawed)
	l.set(faults)
	return l
}

// set replaces the switches and returns the ones before.
func (l *link) set(faults Faults) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.faults
	l.faults = faults
	l.rng = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	l.freeze(before.State == StateFrozen, faults.State == StateFrozen)
	if before.BytesPerSecond != faults.BytesPerSecond || l.limits[0] == nil {
		l.limits = [2]*rate.Limiter{newLimiter(faults.BytesPerSecond), newLimiter(faults.BytesPerSecond)}
	}
	return before
}

func (l *link) freeze(before, after bool) {
	switch {
	case after && !before:
		l.thawed = make(chan struct{})
	case before && !after:
		close(l.thawed)
	}
}

func newLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	const burstsPerSecond = 20
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(minBurst, int(bytesPerSecond/burstsPerSecond)))
}

func (l *link) get() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// delay draws the latency of one chunk.
func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.faults.latency()
	if jitter := l.faults.jitter(); jitter > 0 {
		delay += time.Duration(l.rng.Int64N(int64(jitter)))
	}
	return delay
}

// pass waits until n bytes may pass in a direction: the link is not frozen and
// its bandwidth allows them.
func (l *link) pass(ctx context.Context, way direction, n int) error {
	if err := l.waitOpen(ctx, way); err != nil {
		return err
	}
	l.mu.Lock()
	limiter := l.limits[way]
	l.mu.Unlock()
	if err := limiter.WaitN(ctx, n); err != nil {
		return err
	}
	return l.waitOpen(ctx, way)
}

// waitOpen waits until bytes may pass in a direction.
func (l *link) waitOpen(ctx context.Context, way direction) error {
	if way == outward && l.get().OnlyBack {
		return nil
	}
	return l.waitThawed(ctx)
}

func (l *link) waitThawed(ctx context.Context) error {
	l.mu.Lock()
	thawed := l.thawed
	l.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
