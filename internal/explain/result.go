package explain

import (
	"slices"
	"time"
)

const (
	// maxShownEvents bounds the events in a Result.
	maxShownEvents = 20
	// fleetLookBack is how long before a line of the request an event is shown that concerns
	// the whole instance.
	fleetLookBack = 10 * time.Second
)

// Result is what the logs tell about a request.
type Result struct {
	Request string
	// Lines holds the lines about the request and the events that mattered for it, the
	// earliest first.
	Lines []Line
	// OmittedEvents is the number of events that mattered but are not in Lines.
	OmittedEvents int
	// Complete reports whether the logs tell what the caller got.
	Complete  bool
	Cause     string // in plain words
	Stats     Stats
	Instances []string
	Kills     []Kill
}

// Found reports whether there is any line about the request.
func (r *Result) Found() bool { return len(r.Lines) > 0 }

// Result returns what the logs read so far tell.
func (c *Collector) Result() *Result {
	slices.SortStableFunc(c.requests, compareLines)
	slices.SortStableFunc(c.kept, compareLines)
	r := &Result{Request: c.request, Stats: c.stats, Instances: c.instanceNames(), Kills: c.kills}
	if len(c.requests) == 0 {
		return r
	}
	t := newTrace(c.requests, c.kept, c.kills)
	shown := t.relevantEvents()
	if extra := len(shown) - maxShownEvents; extra > 0 {
		r.OmittedEvents = extra
		shown = shown[extra:]
	}
	r.Lines = append(slices.Clone(c.requests), shown...)
	slices.SortStableFunc(r.Lines, compareLines)
	r.Complete = t.end != nil
	r.Cause = t.cause()
	return r
}

// trace is the lines of one request with the events around them.
type trace struct {
	lines  []Line
	events []Line
	kills  []Kill
	end    *Line // the last line that tells what the caller got
}

func newTrace(lines, events []Line, kills []Kill) *trace {
	t := &trace{lines: lines, events: events, kills: kills}
	for i := range lines {
		switch l := &lines[i]; {
		case l.ends():
			t.end = l
		case t.end != nil && t.end.Message == messageTruncated && l.Attempt > t.end.Attempt:
			t.end = nil // the answer broke off before it was forwarded
		}
	}
	return t
}

// relevantEvents returns the events about the servers and zones of the request, those that
// had ruled out other servers when it was refused, and those about the whole instance
// shortly before it.
func (t *trace) relevantEvents() []Line {
	subjects := map[string]bool{}
	var refused *Line // the last refusal for which servers were ruled out
	for i := range t.lines {
		l := &t.lines[i]
		subjects[l.Server], subjects[l.Zone] = true, true
		for _, c := range l.Candidates {
			subjects[c.Server], subjects[c.Zone] = true, true
		}
		if len(l.RuledOut) > 0 {
			refused = l
		}
	}
	delete(subjects, "")
	first, last := t.lines[0].Time, t.lines[len(t.lines)-1].Time
	ruledOut := t.ruledOutAt(refused)
	var relevant []Line
	for i := range t.events {
		e := &t.events[i]
		recent := !e.Time.Before(first.Add(-fleetLookBack)) && !e.Time.After(last.Add(lookAfter))
		switch {
		case e.SubjectKind == "" && subjects[e.Subject], recent && e.concernsInstance(), ruledOut[i]:
			relevant = append(relevant, *e)
		}
	}
	return relevant
}

// ruledOutAt returns the indices of the events by which servers and zones were unusable for
// the instance of a refusal, which may be nil. Servers that have been removed do not count.
func (t *trace) ruledOutAt(refused *Line) map[int]bool {
	latest := map[string]int{} // by subject
	for i := range t.events {
		e := &t.events[i]
		if refused == nil || e.Time.After(refused.Time) {
			break
		}
		if e.Instance != refused.Instance || e.SubjectKind != "" {
			continue
		}
		switch {
		case e.rulesOut():
			latest[e.Subject] = i
		case e.Message == messageUsedAgain, e.Message == messageEvacEnded, e.Message == messageRemoved, e.Message == messageRestarted:
			delete(latest, e.Subject)
		case e.Message == messageStarted:
			clear(latest)
		}
	}
	indices := map[int]bool{}
	for _, i := range latest {
		indices[i] = true
	}
	return indices
}

// concernsInstance reports whether an event concerns all requests of its instance.
func (l *Line) concernsInstance() bool {
	switch l.Message {
	case messageStarted, messageStopping, messageStopped, messageAborted, messageDropped, messageStoreLost, messageStoreBack, messagePaused:
		return true
	default:
		return l.Subject == subjectConfiguration
	}
}

// rulesOut reports whether an event makes a server or a zone unusable.
func (l *Line) rulesOut() bool {
	switch l.Message {
	case messageSuspected, messageEjected, messageNotUsed, messageLeaves, messageEvacuated:
		return true
	default:
		return false
	}
}
