package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

const (
	// demandSpan is the time over which requests for a server that names a limit are counted.
	demandSpan = 8 * time.Second
	// shareRefresh is the time between two statements about the share of a limit.
	shareRefresh = 2 * time.Second
	// returnAfter is the time without requests after which an instance returns what it has
	// borrowed.
	returnAfter = 4 * time.Second
	// lendFactor is how many times its own requests an instance must see elsewhere to lend a
	// unit. Each change of hands costs a pause of pacing.LentGap at least.
	lendFactor = 2
	// maxAskers is the number of instances with more requests for a server from which on an
	// instance asks for no units.
	maxAskers = 12
	// maxSharedLimits bounds the servers about whose limits an instance makes statements.
	maxSharedLimits = 64
)

// lending is what an instance knows of the requests for a server that names a low limit, and
// of the units of the limit that instances have lent one another.
//
// The load pattern is a limit of fewer units than there are instances, or requests for the
// server at few of them. pacing.Fleet says which instance owns a unit. The owner lends it to an
// instance that has more requests for the server, urgent ones first, for membership.LoanTime.
// The time runs from the borrower's own statement, by its own clock, so that it ends before the
// owner takes it to have ended, however late either message was.
type lending struct {
	urgent, all *pacing.Counter // requests that would have gone to the server, over demandSpan
	wantedAt    model.Instant   // of the last of them
	borrowedAt  model.Instant   // when this instance last held a unit of another one
	// urgentElsewhere reports that urgent requests at any instance lack units.
	urgentElsewhere bool
	peers           map[model.InstanceID]membership.LimitShare // latest statements
	lent            []loan
	borrowed        map[model.InstanceID][]model.Instant // by lender, until when each unit may be used
	stated          []model.Instant                      // this instance's statements, no older than LoanTime
	statement       membership.LimitShare                // the latest
	changed         bool                                 // a unit was lent since
}

// loan is a unit of this instance that another one may use.
type loan struct {
	membership.Loan
	until model.Instant
	// freeAt is when the unit may be used here or lent again.
	freeAt model.Instant
}

func newLending() *lending {
	return &lending{
		urgent: pacing.NewCounter(demandSpan), all: pacing.NewCounter(demandSpan),
		peers: map[model.InstanceID]membership.LimitShare{}, borrowed: map[model.InstanceID][]model.Instant{},
	}
}

// want counts a request that would go to the server, or does.
func (t *serverTerms) want(now model.Instant, q *request) {
	if !t.Limited || t.lending == nil {
		return
	}
	t.lending.all.Add(now, 1)
	if !q.lessUrgent {
		t.lending.urgent.Add(now, 1)
	}
	t.lending.wantedAt = now
}

// urgentWanted reports whether urgent requests for the server are known, here or elsewhere.
func (l *lending) urgentWanted(now model.Instant) bool {
	return l.urgentElsewhere || l.urgent.Count(now) > 0
}

// loanGap returns the time from the end of a loan until the unit is used by another instance. A
// unit that changes hands all the time is used once in a span at most on average.
func loanGap(span time.Duration) time.Duration {
	return max(pacing.LentGap, span-membership.LoanTime)
}

// kept returns how many of the units that this instance owns it may use itself.
func (l *lending) kept(now model.Instant, owned int) int {
	for i := range l.lent {
		if now < l.lent[i].freeAt {
			owned--
		}
	}
	return max(0, owned)
}

// borrowedUnits returns how many units of other instances this one may use.
func (l *lending) borrowedUnits(now model.Instant) int {
	n := 0
	for _, units := range l.borrowed {
		for _, until := range units {
			if now < until {
				n++
			}
		}
	}
	return n
}

// demand is a number of requests in demandSpan.
type demand struct{ urgent, all float64 }

// beyond returns what is left of a demand after a number of requests, urgent ones first.
func (w demand) beyond(served float64) demand {
	return demand{urgent: max(0, w.urgent-served), all: max(0, w.all-served)}
}

// exceeds reports whether a demand is large enough for a unit to be lent to it by an instance
// with another one. Urgent requests come first.
func (w demand) exceeds(own demand) bool {
	if w.urgent > 0 || own.urgent > 0 {
		return w.urgent > lendFactor*own.urgent
	}
	return w.all > lendFactor*own.all
}

func (l *lending) ownDemand(now model.Instant) demand {
	return demand{urgent: float64(l.urgent.Count(now)), all: float64(l.all.Count(now))}
}

// received notes the statement of another instance.
func (l *lending) received(now model.Instant, self model.InstanceID, span time.Duration, t *membership.LimitShare) {
	if known, ok := l.peers[t.Instance]; ok && t.Number <= known.Number && now.Sub(known.At) < membership.LoanTime {
		return
	}
	l.peers[t.Instance] = *t
	delete(l.borrowed, t.Instance)
	for _, loan := range t.Loans {
		if until := loan.Number.Add(membership.LoanTime); loan.Borrower == self && now < until && slices.Contains(l.stated, loan.Number) {
			l.borrowed[t.Instance] = append(l.borrowed[t.Instance], until)
		}
	}
	if t.All > 0 {
		return
	}
	for i := range l.lent {
		if lent := &l.lent[i]; lent.Borrower == t.Instance && t.Number > lent.Number && now < lent.until {
			lent.until = now
			lent.freeAt = min(lent.freeAt, now.Add(max(0, span-returnAfter)))
		}
	}
}

