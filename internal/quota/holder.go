package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

const (
	// HoldTime is how long a request without a token may be held for an answer of the
	// coordinator.
	HoldTime = 250 * time.Millisecond
	// maxHeld bounds the held requests of one organisation.
	maxHeld = 32
	// replyTimeout is the time after which a report counts as lost.
	replyTimeout = time.Second
	// startReplyTimeout is the same in the first LeaseTime of a process, when the coordinator may
	// just have started as well and waits for the reports of all instances.
	startReplyTimeout = 300 * time.Millisecond
	// askInterval is the shortest time between two reports to a coordinator.
	askInterval = 100 * time.Millisecond
	// avoidTime is the time after a report that was not answered, or not granted, in which no
	// request is held for an answer of the coordinator.
	avoidTime = time.Second
	// listTime is the time from the start of a process until it should have read a list of
	// instances.
	listTime = 2 * time.Second
	// tokensTimeout is the age of a report up to which the tokens in its reply are used.
	tokensTimeout = 300 * time.Millisecond
	// idleAfter is the time without requests after which an instance returns its lease.
	idleAfter = 4 * time.Second
	// lowTokens is the number of tokens below which more are requested, if the bucket holds
	// more than twice as many.
	lowTokens = 1.0
	// changedBy and changedPart are by how many requests per second, and by which fraction, the
	// demand must have changed for it to be reported at once.
	changedBy   = 2.0
	changedPart = 0.3
	// minRetryAfter is the shortest time after which a caller is told to come back.
	minRetryAfter = 50 * time.Millisecond
	// leaseWait is the time after which a lease is expected if there is none.
	leaseWait = 500 * time.Millisecond
	// leaseWaitStep is the time between callers that are told to come back for a lease.
	leaseWaitStep = 20 * time.Millisecond
	// restartedPart is the fraction of the reserve that a process uses in its first window, as
	// an earlier process of the instance may have used the rest, which usualPart leaves.
	restartedPart = 0.2
	usualPart     = 1 - restartedPart
)

// Fleet tells a Holder what it shares with other instances.
type Fleet interface {
	// Coordinator returns the coordinator of an organisation, empty if unknown.
	Coordinator(now model.Instant, name model.OrganisationName) model.InstanceID
	// ReserveShare returns how many of the units of a reserve this instance may use in a window.
	ReserveShare(now model.Instant, name model.OrganisationName, units int, window time.Duration) int
}

// Holder admits the requests of one instance by the leases that it holds. It is not safe for
// concurrent use.
type Holder struct {
	settings    Settings
	self        model.InstanceID
	incarnation uint64
	startedAt   model.Instant // 0 if long ago
	fleet       Fleet
	number      uint64
	uses        map[model.OrganisationName]*use
	exchanges   map[model.InstanceID]*exchange
	// announceTo holds the coordinators that have not heard of this process.
	announceTo map[model.InstanceID]bool
	announced  map[model.InstanceID]bool
}

// use is the use of one organisation's limit.
type use struct {
	limit       Limit
	demand      average
	arrivedAt   model.Instant
	coordinator model.InstanceID // that granted the lease
	lease       Lease
	until       model.Instant // of the lease
	bucket      bucket
	returned    float64 // tokens of the lease that the coordinator gets back
	saturated   bool
	waiting     int              // held requests
	askedAt     model.Instant    // of the latest report
	reported    float64          // demand in it
	deniedAt    model.Instant    // when a coordinator last granted nothing
	reserved    pacing.Window    // requests admitted on the reserve
	promised    model.Instant    // for which the last caller was told to come back
	movedTo     model.InstanceID // coordinator that the earlier one has named
	movedAt     model.Instant
}

// exchange is what an instance knows of its reports to one coordinator.
type exchange struct {
	number   uint64 // of the latest report
	sentAt   model.Instant
	pending  bool // not answered
	nextAt   model.Instant
	failedAt model.Instant
	included []model.OrganisationName // in the latest report
}

// NewHolder returns a Holder of a process that has just started.
func NewHolder(s Settings, self model.InstanceID, incarnation uint64, startedAt model.Instant, fleet Fleet) *Holder {
	return &Holder{
		settings: s, self: self, incarnation: incarnation, startedAt: startedAt, fleet: fleet,
		uses: map[model.OrganisationName]*use{}, exchanges: map[model.InstanceID]*exchange{},
		announceTo: map[model.InstanceID]bool{}, announced: map[model.InstanceID]bool{},
	}
}

