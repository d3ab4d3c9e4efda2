package backend

import (
	"sync"
	"time"
)

// maxStatusHistory limits the number of past states kept for a delayed status report.
const maxStatusHistory = 1 << 16

// statusHistory keeps past states so that the status endpoint can report outdated ones.
type statusHistory struct {
	mu      sync.Mutex
	lag     time.Duration
	entries []statusSnapshot // oldest first
}

type statusSnapshot struct {
	at     time.Time
	status Status
}

// setLag sets the age of reported states. If it is not positive, no history is kept.
func (l *statusHistory) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
	if lag <= 0 {
		l.entries = nil
	}
}

// record stores the state that is valid from now on.
func (l *statusHistory) record(now time.Time, current func() Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag <= 0 {
		return
	}
	l.entries = append(l.entries, statusSnapshot{at: now, status: current()})
	l.trim(now.Add(-l.lag))
}

// trim drops the states that were replaced at oldest or earlier, and the oldest ones above
// maxStatusHistory.
func (l *statusHistory) trim(oldest time.Time) {
	drop := max(0, len(l.entries)-maxStatusHistory)
	for drop < len(l.entries)-1 && !l.entries[drop+1].at.After(oldest) {
		drop++
	}
	l.entries = l.entries[drop:]
}

// report returns the state as it was one lag before now, or the oldest known state.
func (l *statusHistory) report(now time.Time, current func() Status) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag <= 0 || len(l.entries) == 0 {
		return current()
	}
	l.trim(now.Add(-l.lag))
	return l.entries[0].status
}
