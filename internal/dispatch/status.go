package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ServerStatus is a server that gets no requests, or few.
type ServerStatus struct {
	ID        model.BackendName
	Service   model.ServiceName
	Zone      model.ZoneName
	Condition string
	Detail    string // of what the server says it takes, empty if it says nothing
	InFlight  int    // requests of this instance
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
				ID: s.entry.ID, Service: s.entry.Service, Zone: s.entry.Zone, Condition: condition, Detail: d.describeTerms(now, s), InFlight: s.inFlight,
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
	case s.leaves():
		return "draining"
	case d.evacuations.active[s.entry.Zone]:
		return "evacuated"
	case s.suspected:
		return "suspected"
	case s.ejectedUntil != 0:
		return "ejected"
	case s.unlistedAt != 0:
		return "kept" // its entry is missing since the store was not reliable
	case now < s.terms.pausedUntil:
		return "wants nothing"
	case s.terms.Limited:
		return fmt.Sprintf("takes %g/s", s.terms.Limit)
	case s.cold(now):
		return "cold"
	default:
		return ""
	}
}

// describeTerms describes this instance's share of what a server takes.
func (d *Dispatcher) describeTerms(now model.Instant, s *server) string {
	if left := s.terms.pausedUntil.Sub(now); left > 0 {
		return fmt.Sprintf("for %s", left.Round(100*time.Millisecond))
	}
	if !s.terms.Limited {
		return ""
	}
	use := d.limitUse(now, s)
	age := now.Sub(s.terms.at).Round(100 * time.Millisecond)
	detail := fmt.Sprintf("named %s ago, %d of %d requests in %s used here", age, use.Used, use.Share, use.Span.Round(100*time.Millisecond))
	if _, ok := d.lentShares(now, s); ok {
		detail += fmt.Sprintf(": %d own, %d borrowed, %d lent", use.Owned, use.Borrowed, use.Lent)
	}
	return detail
}

// LimitedServers returns the number of servers that name a limit.
func (d *Dispatcher) LimitedServers() int {
	n := 0
	for s := range d.termed {
		if s.terms.Limited {
			n++
		}
	}
	return n
}

// SpreadRequests returns the requests so far by the number of servers over which their object was
// spread.
func (d *Dispatcher) SpreadRequests() [MaxSpread + 1]uint64 { return d.spreadRequests }

const (
	// sentHalving is how often the requests counted at servers are halved.
	sentHalving = time.Minute
	// minSentPerServer is the mean number of requests at a service's servers from which the
	// busiest of them is told: with fewer, chance makes one twice as busy as the mean.
	minSentPerServer = 20
)

// BusiestServerRatio returns this instance's requests at the busiest server of a service in its
// region, over the latest minutes, as a multiple of their mean; the largest of all services, 0
// while there are too few requests.
func (d *Dispatcher) BusiestServerRatio() float64 {
	ratio := 0.0
	for _, list := range d.byService {
		most, sum, servers := 0.0, 0.0, 0.0
		for _, s := range list {
			if s.region == d.settings.Region && s.standing == notExcluded {
				most, sum, servers = max(most, s.sent), sum+s.sent, servers+1
			}
		}
		if sum >= minSentPerServer*servers && sum > 0 {
			ratio = max(ratio, most*servers/sum)
		}
	}
	return ratio
}

// halveSent lets the counts of earlier requests fade.
func (d *Dispatcher) halveSent(now model.Instant) {
	if now.Sub(d.sentHalvedAt) < sentHalving {
		return
	}
	d.sentHalvedAt = now
	for _, s := range d.servers {
		s.sent /= 2
	}
}

// LentUnits returns the units of servers' limits that this instance may use although they are
// others', and those that others may use of its own.
func (d *Dispatcher) LentUnits(now model.Instant) (borrowed, lent int) {
	for s := range d.termed {
		if s.terms.Limited {
			use := d.limitUse(now, s)
			borrowed += use.Borrowed
			lent += use.Lent
		}
	}
	return borrowed, lent
}

// ShortServices returns the number of services that were short of room when a request to them was
// last decided on, within the last few seconds.
func (d *Dispatcher) ShortServices(now model.Instant) int {
	n := 0
	for _, s := range d.services {
		if s.contention.short && s.contention.refusals.Count(now) > 0 {
			n++
		}
	}
	return n
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
