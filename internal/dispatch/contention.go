package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/fairshare"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// Standing is what a request may claim of a service that is short of room.
type Standing struct {
	Organisation model.OrganisationName // empty if unknown
	// Urgency is 0 for the most urgent requests to the service, and one more for each step of
	// priority, up to maxUrgency.
	Urgency int
	// Use is what the organisation used of the service through this instance.
	Use fairshare.Use
	// OverShare reports that the organisation was admitted more than it is due.
	OverShare bool
	// ComesBackEarly reports that the organisation is about to use up its share and that the same
	// request was refused lately and told to come back later than now.
	ComesBackEarly bool
	// MaxWait is the longest expected wait in a server's queue for which the request is sent.
	MaxWait time.Duration
	// Arrived and Refused are the requests to the service in the last fairshare.Window, and
	// those of them that found no room.
	Arrived, Refused int
}

// contention is what an instance knows of the recent demand for one service.
//
// The load patterns are a service whose demand exceeds its capacity for seconds, because one
// organisation sends several times its usual load or because servers were lost, and callers
// that repeat refused requests at once.
type contention struct {
	shares   *fairshare.Shares[model.OrganisationName]
	arrivals *pacing.Counter
	refusals *pacing.Counter
	returns  *fairshare.Returns[repetition]
	short    bool // as last recorded
	// overShare holds the organisations recorded as over their share in this shortage.
	overShare map[model.OrganisationName]bool
}

func newContention() contention {
	return contention{
		shares:    fairshare.New[model.OrganisationName](),
		arrivals:  pacing.NewCounter(fairshare.Window),
		refusals:  pacing.NewCounter(fairshare.Window),
		returns:   fairshare.NewReturns[repetition](),
		overShare: map[model.OrganisationName]bool{},
	}
}

// repetition is what repetitions of a request have in common.
type repetition struct {
	organisation model.OrganisationName
	fingerprint  uint64
}

func (q *request) repetition() repetition {
	return repetition{organisation: nameOf(q.organisation), fingerprint: q.fingerprint}
}

const (
	// shortageShare is the fraction of a service's requests that must be refused for want of
	// room before requests are told apart. With a lower one, the shorter bounds on the queues
	// could keep a shortage going that their usual bound would end.
	shortageShare = 0.02
	// maxUrgency bounds the steps of priority that are told apart.
	maxUrgency = 3
	// urgencyWaitFactor multiplies the bound on the wait in a queue for each step of priority, so
	// that a queue that fills up takes the most urgent requests last.
	urgencyWaitFactor = 0.7
	// urgencyWeightFactor multiplies the weight of an organisation for each step of its
	// priority: more urgent organisations come first, but others are not starved.
	urgencyWeightFactor = 0.25
	// The bound on the wait shrinks while an organisation's use rises from withinShare times what it
	// is due to what it is due, and on to 0 at farOverShare times. It begins to shrink early, so
	// that an organisation that uses up its share does not fill the queues in which the others
	// wait: in trials of one organisation at eight times its usual load, 63 of 100 requests of
	// the others were in time, and 48 with bounds that shrank from 0.9 times on.
	withinShare  = 0.5
	farOverShare = 1.5
	// shareUsedWaitFactor multiplies the bound for organisations that got what they are due. With
	// 0.2, servers ran out of work between two requests: in trials 2 to 9 of 100 answers fewer.
	shareUsedWaitFactor = 0.35
)

// distinguishes reports whether requests are told apart while a service is short of room.
func (d *Dispatcher) distinguishes() bool {
	return d.settings.RouteUrgency || d.checksKeys
}

// countArrival counts a request that is to be sent for the first time. Those over their
// organisation's limit never ask for the service.
func (d *Dispatcher) countArrival(now model.Instant, q *request) {
	if q.arrivalCounted || !d.distinguishes() {
		return
	}
	q.arrivalCounted = true
	c := &d.service(q.service).contention
	if q.fingerprint != 0 {
		q.early = c.returns.TimeLeft(now, q.repetition())
	}
	if q.early > 0 {
		return
	}
	c.arrivals.Add(now, 1)
	c.shares.Arrived(now, nameOf(q.organisation), d.weight(q))
}

// countAdmission counts the first send of a request.
func (d *Dispatcher) countAdmission(now model.Instant, q *request) {
	if !q.admitted && d.distinguishes() {
		q.admitted = true
		d.service(q.service).contention.shares.Admitted(now, nameOf(q.organisation), 1)
	}
}

// countNotRun takes back the admission of a request whose only attempt did not run, and counts a
// refusal by a server that was full.
func (d *Dispatcher) countNotRun(ev *AttemptEnded, q *request, s *server) {
	shed := ev.Result == event.AttemptShed
	if !d.distinguishes() || !shed && ev.Result != event.AttemptNotSent {
		return
	}
	c := &d.service(q.service).contention
	if shed && ev.Report.HasLoad && ev.Report.Running >= s.entry.Slots {
		c.refusals.Add(ev.At, 1)
	}
	if q.admitted && len(q.running) == 0 && !q.mayHaveRun {
		q.admitted = false
		c.shares.Admitted(ev.At, nameOf(q.organisation), -1)
	}
}

// countRefusal counts a request for which no server had room.
func (d *Dispatcher) countRefusal(now model.Instant, q *request, cause model.Cause) {
	if cause == model.CauseQueueFull && q.early == 0 && d.distinguishes() {
		d.service(q.service).contention.refusals.Add(now, 1)
	}
}

