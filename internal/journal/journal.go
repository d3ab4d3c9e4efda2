// Package journal keeps an entry instance's most recent decisions in memory and
// finds those that concern a given request or subject.
package journal

import (
	"slices"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Sizes is the number of decisions of each kind that a Journal keeps.
type Sizes struct {
	Fleet    int // about instances, servers, zones and the configuration
	Notable  int // all other steps of requests, such as refusals and failed attempts
	Ordinary int // the steps of every served request: StepAnswered and StepServerAnswered
}

// Journal keeps decisions in separate ring buffers, so that a flood of requests
// does not evict decisions about the fleet. It is safe for concurrent use.
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

// Add records a decision about the fleet, overwriting the oldest one when the
// ring buffer is full.
func (j *Journal) Add(e event.JournalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fleet.add(e)
}

// Query selects decisions. An empty field matches everything.
type Query struct {
	TraceID string
	Subject string
	Limit   int // maximum number of results, 0 for all
}

// maxRequestLinesPerSubject bounds the lines about requests in the result of a
// query by subject, so that a flood of requests does not hide the decisions about
// the subject.
const maxRequestLinesPerSubject = 20

// Find returns the matching decisions, oldest first. If there are more than
// q.Limit, it returns the latest ones. Decisions about requests are formatted at
// query time.
func (j *Journal) Find(q Query) []event.JournalEntry {
	found := j.requestLines(q)
	if q.TraceID == "" && len(found) > maxRequestLinesPerSubject {
		found = found[len(found)-maxRequestLinesPerSubject:]
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

// findRequests returns copies of the request entries whose lines may match.
func (j *Journal) findRequests(q Query) []RequestEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []RequestEntry
	keep := func(e *RequestEntry) {
		if (q.TraceID == "" || q.TraceID == e.TraceID) && (q.Subject == "" || q.Subject == e.Subject) {
			found = append(found, *e)
		}
	}
	j.notable.each(keep)
	// Ordinary entries exist for every served request and carry no information about
	// a subject.
	if q.TraceID != "" {
		j.ordinary.each(keep)
	}
	return found
}

func (q Query) matches(e *event.JournalEntry) bool {
	if q.TraceID != "" && q.TraceID != e.TraceID {
		return false
	}
	return q.Subject == "" || q.Subject == e.Subject
}

// Since returns the instant from which the journal is complete, 0 while none of
// its ring buffers is full.
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
