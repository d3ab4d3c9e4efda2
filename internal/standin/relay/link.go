package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// minBurst is the minimum burst of a bandwidth limiter in bytes. It must be at least one
// chunk, because chunks are not split.
const minBurst = chunkBytes

// link holds the faults of a link and the state derived from them, shared by all sessions.
type link struct {
	mu       sync.Mutex
	faults   Faults
	rng      *rand.Rand
	unfrozen chan struct{}    // closed unless the link is frozen
	limits   [2]*rate.Limiter // by direction
}

func newLink(faults Faults) *link {
	l := &link{unfrozen: make(chan struct{})}
	close(l.unfrozen)
	l.set(faults)
	return l
}

// set replaces the faults and returns the previous ones.
func (l *link) set(faults Faults) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.faults
	l.faults = faults
	l.rng = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
	l.updateFrozen(before.State == StateFrozen, faults.State == StateFrozen)
	if before.BytesPerSecond != faults.BytesPerSecond || l.limits[0] == nil {
		l.limits = [2]*rate.Limiter{newLimiter(faults.BytesPerSecond), newLimiter(faults.BytesPerSecond)}
	}
	return before
}

// updateFrozen updates unfrozen for a change of the frozen state from before to after.
func (l *link) updateFrozen(before, after bool) {
	switch {
	case after && !before:
		l.unfrozen = make(chan struct{})
	case before && !after:
		close(l.unfrozen)
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

// delay returns the latency of one chunk, with random jitter.
func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := l.faults.latency()
	if jitter := l.faults.jitter(); jitter > 0 {
		delay += time.Duration(l.rng.Int64N(int64(jitter)))
	}
	return delay
}

// admit waits until n bytes can be sent in a direction: the link is not frozen and the
// bandwidth suffices.
func (l *link) admit(ctx context.Context, dir direction, n int) error {
	if err := l.waitOpen(ctx, dir); err != nil {
		return err
	}
	l.mu.Lock()
	limiter := l.limits[dir]
	l.mu.Unlock()
	if err := limiter.WaitN(ctx, n); err != nil {
		return err
	}
	return l.waitOpen(ctx, dir)
}

// waitOpen waits until the link is not frozen in a direction.
func (l *link) waitOpen(ctx context.Context, dir direction) error {
	if dir == toTarget && l.get().OnlyBack {
		return nil
	}
	return l.waitUnfrozen(ctx)
}

func (l *link) waitUnfrozen(ctx context.Context) error {
	l.mu.Lock()
	unfrozen := l.unfrozen
	l.mu.Unlock()
	select {
	case <-unfrozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