// expire forgets what no longer counts.
func (l *lending) expire(now model.Instant) {
	for id := range l.peers {
		if now.Sub(l.peers[id].At) >= membership.LoanTime {
			delete(l.peers, id)
		}
	}
	for id, units := range l.borrowed {
		if !slices.ContainsFunc(units, func(until model.Instant) bool { return now < until }) {
			delete(l.borrowed, id)
		}
	}
	l.lent = slices.DeleteFunc(l.lent, func(lent loan) bool { return now >= lent.freeAt })
	l.stated = slices.DeleteFunc(l.stated, func(at model.Instant) bool { return now.Sub(at) >= membership.LoanTime })
}

// limitShares is what a limit is divided into for this instance.
type limitShares struct {
	owned int // units that are this instance's own
	span  time.Duration
	self  model.InstanceID
	hash  uint64 // of the server
}

// served returns the number of requests in demandSpan that a number of units serves.
func (p *limitShares) served(units int) float64 {
	return float64(units) * demandSpan.Seconds() / p.span.Seconds()
}

// lentElsewhere returns how many units each instance has borrowed from lenders other than this
// one for which counts returns true.
func (l *lending) lentElsewhere(counts func(lender model.InstanceID) bool) map[model.InstanceID]int {
	units := map[model.InstanceID]int{}
	for lender, t := range l.peers {
		if !counts(lender) {
			continue
		}
		for _, loan := range t.Loans {
			units[loan.Borrower]++
		}
	}
	return units
}

// demandOf returns the requests of another instance beyond the units that it owns.
func demandOf(t *membership.LimitShare) demand {
	return demand{urgent: float64(t.Urgent), all: float64(t.All)}
}

// renew extends the loans that are still of use where they are.
func (l *lending) renew(now model.Instant, p *limitShares) {
	own := l.ownDemand(now).beyond(p.served(l.kept(now, p.owned)))
	// If several instances have lent more than is needed, those with later identifiers end
	// their loans.
	inUse := l.lentElsewhere(func(lender model.InstanceID) bool { return lender < p.self })
	for i := range l.lent {
		lent := &l.lent[i]
		if now >= lent.until || i >= p.owned {
			continue
		}
		t, ok := l.peers[lent.Borrower]
		if !ok {
			continue
		}
		left := demandOf(&t).beyond(p.served(inUse[lent.Borrower]))
		inUse[lent.Borrower]++
		urgentFirst := l.urgentElsewhere && left.urgent == 0
		if t.Number <= lent.Number || left.all == 0 || urgentFirst || own.exceeds(left) {
			continue
		}
		lent.Number = t.Number
		lent.until = now.Add(membership.LoanTime)
		lent.freeAt = lent.until.Add(loanGap(p.span))
		l.changed = true
	}
}

// mayLend reports whether no loan of an earlier process of this instance can be in use.
func (d *Dispatcher) mayLend(now model.Instant) bool {
	started := d.settings.StartedAt
	return started == 0 || now.Sub(started) >= membership.LoanTime+pacing.LentGap
}

// lend lends a unit that is not in use to an instance with more requests for the server. The
// choice is random in proportion to the requests, so that several instances with units to lend
// choose different ones.
func (l *lending) lend(now model.Instant, p *limitShares, sends *pacing.Window) {
	kept := l.kept(now, p.owned)
	if kept == 0 || sends.CountWithin(now, p.span) >= kept {
		return
	}
	own := l.ownDemand(now).beyond(p.served(kept - 1))
	inUse := l.lentElsewhere(func(model.InstanceID) bool { return true })
	for i := range l.lent {
		if now < l.lent[i].until {
			inUse[l.lent[i].Borrower]++
		}
	}
	var best *membership.LimitShare
	var bestRank float64
	var bestUrgent bool
	for id := range l.peers {
		t := l.peers[id]
		left := demandOf(&t).beyond(p.served(inUse[id]))
		if left.all <= 0 || !left.exceeds(own) {
			continue
		}
		weight, urgent := left.all, left.urgent > 0
		if urgent {
			weight = left.urgent
		}
		hash := float64(xxh3.HashStringSeed(string(p.self)+"\x00"+string(id), p.hash+uint64(len(l.lent)))>>11+1) / (1 << 53)
		rank := -math.Log(hash) / weight
		switch {
		case best == nil || urgent && !bestUrgent:
		case urgent == bestUrgent && (rank < bestRank || rank == bestRank && id < best.Instance):
		default:
			continue
		}
		best, bestRank, bestUrgent = &t, rank, urgent
	}
	if best == nil {
		return
	}
	until := now.Add(membership.LoanTime)
	l.lent = append(l.lent, loan{
		Loan: membership.Loan{Borrower: best.Instance, Number: best.Number}, until: until, freeAt: until.Add(loanGap(p.span)),
	})
	l.changed = true
}

