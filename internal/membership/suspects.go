package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	minExpiryExtension = time.Second // an expiry later by no more than this is ignored unless the servers changed too
	maxSuspectLifetime = time.Hour   // longest time to expiry accepted from a peer
)

// suspectSet holds the fingerprints of requests that crashed backend servers.
type suspectSet struct {
	list       []suspectEntry // sorted by fingerprint
	generation uint64
}

type suspectEntry struct {
	Suspect
	generation uint64
}

func (s *suspectSet) init() { s.list = nil }

// SetSuspects adds the fingerprints that this instance suspects. Changes are sent to
// the peers with the next tick.
func (g *Group) SetSuspects(list []Suspect) {
	for i := range list {
		if g.suspects.add(&list[i]) {
			g.ScheduleMessages()
		}
	}
}

// ScheduleMessages schedules a message to every peer for the next tick.
func (g *Group) ScheduleMessages() {
	for _, l := range g.linkOrder {
		l.due = true
	}
}

// add merges a suspect into the set and reports whether it changed the set. At MaxSuspects it
// replaces the last one in the order of Suspect.Compare, or is ignored if it is the last.
func (s *suspectSet) add(suspect *Suspect) bool {
	at, found := s.find(suspect.Fingerprint)
	if !found {
		if len(s.list) >= MaxSuspects {
			if !s.evict(suspect) {
				return false
			}
			at, _ = s.find(suspect.Fingerprint)
		}
		s.generation++
		entry := suspectEntry{Suspect: Suspect{Fingerprint: suspect.Fingerprint}, generation: s.generation}
		entry.Combine(suspect)
		s.list = slices.Insert(s.list, at, entry)
		return true
	}
	known := &s.list[at]
	before := known.Expires
	if !known.Combine(suspect) && known.Expires.Sub(before) <= minExpiryExtension {
		known.Expires = before
		return false
	}
	s.generation++
	known.generation = s.generation
	return true
}

func (s *suspectSet) find(fingerprint uint64) (int, bool) {
	return slices.BinarySearchFunc(s.list, fingerprint, func(e suspectEntry, fingerprint uint64) int {
		return cmp.Compare(e.Fingerprint, fingerprint)
	})
}

// evict removes the last suspect unless the given one comes after it.
func (s *suspectSet) evict(suspect *Suspect) bool {
	last := 0
	for i := range s.list {
		if s.list[i].Compare(&s.list[last].Suspect) > 0 {
			last = i
		}
	}
	if suspect.Compare(&s.list[last].Suspect) > 0 {
		return false
	}
	s.list = slices.Delete(s.list, last, last+1)
	return true
}

// merge adds suspects received from a peer and returns those that changed the set.
func (s *suspectSet) merge(list []Suspect, now model.Instant) []Suspect {
	var changed []Suspect
	for i := range list {
		suspect := list[i]
		suspect.Expires = min(suspect.Expires, now.Add(maxSuspectLifetime))
		if suspect.Expires > now && s.add(&suspect) {
			changed = append(changed, suspect.clone())
		}
	}
	return changed
}

// since returns the suspects that changed after a generation.
func (s *suspectSet) since(generation uint64) []Suspect {
	if generation == s.generation {
		return nil
	}
	var list []Suspect
	for i := range s.list {
		if s.list[i].generation > generation {
			list = append(list, s.list[i].Suspect)
		}
	}
	return list
}

func (s *suspectSet) expire(now model.Instant) {
	s.list = slices.DeleteFunc(s.list, func(e suspectEntry) bool { return e.Expires <= now })
}
