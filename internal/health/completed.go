package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// maxCompleted bounds each of the two generations of completed requests.
	maxCompleted = 4096
	// completedFor is how long a generation is filled.
	completedFor = 5 * time.Minute
)

// completedSet remembers which requests were answered in full of late, for one to
// two generations. A request that many callers send, and that is in flight
// wherever a server crashes, is told from the one that crashes them by that.
type completedSet struct {
	current, previous map[uint64]struct{}
	since             model.Instant // of current
}

func newCompletedSet() completedSet {
	return completedSet{current: make(map[uint64]struct{}), previous: make(map[uint64]struct{})}
}

func (c *completedSet) add(now model.Instant, fingerprint uint64) {
	if len(c.current) >= maxCompleted || now.Sub(c.since) > completedFor {
		c.current, c.previous = c.previous, c.current
		clear(c.current)
		c.since = now
	}
	if _, known := c.current[fingerprint]; !known {
		c.current[fingerprint] = struct{}{}
	}
}

func (c *completedSet) has(fingerprint uint64) bool {
	if _, known := c.current[fingerprint]; known {
		return true
	}
	_, known := c.previous[fingerprint]
	return known
}