// Configure replaces the settings.
func (h *Holder) Configure(now model.Instant, s Settings) {
	h.settings = s
	for _, u := range h.uses {
		u.reserved.Span = s.Window
		h.applyLimit(now, u)
	}
}

// Token is what a request was admitted with.
type Token uint8

// The kinds of tokens.
const (
	NoToken  Token = iota
	Leased         // returned if the request does not run
	Reserved       // counts for a window in any case
)

// Verdict is the decision about a request: it has a token, is held, or is refused.
type Verdict struct {
	Token      Token
	Held       bool
	RetryAfter time.Duration // if refused
}

// Admit decides about a request that has just arrived. For each request that is held, Retry
// must be called until it is not, or GiveUp.
func (h *Holder) Admit(now model.Instant, name model.OrganisationName, l Limit) Verdict {
	u := h.use(now, name, l)
	u.demand.add(now)
	u.arrivedAt = now
	if token := h.take(now, name, u); token != NoToken {
		return Verdict{Token: token}
	}
	if h.mayHold(now, name, u) {
		u.waiting++
		return Verdict{Held: true}
	}
	return Verdict{RetryAfter: h.retryAfter(now, name, u)}
}

// Retry decides again about a request that is held.
func (h *Holder) Retry(now model.Instant, name model.OrganisationName) Verdict {
	u := h.uses[name]
	if u == nil {
		return Verdict{RetryAfter: leaseWait}
	}
	token := h.take(now, name, u)
	if token == NoToken && h.mayWait(now, name, u) {
		return Verdict{Held: true}
	}
	u.waiting--
	if token == NoToken {
		return Verdict{RetryAfter: h.retryAfter(now, name, u)}
	}
	return Verdict{Token: token}
}

// GiveUp ends the wait of a request that is held.
func (h *Holder) GiveUp(now model.Instant, name model.OrganisationName) Verdict {
	u := h.uses[name]
	if u == nil {
		return Verdict{RetryAfter: leaseWait}
	}
	u.waiting--
	return Verdict{RetryAfter: h.retryAfter(now, name, u)}
}

// Return returns the token of a request that was refused without having run.
func (h *Holder) Return(name model.OrganisationName, token Token) {
	if u := h.uses[name]; u != nil && token == Leased {
		u.bucket.add(1)
	}
}

// LimitKnown applies the limit of an organisation from a newer configuration to the lease.
func (h *Holder) LimitKnown(now model.Instant, name model.OrganisationName, l Limit) {
	if h.uses[name] != nil {
		h.use(now, name, l)
	}
}

// MayAsk reports whether a report to the coordinator of an organisation may be due because a
// request is held.
func (h *Holder) MayAsk(now model.Instant, name model.OrganisationName) bool {
	x := h.exchanges[h.coordinator(now, name)]
	return x == nil || (!x.pending && now.Sub(x.sentAt) >= askInterval)
}

func (h *Holder) use(now model.Instant, name model.OrganisationName, l Limit) *use {
	u := h.uses[name]
	if u == nil {
		u = &use{limit: l, reserved: pacing.Window{Span: h.settings.Window}}
		h.uses[name] = u
	}
	if l.Version > u.limit.Version {
		u.limit = l
		h.applyLimit(now, u)
	}
	return u
}

// applyLimit adjusts the bucket to a limit that may be lower than when the lease was granted.
func (h *Holder) applyLimit(now model.Instant, u *use) {
	rate, depth := h.settings.scaled(u.lease, u.limit)
	u.bucket.resize(now, rate, depth)
}

func (u *use) leased(now model.Instant) bool { return u.lease.Sequence != 0 && now < u.until }

// take takes a token of the lease, or of the reserve unless all requests together exceed the
// limit.
func (h *Holder) take(now model.Instant, name model.OrganisationName, u *use) Token {
	if u.limit.Rate <= 0 {
		return NoToken
	}
	leased := u.leased(now)
	if leased && u.bucket.take(now) {
		return Leased
	}
	if (!leased || !u.saturated) && u.reserved.Count(now) < h.reserve(now, name, u) {
		u.reserved.Add(now)
		return Reserved
	}
	return NoToken
}

