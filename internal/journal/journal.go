// Package journal keeps the latest decisions of an entry instance in memory and
// finds those about one request or one subject.
package journal

import (
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Journal is a ring of decisions. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []event.JournalEntry
	next    int
	full    bool
}

// New returns a journal that keeps the latest size decisions.
func New(size int) *Journal { return &Journal{entries: make([]event.JournalEntry, size)} }

// Add records a decision; the oldest gives way.
func (j *Journal) Add(e event.JournalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[j.next] = e
	j.next++
	if j.next == len(j.entries) {
		j.next = 0
		j.full = true
	}
}

// Query selects decisions. An empty field matches everything.
type Query struct {
	Request string
	Subject string
	Limit   int // 0 for all
}

// Find returns matching decisions, oldest first; where there are more than the
// limit, the latest.
func (j *Journal) Find(q Query) []event.JournalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []event.JournalEntry
	for _, e := range j.ordered() {
		if q.matches(&e) {
			found = append(found, e)
		}
	}
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[len(found)-q.Limit:]
	}
	return found
}

func (j *Journal) ordered() []event.JournalEntry {
	if !j.full {
		return j.entries[:j.next]
	}
	all := make([]event.JournalEntry, 0, len(j.entries))
	all = append(all, j.entries[j.next:]...)
	return append(all, j.entries[:j.next]...)
}

func (q Query) matches(e *event.JournalEntry) bool {
	if q.Request != "" && q.Request != e.Request {
		return false
	}
	return q.Subject == "" || q.Subject == e.Subject
}

// Since returns the time of the oldest decision that is kept, 0 without any.
func (j *Journal) Since() model.Instant {
	j.mu.Lock()
	defer j.mu.Unlock()
	if entries := j.ordered(); len(entries) > 0 {
		return entries[0].At
	}
	return 0
}