// weight returns the weight of a request's organisation among those that share a service: its
// limit, or the mean limit if it has none, less for each step of its priority.
func (d *Dispatcher) weight(q *request) float64 {
	weight := d.meanRate
	o := q.organisation
	if o != nil && o.HasLimit {
		weight = max(o.Rate, minWeight)
	}
	return weight * math.Pow(urgencyWeightFactor, float64(d.urgency(q)))
}

// minWeight is the weight of an organisation that is limited to nothing.
const minWeight = 1e-3

// urgency returns the steps of priority between a request and the most urgent ones to its service.
func (d *Dispatcher) urgency(q *request) int {
	return min(maxUrgency, max(0, q.priority()-d.service(q.service).mostUrgent))
}

// configureShares takes over what the weights of organisations depend on.
func (d *Dispatcher) configureShares() {
	var sum float64
	var limited int
	for i := range d.config.Organisations {
		o := &d.config.Organisations[i]
		if o.HasLimit {
			sum += o.Rate
			limited++
		}
	}
	for _, s := range d.services {
		s.contention.shares.Retain(func(name model.OrganisationName) bool {
			return name == "" || d.config.Organisation(name) != nil
		})
	}
	d.meanRate = 1
	if sum > 0 {
		d.meanRate = sum / float64(limited)
	}
}

// isShort reports whether the service was lately short of room.
func (c *contention) isShort(now model.Instant) bool {
	refused := c.refusals.Count(now)
	return refused > 0 && float64(refused) >= shortageShare*float64(c.arrivals.Count(now))
}

// noteShortage records the begin and the end of a shortage.
func (d *Dispatcher) noteShortage(now model.Instant, name model.ServiceName, c *contention) {
	short := c.isShort(now)
	if short == c.short {
		return
	}
	c.short = short
	clear(c.overShare)
	message := "has room again"
	if short {
		message = "is short of room"
	}
	d.record(now, string(name), message, fmt.Sprintf("refused %d of %d requests within %s", c.refusals.Count(now), c.arrivals.Count(now), fairshare.Window))
}

// updateStanding determines what a request may claim, and records an organisation that is over
// its share.
func (d *Dispatcher) updateStanding(now model.Instant, q *request) {
	q.standing = nil
	if !d.distinguishes() {
		return
	}
	c := &d.service(q.service).contention
	d.noteShortage(now, q.service, c)
	q.standing = d.claimOf(now, q, c)
	if st := q.standing; st != nil && st.OverShare && !c.overShare[st.Organisation] {
		c.overShare[st.Organisation] = true
		d.record(now, string(st.Organisation), "is over its share of "+string(q.service),
			fmt.Sprintf("admitted %d requests within %s, %.1f are due", st.Use.Admitted, fairshare.Window, st.Use.Due))
	}
}

// claimOf returns what a request may claim, nil while its service is not short of room and
// requests are not told apart.
func (d *Dispatcher) claimOf(now model.Instant, q *request, c *contention) *Standing {
	if !d.distinguishes() || !c.isShort(now) {
		return nil
	}
	st := &Standing{
		Organisation: nameOf(q.organisation),
		Urgency:      d.urgency(q),
		Arrived:      c.arrivals.Count(now),
		Refused:      c.refusals.Count(now),
	}
	factor := queueWaitFactor * math.Pow(urgencyWaitFactor, float64(st.Urgency))
	if d.checksKeys {
		if q.hypothetical {
			st.Use = c.shares.Peek(now, st.Organisation)
		} else {
			st.Use = c.shares.Use(now, st.Organisation)
		}
		ratio := float64(st.Use.Admitted) / max(1, st.Use.Due)
		st.OverShare = ratio > 1
		st.ComesBackEarly = ratio > withinShare && q.early > 0
		factor *= shareWaitFactor(ratio)
	}
	st.MaxWait = scale(q.objective, factor)
	return st
}

// shareWaitFactor returns the factor of the bound on the wait for an organisation by its use of
// the service, as a multiple of what it is due.
func shareWaitFactor(ratio float64) float64 {
	if ratio <= 1 {
		return 1 - (1-shareUsedWaitFactor)*max(0, ratio-withinShare)/(1-withinShare)
	}
	return shareUsedWaitFactor * max(0, farOverShare-ratio) / (farOverShare - 1)
}

// maxQueueWait returns the longest expected wait in a server's queue for which a request is sent.
func (q *request) maxQueueWait() time.Duration {
	if q.standing != nil {
		return q.standing.MaxWait
	}
	return scale(q.objective, queueWaitFactor)
}

// staleLoadAge is the age from which on an estimate of other instances' requests is no sole reason
// to refuse an urgent request of an organisation within its share.
const staleLoadAge = time.Second

// loadAgainst returns the estimated number of requests at a server that count against a
// request. While a request of this instance is at the server, its answer will bring a new
// estimate, and the old one counts: 28 instances that all send beyond it fill the queues.
func (d *Dispatcher) loadAgainst(now model.Instant, s *server, q *request) float64 {
	st := q.standing
	if st == nil || st.Urgency > 0 || st.OverShare || s.inFlight > 0 || s.loadAge(now) <= staleLoadAge {
		return s.load(now)
	}
	return 0
}

// roomTime returns when the caller of a request that found no room should come back.
func (d *Dispatcher) roomTime(now model.Instant, q *request, wait time.Duration) time.Duration {
	if q.standing == nil {
		return wait
	}
	c := &d.service(q.service).contention
	wait = c.shares.ReturnTime(now, nameOf(q.organisation), wait)
	if q.fingerprint != 0 { // 0 if unknown
		c.returns.Told(now, q.repetition(), wait)
	}
	return wait
}