// reserve returns how many requests in a window this instance may admit without a lease.
func (h *Holder) reserve(now model.Instant, name model.OrganisationName, u *use) int {
	part := usualPart
	if h.startedAt != 0 && now.Sub(h.startedAt) < h.settings.Window {
		part = restartedPart
	}
	return h.fleet.ReserveShare(now, name, int(part*float64(h.settings.Reserve(u.limit))), h.settings.Window)
}

// mayHold reports whether a request without a token may wait for the coordinator's answer.
func (h *Holder) mayHold(now model.Instant, name model.OrganisationName, u *use) bool {
	return u.waiting < maxHeld && h.mayWait(now, name, u)
}

func (h *Holder) mayWait(now model.Instant, name model.OrganisationName, u *use) bool {
	if u.limit.Rate <= 0 || recent(now, u.deniedAt, avoidTime) || (u.leased(now) && u.saturated) {
		return false
	}
	id := h.coordinator(now, name)
	if id == "" {
		return recent(now, h.startedAt, listTime)
	}
	x := h.exchanges[id]
	return x == nil || !recent(now, x.failedAt, avoidTime)
}

func recent(now, at model.Instant, span time.Duration) bool { return at != 0 && now.Sub(at) < span }

// retryAfter returns when the caller of a refused request should come back: when there will be
// a token for it, after the callers that were told to come back before.
func (h *Holder) retryAfter(now model.Instant, name model.OrganisationName, u *use) time.Duration {
	var first model.Instant
	var step time.Duration
	switch {
	case u.limit.Rate <= 0:
		return h.settings.Window
	case u.leased(now) && u.bucket.rate > 0:
		u.bucket.advance(now)
		step = seconds(1 / u.bucket.rate)
		first = now.Add(seconds((1 - u.bucket.tokens) / u.bucket.rate))
	default:
		first, step = now.Add(leaseWait), leaseWaitStep
		x := h.exchanges[h.coordinator(now, name)]
		if reserve := h.reserve(now, name, u); x != nil && recent(now, x.failedAt, avoidTime) && reserve > 0 {
			first = now.Add(max(leaseWait, u.reserved.TimeUntilBelow(now, reserve)))
		}
	}
	// A caller that does not come back leaves its token to others: beyond the second window
	// the times start again.
	u.promised = max(first, u.promised.Add(step))
	if limit := 2 * h.settings.Window; u.promised.Sub(now) > limit {
		u.promised = max(first, now.Add(h.settings.Window))
		return min(u.promised.Sub(now), limit)
	}
	return max(minRetryAfter, u.promised.Sub(now))
}

// maxStep bounds the times that are computed from rates.
const maxStep = time.Minute

func seconds(s float64) time.Duration {
	return min(max(0, time.Duration(min(s, maxStep.Seconds())*float64(time.Second))), maxStep)
}

// Outgoing is a report and the coordinator to which it must be sent.
type Outgoing struct {
	To     model.InstanceID
	Report *Report
}

// Announce has a report sent to each coordinator that has not answered one of this process, also
// without requests: a coordinator that has just started grants leases once it has heard of all
// instances. It must be called in the first LeaseTime of a process only.
func (h *Holder) Announce(coordinators []model.InstanceID) {
	for _, id := range coordinators {
		if id != "" && !h.announced[id] {
			h.announceTo[id] = true
		}
	}
}

// Due returns the reports that must be sent now. Each must be followed by Answered or Failed.
func (h *Holder) Due(now model.Instant) []Outgoing {
	h.forgetIdle(now)
	byCoordinator := map[model.InstanceID][]model.OrganisationName{}
	for _, name := range slices.Sorted(maps.Keys(h.uses)) {
		if id := h.coordinator(now, name); id != "" && h.uses[name].limit.Rate > 0 {
			byCoordinator[id] = append(byCoordinator[id], name)
		}
	}
	if now.Sub(h.startedAt) >= LeaseTime {
		clear(h.announceTo)
	}
	for id := range h.announceTo {
		byCoordinator[id] = append(byCoordinator[id], nil...)
	}
	var due []Outgoing
	for _, id := range slices.Sorted(maps.Keys(byCoordinator)) {
		if names := byCoordinator[id]; h.isDue(now, h.exchange(id), names) {
			due = append(due, Outgoing{To: id, Report: h.report(now, id, names)})
		}
	}
	return due
}

