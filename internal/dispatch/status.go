package dispatch

import (
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ServerStatus is a server that gets no requests, or few.
type ServerStatus struct {
	ID        model.BackendName
	Service   model.ServiceName
	Zone      model.ZoneName
	Condition string
	InFlight  int // requests of this instance
}

// RetryUse counts the sends to a service in the window of its retry budget.
type RetryUse struct {
	Service             model.ServiceName
	FirstSends, Retries int
}

// RestrictedServers returns the servers that get no requests, or few, sorted by identifier.
func (d *Dispatcher) RestrictedServers(now model.Instant) []ServerStatus {
	var list []ServerStatus
	for _, s := range d.servers {
		if condition := d.condition(now, s); condition != "" {
			list = append(list, ServerStatus{
				ID: s.entry.ID, Service: s.entry.Service, Zone: s.entry.Zone, Condition: condition, InFlight: s.inFlight,
			})
		}
	}
	slices.SortFunc(list, func(a, b ServerStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// condition returns why a server gets no requests, or few, empty if it gets all.
func (d *Dispatcher) condition(now model.Instant, s *server) string {
	switch {
	case s.misdirected:
		return "misdirected"
	case s.entry.Draining:
		return "draining"
	case d.evacuations.active[s.entry.Zone]:
		return "evacuated"
	case s.suspected:
		return "suspected"
	case s.ejectedUntil != 0:
		return "ejected"
	case s.unlistedAt != 0:
		return "kept" // its entry is missing since the store was not reliable
	case s.cold(now):
		return "cold"
	default:
		return ""
	}
}

// RetryUses returns the use of the retry budgets, sorted by service.
func (d *Dispatcher) RetryUses(now model.Instant) []RetryUse {
	var list []RetryUse
	for name, s := range d.services {
		first, retries := s.budget.Used(now)
		list = append(list, RetryUse{Service: name, FirstSends: first, Retries: retries})
	}
	slices.SortFunc(list, func(a, b RetryUse) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return list
}
