package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	maxTerms = 1024 // servers whose terms are kept
	// termsRefresh is how much later a server must have repeated its terms for them to be
	// sent on.
	termsRefresh = 2 * time.Second
	// TermsLifetime is the time after which terms that no server repeats are forgotten.
	TermsLifetime = time.Minute
	// leavingLifetime is the same for a server that leaves, which gets no requests to which it
	// could repeat that. It covers the time that a server takes to leave.
	leavingLifetime = 10 * time.Minute
)

// ServerTerms is what a backend server last said of what it takes.
type ServerTerms struct {
	Server      model.BackendName
	Incarnation string
	Terms       Terms
	At          model.Instant // when the server said so
}

// Terms is what a backend server takes.
type Terms struct {
	Limited bool
	Limit   float64 // requests per second from all instances together, if Limited
	// Leaving reports that the server is going to end. This start of it does not take it back.
	Leaving bool
}

// Lifetime returns the time after which the terms are forgotten.
func (t Terms) Lifetime() time.Duration {
	if t.Leaving {
		return leavingLifetime
	}
	return TermsLifetime
}

// termsSet holds the terms of backend servers.
type termsSet struct {
	list       []termsEntry // sorted by incarnation
	generation uint64
}

type termsEntry struct {
	ServerTerms
	generation uint64
}

// SetTerms adds what backend servers said to this instance. What is new is sent to the peers
// with the next tick.
func (g *Group) SetTerms(list []ServerTerms) {
	for i := range list {
		if g.terms.add(&list[i]) {
			g.ScheduleMessages()
		}
	}
}

// add keeps the later of what is known and t, and reports whether that is worth sending on.
func (s *termsSet) add(t *ServerTerms) bool {
	at, found := slices.BinarySearchFunc(s.list, t.Incarnation, func(e termsEntry, incarnation string) int {
		return strings.Compare(e.Incarnation, incarnation)
	})
	if !found {
		if len(s.list) >= maxTerms {
			return false
		}
		s.generation++
		s.list = slices.Insert(s.list, at, termsEntry{ServerTerms: *t, generation: s.generation})
		return true
	}
	known := &s.list[at]
	t.Terms.Leaving = t.Terms.Leaving || known.Terms.Leaving
	if t.At <= known.At || t.Terms == known.Terms && t.At.Sub(known.At) < termsRefresh {
		return false
	}
	s.generation++
	*known = termsEntry{ServerTerms: *t, generation: s.generation}
	return true
}

// merge adds terms received from a peer and returns those that are news.
func (s *termsSet) merge(list []ServerTerms, now model.Instant) []ServerTerms {
	var news []ServerTerms
	for i := range list {
		if now.Sub(list[i].At) < list[i].Terms.Lifetime() && s.add(&list[i]) {
			news = append(news, list[i])
		}
	}
	return news
}

// since returns the terms that changed after a generation.
func (s *termsSet) since(generation uint64) []ServerTerms {
	if generation == s.generation {
		return nil
	}
	var list []ServerTerms
	for i := range s.list {
		if s.list[i].generation > generation {
			list = append(list, s.list[i].ServerTerms)
		}
	}
	return list
}

func (s *termsSet) expire(now model.Instant) {
	s.list = slices.DeleteFunc(s.list, func(e termsEntry) bool { return now.Sub(e.At) >= e.Terms.Lifetime() })
}