func (h *Holder) exchange(id model.InstanceID) *exchange {
	x := h.exchanges[id]
	if x == nil {
		x = &exchange{}
		h.exchanges[id] = x
	}
	return x
}

// isDue reports whether to send a report: at the time that the coordinator named, or earlier
// if requests wait.
func (h *Holder) isDue(now model.Instant, x *exchange, names []model.OrganisationName) bool {
	if x.pending {
		if now.Sub(x.sentAt) < h.replyTimeout(now) {
			return false
		}
		x.pending, x.failedAt = false, now
		h.forgetMoved(x)
		if h.starting(now) {
			x.nextAt = now
		}
	}
	if x.number == 0 || now >= x.nextAt {
		return true
	}
	if recent(now, x.failedAt, avoidTime) {
		return false
	}
	return now.Sub(x.sentAt) >= askInterval && slices.ContainsFunc(names, func(name model.OrganisationName) bool {
		u := h.uses[name]
		return u.waiting > 0 || u.lacking(now) >= lowTokens || u.changed(now)
	})
}

// changed reports whether the demand has changed a lot since it was reported.
func (u *use) changed(now model.Instant) bool {
	demand := u.demand.perSecond(now)
	return math.Abs(demand-u.reported) > max(changedBy, changedPart*u.reported)
}

// starting reports whether a coordinator that has started at the same time may wait for reports.
func (h *Holder) starting(now model.Instant) bool { return now.Sub(h.startedAt) < LeaseTime }

func (h *Holder) replyTimeout(now model.Instant) time.Duration {
	if h.starting(now) {
		return startReplyTimeout
	}
	return replyTimeout
}

// lacking returns how many tokens a bucket that is nearly empty lacks to be half full.
func (u *use) lacking(now model.Instant) float64 {
	if u.saturated || !u.leased(now) {
		return 0
	}
	u.bucket.advance(now)
	if u.bucket.tokens >= lowTokens {
		return 0
	}
	return max(0, u.bucket.depth/2-u.bucket.tokens)
}

func (h *Holder) report(now model.Instant, to model.InstanceID, names []model.OrganisationName) *Report {
	h.number++
	x := h.exchanges[to]
	x.number, x.sentAt, x.pending, x.nextAt, x.included = h.number, now, true, now.Add(reportInterval), names
	r := &Report{Number: h.number, From: h.self, Incarnation: h.incarnation}
	for _, name := range names {
		u := h.uses[name]
		u.askedAt = now
		d := Demand{Organisation: name, Limit: u.limit, Waiting: u.waiting, Wanted: u.lacking(now)}
		idle := now.Sub(u.arrivedAt) >= idleAfter
		if !idle {
			d.PerSecond = u.demand.perSecond(now)
		}
		u.reported = d.PerSecond
		if u.leased(now) {
			d.Lease, d.GrantedByOther = u.lease, u.coordinator != to
			if idle {
				u.bucket.advance(now)
				u.returned += u.bucket.tokens
				u.bucket.tokens = 0
			}
			d.Returned, u.returned = u.returned, 0
		}
		r.Demands = append(r.Demands, d)
	}
	return r
}

// forgetIdle forgets the organisations without requests whose lease has been returned.
func (h *Holder) forgetIdle(now model.Instant) {
	maps.DeleteFunc(h.uses, func(_ model.OrganisationName, u *use) bool {
		returned := !u.leased(now) || (u.lease.Rate == 0 && u.askedAt >= u.until.Add(-LeaseTime) && now.Sub(u.askedAt) > 0)
		return u.waiting == 0 && now.Sub(u.arrivedAt) >= idleAfter && returned && u.reserved.Count(now) == 0
	})
	maps.DeleteFunc(h.exchanges, func(_ model.InstanceID, x *exchange) bool {
		return !x.pending && now.Sub(x.sentAt) > 2*LeaseTime
	})
}

