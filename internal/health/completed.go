package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// maxGenerationSize bounds the number of requests in each of the two
	// generations of completed requests.
	maxGenerationSize = 4096
	// generationPeriod is the time after which a new generation is started.
	generationPeriod = 5 * time.Minute
)

// completedSet holds the fingerprints of requests that were recently answered in
// full, for one to two generations. It distinguishes a request that crashes
// servers from one that many callers send and that is therefore in flight at every
// crash.
type completedSet struct {
	current, previous map[uint64]struct{}
	since             model.Instant // start of the current generation
}

func newCompletedSet() completedSet {
	return completedSet{current: make(map[uint64]struct{}), previous: make(map[uint64]struct{})}
}

func (c *completedSet) add(now model.Instant, fingerprint uint64) {
	if len(c.current) >= maxGenerationSize || now.Sub(c.since) > generationPeriod {
		c.current, c.previous = c.previous, c.current
		clear(c.current)
		c.since = now
	}
	if _, ok := c.current[fingerprint]; !ok {
		c.current[fingerprint] = struct{}{}
	}
}

func (c *completedSet) has(fingerprint uint64) bool {
	if _, ok := c.current[fingerprint]; ok {
		return true
	}
	_, ok := c.previous[fingerprint]
	return ok
}
