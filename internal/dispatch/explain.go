package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

// exclusion is why a server may not take a request.
type exclusion uint8

const (
	notExcluded exclusion = iota
	excludedMisdirected
	excludedDraining
	excludedEvacuated
	excludedEjected
	excludedConnections
	excludedTried
	excludedLimited
	excludedHomeRegions
	excludedOtherRegion

	exclusionCount
)

var exclusionNames = [exclusionCount]string{
	excludedMisdirected: "another server at its address",
	excludedDraining:    "draining",
	excludedEvacuated:   "zone evacuated",
	excludedEjected:     "ejected",
	excludedConnections: "no share of its connections",
	excludedTried:       "tried already",
	excludedLimited:     "takes no more at the moment",
	excludedHomeRegions: "outside the home regions",
	excludedOtherRegion: "another region",
}

// String returns the name used in log lines.
func (x exclusion) String() string { return exclusionNames[x] }

// FullReason is why a candidate could not take a request at once.
type FullReason string

// The reasons.
const (
	FullQueue       FullReason = "queue full"
	FullConnections FullReason = "connection share used"
	FullCold        FullReason = "cold start limit"
	FullTerms       FullReason = "takes no more at the moment"
)

// Inputs are what a refusal was decided on.
type Inputs struct {
	// HostKnown reports whether any route has the request's host. It is set only if no
	// route matched.
	HostKnown bool
	Service   model.ServiceName
	// Attempts is the number of earlier attempts, of at most MaxAttempts; those that failed
	// without a connection count only in Attempts.
	Attempts    int
	MaxAttempts int
	Repeatable  bool
	// Standing is what the request might claim of a service that was short of room, nil if the
	// service was not.
	Standing *Standing
	// Choice is the failed choice of a server, nil if the refusal did not depend on one.
	Choice *FailedChoice
	// Quota is the use of the organisation's limit, if the request was over it.
	Quota *quota.Use
}

// FailedChoice describes a choice that found no server.
type FailedChoice struct {
	Servers  int            // of the service
	Excluded map[string]int // servers that may not take the request, by reason
	// MoveAllowed reports whether the request might have gone to another region.
	MoveAllowed bool
	Candidates  int // servers that were looked at and full
	// Fullest holds up to maxDescribedCandidates of the candidates, the shortest wait first.
	Fullest []FullCandidate
	// Limits holds up to maxDescribedCandidates of the servers that were passed over for their
	// limits, in the order of their identifiers.
	Limits []LimitUse
}

// LimitUse is this instance's use of its share of a server's limit.
type LimitUse struct {
	Server model.BackendName
	Limit  float64 // requests a second from all instances
	Used   int     // requests in Span
	Share  int     // of the limit in Span
	Span   time.Duration
	// Owned, Borrowed and Lent are units of one request in Span, of a limit that instances lend
	// one another.
	Owned, Borrowed, Lent int
}

// FullCandidate is a server that may take a request but had no room for it.
type FullCandidate struct {
	Server  model.BackendName
	Zone    model.ZoneName
	Reason  FullReason
	Load    float64       // estimated number of requests at the server
	LoadAge time.Duration // time since the server reported its load
	Slots   int
	Wait    time.Duration // estimated time until the server has room
}

// maxDescribedCandidates bounds the candidates in a FailedChoice. Requests about an object
// have two candidates.
const maxDescribedCandidates = 4

// describeFailedChoice describes the latest choice, which found no server for q.
func (d *Dispatcher) describeFailedChoice(now model.Instant, q *request) *FailedChoice {
	c := &FailedChoice{Servers: len(d.byService[q.service]), Excluded: map[string]int{}, MoveAllowed: d.mayMove(now, q.service), Candidates: len(d.candidates)}
	d.countExcluded(now, q, c.Excluded)
	for _, s := range d.candidates {
		c.Fullest = append(c.Fullest, d.describeFull(now, s, q))
	}
	slices.SortStableFunc(c.Fullest, func(a, b FullCandidate) int { return cmp.Compare(a.Wait, b.Wait) })
	c.Fullest = c.Fullest[:min(len(c.Fullest), maxDescribedCandidates)]
	c.Limits = d.describeLimits(now, q)
	return c
}