// Answered applies the reply to a report. It returns the organisations for which requests are
// held, and for which Retry must be called.
func (h *Holder) Answered(now model.Instant, from model.InstanceID, r *Reply) []model.OrganisationName {
	x := h.exchanges[from]
	if x == nil || !x.pending || x.number != r.Number {
		return nil
	}
	x.pending, x.failedAt = false, 0
	delete(h.announceTo, from)
	h.announced[from] = true
	if now.Sub(x.sentAt) >= LeaseTime {
		return nil
	}
	x.nextAt = x.sentAt.Add(max(askInterval, r.Next))
	missing := map[model.OrganisationName]bool{}
	for _, name := range x.included {
		missing[name] = true
	}
	for i := range r.Grants {
		delete(missing, r.Grants[i].Organisation)
		h.granted(now, from, x, &r.Grants[i])
	}
	var waiting []model.OrganisationName
	for _, name := range x.included {
		u := h.uses[name]
		if u == nil {
			continue
		}
		if missing[name] {
			u.deniedAt, u.movedTo = now, ""
		}
		if u.waiting > 0 {
			waiting = append(waiting, name)
		}
	}
	return waiting
}

func (h *Holder) granted(now model.Instant, from model.InstanceID, x *exchange, g *Grant) {
	u := h.uses[g.Organisation]
	if u == nil {
		return
	}
	if g.MovedTo != "" {
		u.movedTo, u.movedAt = g.MovedTo, now
		return
	}
	if !u.leased(now) || !g.Renewed {
		u.bucket, u.returned = bucket{at: now}, 0
	}
	u.coordinator, u.lease, u.until, u.saturated, u.deniedAt = from, g.Lease, x.sentAt.Add(LeaseTime), g.Saturated, 0
	if g.Lease.Limit.Version > u.limit.Version {
		u.limit = g.Lease.Limit
	}
	u.bucket.advance(now)
	u.returned += u.bucket.tokens
	h.applyLimit(now, u)
	u.returned -= u.bucket.tokens
	if now.Sub(x.sentAt) < tokensTimeout {
		// Beyond the depth they are there for the requests that are held, until time advances.
		room := max(0, u.bucket.depth-u.bucket.tokens) + float64(u.waiting)
		u.bucket.tokens += min(g.Tokens, room)
		u.returned += max(0, g.Tokens-room)
	}
}

// Failed records that a report could not be delivered.
func (h *Holder) Failed(now model.Instant, to model.InstanceID, number uint64) {
	if x := h.exchanges[to]; x != nil && x.pending && x.number == number {
		x.pending, x.failedAt = false, now
		h.forgetMoved(x)
	}
}

// forgetMoved forgets that the coordinator to which a report was lost is one that an earlier
// one has named.
func (h *Holder) forgetMoved(x *exchange) {
	for _, name := range x.included {
		if u := h.uses[name]; u != nil {
			u.movedTo = ""
		}
	}
}

// coordinator returns the coordinator of an organisation: the one that the earlier one has
// named lately, or else the one by the list of instances.
func (h *Holder) coordinator(now model.Instant, name model.OrganisationName) model.InstanceID {
	if u := h.uses[name]; u != nil && u.movedTo != "" && now.Sub(u.movedAt) < movedTime {
		return u.movedTo
	}
	return h.fleet.Coordinator(now, name)
}

// Resumed drops all leases after a pause that the clock does not show.
func (h *Holder) Resumed() {
	for _, u := range h.uses {
		u.lease = Lease{}
	}
	for _, x := range h.exchanges {
		x.pending = false
	}
}

// Use describes the use of an organisation's limit at this instance.
type Use struct {
	Organisation model.OrganisationName
	Coordinator  model.InstanceID
	Limit        Limit
	Demand       float64 // requests per second
	Rate, Depth  float64 // of the lease, 0 without one
	Tokens       float64
	Reserved     int // requests in the window admitted on the reserve
	Reserve      int
	Saturated    bool
}

// Use returns the use of an organisation's limit, and false if it has had no requests lately.
func (h *Holder) Use(now model.Instant, name model.OrganisationName) (Use, bool) {
	u := h.uses[name]
	if u == nil {
		return Use{}, false
	}
	d := Use{
		Organisation: name, Limit: u.limit, Coordinator: h.coordinator(now, name), Demand: u.demand.perSecond(now),
		Reserved: u.reserved.Count(now), Reserve: h.reserve(now, name, u), Saturated: u.saturated,
	}
	if u.leased(now) {
		u.bucket.advance(now)
		d.Rate, d.Depth, d.Tokens = u.bucket.rate, u.bucket.depth, u.bucket.tokens
	}
	return d, true
}

// Counts returns the number of organisations with requests lately, and of leases.
func (h *Holder) Counts(now model.Instant) (used, leased int) {
	for _, u := range h.uses {
		if u.leased(now) {
			leased++
		}
	}
	return len(h.uses), leased
}
