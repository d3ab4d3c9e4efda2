package fairshare

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxReturns bounds the remembered times of return. Requests beyond it are taken for new ones.
const maxReturns = 1024

// Returns remembers when refused requests were told to come back, so that one that comes earlier
// can be recognised. Different callers with the same key are taken for one.
type Returns[K comparable] struct {
	times   map[K]model.Instant
	sweptAt model.Instant
}

// NewReturns returns Returns without requests.
func NewReturns[K comparable]() *Returns[K] { return &Returns[K]{times: map[K]model.Instant{}} }

// Told records that a refused request was told to come back after the given time.
func (r *Returns[K]) Told(now model.Instant, key K, after time.Duration) {
	if len(r.times) >= maxReturns {
		r.sweep(now)
	}
	if _, known := r.times[key]; known || len(r.times) < maxReturns {
		r.times[key] = now.Add(after)
	}
}

// TimeLeft returns how long a request is earlier than it was told to come back, 0 if it is not.
func (r *Returns[K]) TimeLeft(now model.Instant, key K) time.Duration {
	at, known := r.times[key]
	if known && at <= now {
		delete(r.times, key)
		return 0
	}
	return max(0, at.Sub(now))
}

// sweep forgets times that have passed. It takes time in proportion to their number and is
// therefore made only now and then.
func (r *Returns[K]) sweep(now model.Instant) {
	if r.sweptAt != 0 && now.Sub(r.sweptAt) < levelAge {
		return
	}
	r.sweptAt = now
	for key, at := range r.times {
		if at <= now {
			delete(r.times, key)
		}
	}
}
