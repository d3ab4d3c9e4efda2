package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// LoanTime is the time for which an instance may use a unit that it has borrowed, from
	// the statement on which the unit was lent.
	LoanTime = 6 * time.Second
	// maxLimitShares bounds the statements that are kept.
	maxLimitShares = 4096
)

// LimitShare is the statement of an instance about its share of a backend server's limit: how
// many requests it has for the server, and which of its units it has lent.
type LimitShare struct {
	Server      model.BackendName
	Incarnation string // of the server
	Instance    model.InstanceID
	// Number identifies the statement. It is the time of it by the instance's clock.
	Number model.Instant
	// Urgent and All are the requests that lately would have gone to the server and exceed the
	// units that the instance owns, the most urgent ones and all of them.
	Urgent, All int
	Loans       []Loan
	At          model.Instant // of the statement, by the clock of the receiver
}

// Loan is a unit of a limit that an instance has lent to another one.
type Loan struct {
	Borrower model.InstanceID
	Number   model.Instant // of the borrower's statement on which the unit was lent
}

// limitShareSet holds the latest statement of each instance about each server.
type limitShareSet struct {
	list       []limitShareEntry // sorted by incarnation and instance
	generation uint64
}

type limitShareEntry struct {
	LimitShare
	generation uint64
}

// SetLimitShares adds statements of this instance. New ones are sent to the peers with the next
// tick.
func (g *Group) SetLimitShares(list []LimitShare) {
	for i := range list {
		if g.limitShares.add(&list[i]) {
			g.ScheduleMessages()
		}
	}
}

// add keeps the later of what is known and t, and reports whether that is t.
func (s *limitShareSet) add(t *LimitShare) bool {
	at, found := slices.BinarySearchFunc(s.list, t, func(e limitShareEntry, t *LimitShare) int {
		return cmp.Or(strings.Compare(e.Incarnation, t.Incarnation), strings.Compare(string(e.Instance), string(t.Instance)))
	})
	if !found {
		if len(s.list) >= maxLimitShares {
			return false
		}
		s.generation++
		s.list = slices.Insert(s.list, at, limitShareEntry{LimitShare: *t, generation: s.generation})
		return true
	}
	if t.Number <= s.list[at].Number {
		return false
	}
	s.generation++
	s.list[at] = limitShareEntry{LimitShare: *t, generation: s.generation}
	return true
}

// merge adds statements received from a peer and returns those that are news.
func (s *limitShareSet) merge(list []LimitShare, now model.Instant) []LimitShare {
	var news []LimitShare
	for i := range list {
		if now.Sub(list[i].At) < LoanTime && s.add(&list[i]) {
			news = append(news, list[i])
		}
	}
	return news
}

// since returns the statements that were added after a generation.
func (s *limitShareSet) since(generation uint64) []LimitShare {
	if generation == s.generation {
		return nil
	}
	var list []LimitShare
	for i := range s.list {
		if s.list[i].generation > generation {
			list = append(list, s.list[i].LimitShare)
		}
	}
	return list
}

func (s *limitShareSet) expire(now model.Instant) {
	s.list = slices.DeleteFunc(s.list, func(e limitShareEntry) bool { return now.Sub(e.At) >= LoanTime })
}