// asks returns the requests for which this instance asks for units. If many others have more, it
// asks for none, which bounds the number of statements.
func (l *lending) asks(now model.Instant, p *limitShares) demand {
	wants := l.ownDemand(now).beyond(p.served(l.kept(now, p.owned)))
	if len(l.borrowed) > 0 {
		return wants
	}
	before := 0
	for id := range l.peers {
		t := l.peers[id]
		if demandOf(&t).ahead(wants) {
			before++
		}
	}
	if before >= maxAskers {
		return demand{}
	}
	return wants
}

// ahead reports whether a demand comes before another one.
func (w demand) ahead(other demand) bool {
	if w.urgent != other.urgent {
		return w.urgent > other.urgent
	}
	return w.all > other.all
}

// state makes a statement if there is one to make.
func (l *lending) state(now model.Instant, s *server, p *limitShares) {
	if l.borrowedUnits(now) > 0 {
		l.borrowedAt = now
	}
	wants := l.asks(now, p)
	unused := now.Sub(l.wantedAt) >= returnAfter
	returns := len(l.borrowed) > 0 && unused
	switch {
	case returns:
		wants = demand{}
	case !unused && now.Sub(l.borrowedAt) < returnAfter:
		wants.all = max(1, wants.all) // 0 would tell lenders that their units were not used lately
	}
	active := slices.ContainsFunc(l.lent, func(lent loan) bool { return now < lent.until })
	due := now.Sub(l.statement.Number) >= shareRefresh && (wants.all > 0 || active)
	if !due && !l.changed && !returns {
		return
	}
	if wants.all == 0 {
		clear(l.borrowed) // others take it for returned
		l.stated = l.stated[:0]
	} else {
		l.stated = append(l.stated, now)
	}
	l.changed = false
	l.statement = membership.LimitShare{
		Server: s.entry.ID, Incarnation: s.entry.Incarnation(), Instance: p.self, Number: now, At: now,
		Urgent: int(math.Ceil(wants.urgent)), All: int(math.Ceil(wants.all)),
	}
	for i := range l.lent {
		if now < l.lent[i].until {
			l.statement.Loans = append(l.statement.Loans, l.lent[i].Loan)
		}
	}
}

// limitedServers returns the servers that name a limit, sorted by identifier.
func (d *Dispatcher) limitedServers() []*server {
	var list []*server
	for s := range d.termed {
		if s.terms.Limited {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, compareByID)
	return list[:min(len(list), maxSharedLimits)]
}

// lendLimits decides which units of servers' limits this instance lends and asks for.
func (d *Dispatcher) lendLimits(now model.Instant) {
	for _, s := range d.limitedServers() {
		l := s.terms.lending
		l.expire(now)
		p, ok := d.lentShares(now, s)
		if !ok {
			continue
		}
		l.urgentElsewhere = false
		for id := range l.peers {
			l.urgentElsewhere = l.urgentElsewhere || l.peers[id].Urgent > 0
		}
		l.renew(now, &p)
		if d.mayLend(now) {
			l.lend(now, &p, &s.terms.sends)
		}
		l.state(now, s, &p)
	}
}

// lentShares returns what a server's limit is divided into, and false if it names none or one
// whose units are not lent.
func (d *Dispatcher) lentShares(now model.Instant, s *server) (limitShares, bool) {
	units, span, ok := pacing.LentUnits(s.terms.Limit, d.instances.Instances())
	if !ok || !s.terms.Limited || s.terms.lending == nil {
		return limitShares{}, false
	}
	bound := d.limitBound(now, s, units, span)
	bound.LentFor = membership.LoanTime
	return limitShares{owned: d.instances.Share(now, bound), span: span, self: d.settings.Self, hash: s.hash}, true
}

// limitSharesReceived applies statements of other instances.
func (d *Dispatcher) limitSharesReceived(ev *LimitSharesReceived) {
	for i := range ev.Shares {
		t := &ev.Shares[i]
		s := d.servers[t.Server]
		if s == nil || s.entry.Incarnation() != t.Incarnation || t.Instance == d.settings.Self || ev.At.Sub(t.At) >= membership.LoanTime {
			continue
		}
		if p, ok := d.lentShares(ev.At, s); ok {
			s.terms.lending.received(ev.At, d.settings.Self, p.span, t)
		}
	}
}

// LimitShares returns this instance's latest statements, for peers.
func (d *Dispatcher) LimitShares(now model.Instant) []membership.LimitShare {
	var list []membership.LimitShare
	for s := range d.termed {
		if l := s.terms.lending; l != nil && l.statement.Number != 0 && now.Sub(l.statement.At) < membership.LoanTime {
			list = append(list, l.statement)
		}
	}
	slices.SortFunc(list, func(a, b membership.LimitShare) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return list
}
