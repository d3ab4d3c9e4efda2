// Package journal keeps the latest decisions of an entry instance in memory and
// finds those about one request or one subject.
package journal

import (
	"slices"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Sizes are how many decisions of each kind a Journal keeps.
type Sizes struct {
	Fleet    int // about instances, servers, zones and the configuration
	Notable  int // about requests that something was refused, retried or lost for
	Ordinary int // about requests that were served at the first try
}

// Journal is a set of rings of decisions, so that a flood of requests does not
// push out what was decided about the fleet. It is safe for concurrent use.
type Journal struct {
	mu       sync.Mutex
	fleet    ring[event.JournalEntry]
	notable  ring[RequestEntry]
	ordinary ring[RequestEntry]
}

// New returns an empty journal.
func New(s Sizes) *Journal {
	return &Journal{
		fleet:    newRing[event.JournalEntry](s.Fleet),
		notable:  newRing[RequestEntry](s.Notable),
		ordinary: newRing[RequestEntry](s.Ordinary),
	}
}

// Add records a decision about the fleet; the oldest gives way.
func (j *Journal) Add(e event.JournalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fleet.add(e)
}

// Query selects decisions. An empty field matches everything.
type Query struct {
	Request string
	Subject string
	Limit   int // 0 for all
}

// maxRequestsOfSubject bounds the lines about requests in what is found about a
// subject, so that a flood does not hide what was decided about the subject.
const maxRequestsOfSubject = 20

// Find returns matching decisions, oldest first; where there are more than the
// limit, the latest. Decisions about requests are formatted here.
func (j *Journal) Find(q Query) []event.JournalEntry {
	found := j.requestLines(q)
	if q.Request == "" && len(found) > maxRequestsOfSubject {
		found = found[len(found)-maxRequestsOfSubject:]
	}
	found = append(found, j.findFleet(q)...)
	slices.SortStableFunc(found, func(a, b event.JournalEntry) int { return int(a.At.Sub(b.At)) })
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[len(found)-q.Limit:]
	}
	return found
}

func (j *Journal) requestLines(q Query) []event.JournalEntry {
	var lines []event.JournalEntry
	for _, e := range j.findRequests(q) {
		for _, line := range e.Lines() {
			if q.matches(&line) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

func (j *Journal) findFleet(q Query) []event.JournalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []event.JournalEntry
	j.fleet.each(func(e *event.JournalEntry) {
		if q.matches(e) {
			found = append(found, *e)
		}
	})
	return found
}

// findRequests copies the entries that may have matching lines.
func (j *Journal) findRequests(q Query) []RequestEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []RequestEntry
	keep := func(e *RequestEntry) {
		if (q.Request == "" || q.Request == e.Request) && (q.Subject == "" || q.Subject == e.Subject) {
			found = append(found, *e)
		}
	}
	j.notable.each(keep)
	// About a subject, what happens to every request would say nothing.
	if q.Request != "" {
		j.ordinary.each(keep)
	}
	return found
}

func (q Query) matches(e *event.JournalEntry) bool {
	if q.Request != "" && q.Request != e.Request {
		return false
	}
	return q.Subject == "" || q.Subject == e.Subject
}

// Since returns from when on the journal is complete, 0 while it is empty.
func (j *Journal) Since() model.Instant {
	j.mu.Lock()
	defer j.mu.Unlock()
	var since model.Instant
	if e := j.fleet.oldest(); e != nil && j.fleet.full {
		since = max(since, e.At)
	}
	for _, r := range []*ring[RequestEntry]{&j.notable, &j.ordinary} {
		if e := r.oldest(); e != nil && r.full {
			since = max(since, e.At)
		}
	}
	return since
}
