package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// maxGenerationSize bounds the number of requests in each of the two
	// generations of completed requests.
	maxGenerationSize = 4096
	// completedLifetime is the time after a full answer in which a request gets no strikes. A
	// request that many callers send is answered again within it.
	completedLifetime = 30 * time.Second
)

// completedSet holds when requests were last answered in full, by fingerprint, in two
// generations. It distinguishes a request that crashes servers from one that many
// callers send and that is therefore in flight at every crash.
type completedSet struct {
	current, previous map[uint64]model.Instant
	since             model.Instant // start of the current generation
}

func newCompletedSet() completedSet {
	return completedSet{current: make(map[uint64]model.Instant), previous: make(map[uint64]model.Instant)}
}

func (c *completedSet) add(now model.Instant, fingerprint uint64) {
	if len(c.current) >= maxGenerationSize || now.Sub(c.since) > completedLifetime {
		c.current, c.previous = c.previous, c.current
		clear(c.current)
		c.since = now
	}
	c.current[fingerprint] = now
}

// has reports whether a request was answered in full within completedLifetime.
func (c *completedSet) has(now model.Instant, fingerprint uint64) bool {
	at, ok := c.current[fingerprint]
	if !ok {
		at, ok = c.previous[fingerprint]
	}
	return ok && now.Sub(at) <= completedLifetime
}
