package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	maxSuspects      = 256
	suspectSlack     = time.Second // a later expiry than this is news
	maxSuspectLength = time.Hour   // longest time left that a peer is believed
)

// suspectSet holds the request fingerprints that broke backend servers.
type suspectSet struct {
	list       []suspectEntry // by fingerprint
	generation uint64
}

type suspectEntry struct {
	Suspect
	generation uint64
}

func (s *suspectSet) init() { s.list = nil }

// SetSuspects takes the fingerprints that this instance suspects; peers learn
// with the next tick what is new of them.
func (g *Group) SetSuspects(list []Suspect) {
	for i := range list {
		if g.suspects.add(&list[i]) {
			g.hurry()
		}
	}
}

// Hurry sends every peer a message with the next tick.
func (g *Group) Hurry() { g.hurry() }

// hurry sends every peer a message with the next tick.
func (g *Group) hurry() {
	for _, l := range g.linkOrder {
		l.due = true
	}
}

// add reports whether a suspect says more than what is known of its fingerprint.
func (s *suspectSet) add(suspect *Suspect) bool {
	at, found := slices.BinarySearchFunc(s.list, suspect.Fingerprint, func(e suspectEntry, fingerprint uint64) int {
		return cmp.Compare(e.Fingerprint, fingerprint)
	})
	if !found {
		if len(s.list) >= maxSuspects {
			return false
		}
		s.generation++
		entry := suspectEntry{Suspect: *suspect, generation: s.generation}
		entry.Servers = sortedNames(slices.Clone(suspect.Servers))
		s.list = slices.Insert(s.list, at, entry)
		return true
	}
	known := &s.list[at]
	servers := sortedNames(append(slices.Clone(known.Servers), suspect.Servers...))
	later := suspect.Expires.Sub(known.Expires) > suspectSlack
	if len(servers) == len(known.Servers) && !later {
		return false
	}
	s.generation++
	known.generation = s.generation
	known.Servers = servers
	known.Expires = max(known.Expires, suspect.Expires)
	return true
}

// merge takes a peer's suspects and returns those that were news.
func (s *suspectSet) merge(list []Suspect, now model.Instant) []Suspect {
	var news []Suspect
	for i := range list {
		suspect := list[i]
		suspect.Expires = min(suspect.Expires, now.Add(maxSuspectLength))
		if suspect.Expires > now && s.add(&suspect) {
			news = append(news, suspect)
		}
	}
	return news
}

// since lists the suspects that changed after a generation.
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