func (d *Dispatcher) describeLimits(now model.Instant, q *request) []LimitUse {
	var limited []*server
	for _, s := range d.heldBack(now, q) {
		if s.terms.Limited {
			limited = append(limited, s)
		}
	}
	slices.SortFunc(limited, compareByID)
	var list []LimitUse
	for _, s := range limited[:min(len(limited), maxDescribedCandidates)] {
		list = append(list, d.limitUse(now, s))
	}
	return list
}

// limitUse returns this instance's use of the limit that a server names.
func (d *Dispatcher) limitUse(now model.Instant, s *server) LimitUse {
	share, span := d.limitShare(now, s)
	use := LimitUse{Server: s.entry.ID, Limit: s.terms.Limit, Used: s.terms.sends.CountWithin(now, span), Share: share, Span: span}
	if p, ok := d.lentShares(now, s); ok {
		use.Owned, use.Borrowed = p.owned, s.terms.lending.borrowedUnits(now)
		use.Lent = p.owned - s.terms.lending.kept(now, p.owned)
	}
	return use
}

// countExcluded counts the servers of a request's service that may not take it, by reason, from
// the index of the service.
func (d *Dispatcher) countExcluded(now model.Instant, q *request, count map[string]int) {
	add := func(x exclusion, n int) {
		if n > 0 {
			count[x.String()] += n
		}
	}
	for _, r := range d.service(q.service).placement.regions {
		for x, n := range r.excluded {
			add(exclusion(x), n)
		}
		left := len(r.usable)
		for _, s := range q.tried {
			if s.region == r.region && d.servers[s.entry.ID] == s && d.standingOf(now, s) == notExcluded {
				add(excludedTried, 1)
				left--
			}
		}
		for _, s := range d.heldBack(now, q) {
			if s.region == r.region {
				add(excludedLimited, 1)
				left--
			}
		}
		if x := d.excludedRegion(r.region, q); x != notExcluded {
			add(x, left)
		}
	}
}

func (d *Dispatcher) describeFull(now model.Instant, s *server, q *request) FullCandidate {
	wait, reason := d.takes(now, s, q)
	return FullCandidate{
		Server:  s.entry.ID,
		Zone:    s.entry.Zone,
		Reason:  reason,
		Load:    s.load(now),
		LoadAge: s.loadAge(now),
		Slots:   s.entry.Slots,
		Wait:    wait,
	}
}

// loadAge returns the time since the server reported its load, or since it was first seen.
func (s *server) loadAge(now model.Instant) time.Duration {
	return now.Sub(max(s.otherLoadAt, s.listedAt))
}

// inputsOf returns what the refusal of a request is decided on.
func (d *Dispatcher) inputsOf(q *request) *Inputs {
	return &Inputs{
		Service:     q.service,
		Attempts:    q.sends + q.failedDials,
		MaxAttempts: q.route.Attempts,
		Repeatable:  q.route.Kind.Repeatable(),
		Standing:    q.standing,
		Choice:      q.failedChoice,
		Quota:       q.quotaUse,
	}
}

// adoptionReason describes why a configuration replaces old, which may be nil.
func adoptionReason(old, adopted *catalog.Configuration) string {
	if old == nil {
		return fmt.Sprintf("version %d is the first", adopted.Version)
	}
	return fmt.Sprintf("version %d is newer than version %d", adopted.Version, old.Version)
}

// warn records a decision that is made because something failed.
func (d *Dispatcher) warn(at model.Instant, subject, message, reason string) {
	d.add(&Record{At: at, Subject: subject, Message: message, Reason: reason, Warning: true})
}
