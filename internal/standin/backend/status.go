package backend

import (
	"sync"
	"time"
)

// maxStatusHistory bounds the past states that are kept for a lagging status.
const maxStatusHistory = 1 << 16

// statusLog keeps past states, so that the status endpoint can lag.
type statusLog struct {
	mu      sync.Mutex
	lag     time.Duration
	entries []statusEntry // oldest first
}

type statusEntry struct {
	at     time.Time
	status Status
}

// setLag changes how far reports lag; without a lag no history is kept.
func (l *statusLog) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
	if lag <= 0 {
		l.entries = nil
	}
}

// record adds a state that is in force from now on.
func (l *statusLog) record(now time.Time, current func() Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag <= 0 {
		return
	}
	l.entries = append(l.entries, statusEntry{at: now, status: current()})
	l.trim(now.Add(-l.lag))
}

// trim drops the states that no report needs any more.
func (l *statusLog) trim(oldest time.Time) {
	drop := max(0, len(l.entries)-maxStatusHistory)
	for drop < len(l.entries)-1 && !l.entries[drop+1].at.After(oldest) {
		drop++
	}
	l.entries = l.entries[drop:]
}

// report returns the state as it was the lag ago, or the oldest one known.
func (l *statusLog) report(now time.Time, current func() Status) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag <= 0 || len(l.entries) == 0 {
		return current()
	}
	l.trim(now.Add(-l.lag))
	return l.entries[0].status
}
