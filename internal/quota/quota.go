// Package quota limits the requests of organisations over all instances. For each organisation
// with a limit one instance, its coordinator, leases parts of the limit to the instances that
// have requests of the organisation. A Coordinator grants leases and a Holder uses them. Both
// are state machines that are fed with events and times; they read no clock and do no I/O.
//
// The load pattern is 77 organisations with limits of 3 to 900 requests a second, whose callers
// are connected to 2 to 28 of 28 instances, or to up to 300 of 300, and use about 60 % of the
// limit. The demand of an instance changes within seconds, while instances are killed, frozen
// and partitioned.
//
// Every request takes a token of a bucket. All buckets of an organisation together never get
// more than its rate, and never hold more than its depth, so that the requests in any window
// are at most rate·window + depth:
//
//   - the sum of the rates and of the depths that may be in use never exceeds the limit. A lease
//     counts until its holder has reported that it uses a later one, or until it has expired by
//     the clock of the coordinator, which is later than by the holder's.
//   - a lease that grows or begins brings no tokens, except those that are taken from the bucket
//     that the coordinator keeps of the part that is not leased.
//
// In addition, each instance has a share of a reserve, which it also uses without a lease.
package quota

import (
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// LeaseTime is how long a lease may be used, from when its holder sent the report.
const LeaseTime = 3 * time.Second

// HandOverSpan is the time by which an instance that becomes the coordinator of an organisation
// must wait longer than the list of instances may be out of date, so that all leases of the
// previous one have expired.
const HandOverSpan = LeaseTime + 200*time.Millisecond

// DefaultWindow is the window in which limits apply if the platform names none.
const DefaultWindow = 5 * time.Second

// Settings say how far limits may be exceeded.
type Settings struct {
	Window time.Duration
	Over   float64 // fraction of the limit
	Slack  float64 // requests in a window, in addition
	// Instances is the number of instances that may hold leases. It need not be exact.
	Instances int
}

// RoundInstances returns the number of instances for Settings, rounded up to a power of two: a
// change of it changes rates and depths, which may let a window hold a little more than the limit.
func RoundInstances(n int) int {
	rounded := 1
	for rounded < n {
		rounded *= 2
	}
	return rounded
}

// Limit is the limit of an organisation in one version of the configuration.
type Limit struct {
	Version int64
	Rate    float64 // requests per second
	Burst   float64 // requests beyond Rate at once
}

const (
	// burstDeviations is the least part of the burst that is kept as depth of the buckets, in
	// standard deviations of the number of requests in a window at the limit.
	burstDeviations = 2
	// depthPerInstance is the same, in tokens for each instance: a bucket of less than one token
	// admits nothing.
	depthPerInstance = 3
)

// depthOfBurst returns the part of the burst that is kept as depth of the buckets.
func (s *Settings) depthOfBurst(l Limit) float64 {
	return min(l.Burst, max(burstDeviations*math.Sqrt(l.Rate*s.Window.Seconds()), depthPerInstance*float64(s.Instances)))
}

// rate returns the sum of the rates of all buckets of an organisation. A limit allows
// rate·window + burst requests in each window, also one after the other, so that the part of the
// burst that is not kept as depth adds to the rate.
func (s *Settings) rate(l Limit) float64 {
	return l.Rate + (l.Burst-s.depthOfBurst(l))/s.Window.Seconds()
}

// depth returns the sum of the depths of all buckets of an organisation. Half of the slack is
// used for it: with the burst alone, the buckets of an organisation of 3 requests a second at
// 12 instances could not hold one token each.
func (s *Settings) depth(l Limit) float64 { return max(1, s.depthOfBurst(l)+s.Slack/2) }

// Reserve returns the number of requests in a window that all instances together may admit
// without a lease: half of what the limit may be exceeded by, of which depth uses up to the
// other half. What depth leaves is for requests that are delayed between their admission and
// their run.
func (s *Settings) Reserve(l Limit) int {
	window := s.Window.Seconds()
	return int(0.5 * (s.Over*(l.Rate*window+l.Burst) + s.Slack))
}

// Lease is a part of an organisation's limit that one instance may use.
type Lease struct {
	// Grantor identifies the process that granted the lease, and Sequence the lease among
	// those of the process; it is 0 if there is no lease.
	Grantor  uint64
	Sequence uint64
	Rate     float64
	Depth    float64
	Limit    Limit // of which it is a part
}

// scaled returns the part of a lease that may be used if the limit is l.
func (s *Settings) scaled(lease Lease, l Limit) (rate, depth float64) {
	rate, depth = lease.Rate, lease.Depth
	if now, then := s.rate(l), s.rate(lease.Limit); now < then {
		rate *= now / then
	}
	if now, then := s.depth(l), s.depth(lease.Limit); now < then {
		depth *= now / then
	}
	return rate, depth
}

// Report is a message from an instance to a coordinator.
type Report struct {
	// Number is higher than in earlier reports of the process. The instance uses the reply
	// to its latest report only.
	Number      uint64
	From        model.InstanceID
	Incarnation uint64 // identifies the process
	Demands     []Demand
}

// Demand is what an instance needs of an organisation's limit.
type Demand struct {
	Organisation model.OrganisationName
	Limit        Limit   // as known to the instance
	PerSecond    float64 // requests that arrived lately, admitted or not
	Waiting      int     // requests that are held for an answer
	Wanted       float64 // tokens that the bucket lacks
	Returned     float64 // tokens that were in the bucket and will not be used
	Lease        Lease   // in use
	// GrantedByOther reports that the lease is of another instance than the receiver.
	GrantedByOther bool
}

// Reply answers a Report.
type Reply struct {
	Number uint64 // of the report
	// Next is the time until the next report.
	Next   time.Duration
	Grants []Grant
}

// Grant is a lease, which replaces the one that the instance holds.
type Grant struct {
	Organisation model.OrganisationName
	Lease        Lease
	Tokens       float64 // to put into the bucket
	// Saturated reports that the organisation's requests exceed its limit.
	Saturated bool
	// Renewed reports that the lease that the instance has reported is accounted for, so that
	// the tokens in its bucket may be used on.
	Renewed bool
	// MovedTo is set, and nothing else, if another instance has become the coordinator.
	MovedTo model.InstanceID
}

// Handover passes an organisation and what is leased of its limit on to another coordinator,
// which goes on at once instead of waiting until it may hold that the earlier one has learned
// of the change to the fleet. It is sent once at most.
type Handover struct {
	From         uint64 // incarnation of the sending process
	Number       uint64 // higher than in earlier ones of the process
	Organisation model.OrganisationName
	// Leaving is the sending instance if it is no longer listed, which the receiver may not know
	// yet.
	Leaving model.InstanceID
	Limit   Limit
	Free    float64 // tokens that are not leased
	Leases  []HandedLease
}

// HandedLease is a lease that may be in use.
type HandedLease struct {
	Lease
	Holder      model.InstanceID
	Incarnation uint64 // of the holder's process
	Left        time.Duration
}

// bucket is a token bucket. Its rate and depth may change at any time; a depth that grows
// brings no tokens.
type bucket struct {
	rate, depth, tokens float64
	at                  model.Instant // of tokens
}

func (b *bucket) advance(now model.Instant) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.depth, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// resize changes the rate and the depth from now on.
func (b *bucket) resize(now model.Instant, rate, depth float64) {
	b.advance(now)
	b.rate, b.depth = max(0, rate), max(0, depth)
	b.tokens = min(b.tokens, b.depth)
}

// add puts tokens into the bucket, as far as there is room.
func (b *bucket) add(tokens float64) { b.tokens = min(b.depth, b.tokens+tokens) }

// take takes a token if there is a whole one.
func (b *bucket) take(now model.Instant) bool {
	b.advance(now)
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// tokenTolerance is the part of a token that may be missing because of rounding.
const tokenTolerance = 1e-9

// averageSpans are the spans of the decaying means of which an average is made, in seconds.
var averageSpans = [...]float64{5, 1, 0.2}

// average estimates the rate of events: over a long span, unless the mean over a shorter one
// differs by more than by chance.
type average struct {
	means [len(averageSpans)]float64 // per second
	at    model.Instant
	first model.Instant // event
	last  model.Instant // event
}

func (a *average) advance(now model.Instant) {
	elapsed := now.Sub(a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	for i, span := range averageSpans {
		a.means[i] *= math.Exp(-elapsed / span)
	}
	a.at = now
}

func (a *average) add(now model.Instant) {
	a.advance(now)
	if a.first == 0 {
		a.first = now
	}
	a.last = now
	for i, span := range averageSpans {
		a.means[i] += 1 / span
	}
}

// mean returns a mean as if the events before the first one had been as frequent as those since,
// for at least minAverageTime.
func (a *average) mean(now model.Instant, i int) float64 {
	age := max(now.Sub(a.first).Seconds(), minAverageTime)
	return a.means[i] / (1 - math.Exp(-age/averageSpans[i]))
}

// minAverageTime is the time, in seconds, in which the events of a new average are taken to have
// arrived.
const minAverageTime = 1.0

// perSecond returns the estimate.
func (a *average) perSecond(now model.Instant) float64 {
	a.advance(now)
	estimate := a.mean(now, 0)
	for i, span := range averageSpans[1:] {
		mean := a.mean(now, i+1)
		deviation := math.Sqrt(mean / (2 * span))
		estimate = min(max(estimate, mean-2*deviation), mean+2*deviation+1/span)
	}
	if gap := now.Sub(a.last).Seconds(); gap > 0 {
		estimate = min(estimate, maxInGap/gap)
	}
	return estimate
}

// maxInGap is the number of events that are expected at most in a time without any: with more,
// such a time has a probability below 14 %.
const maxInGap = 2
