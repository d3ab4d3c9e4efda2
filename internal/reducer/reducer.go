// Package reducer implements the decision logic of an entry instance as a
// deterministic state machine. Step applies one event and returns the resulting
// effects. It reads no clock, does no I/O and starts no goroutine, so replaying a
// recorded sequence of events reproduces the decisions. The entry instances of
// cmd/primrosenotch-entry use it; those of cmd/primrosenotch-edge use package edge.
package reducer

import (
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/admission"
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/health"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/steering"
)

// Settings configures a Reducer.
type Settings struct {
	Self       membership.Record
	Membership membership.Settings
	Steering   steering.Settings
	Health     health.Settings
	Suspects   health.SuspectSettings
	// PollEvery is the period at which the instance with the lowest identifier of
	// each zone reads the platform. The others read it IdlePollFactor times less
	// often.
	PollEvery      time.Duration
	IdlePollFactor int
	// LookupTTL is the time for which callers may cache a lookup answer. A leaving
	// instance continues to serve for this time after it was removed from the
	// answers.
	LookupTTL time.Duration
}

// Reducer holds the complete decision state of one entry instance. It is not safe
// for concurrent use.
type Reducer struct {
	settings Settings
	self     model.InstanceID
	zone     model.ZoneName

	revision *config.Revision
	text     *config.Text
	index    *config.Index
	homes    map[model.CallerGroupName][]model.ZoneName

	group     *membership.Group
	planner   *steering.Planner
	retries   *steering.RetryBudget
	admission *admission.Controller
	health    *health.Tracker
	suspects  *health.SuspectTracker

	calls     map[model.RequestID]*call
	callPool  pool[call]
	offers    map[model.RequestID]*offer
	offerPool pool[offer]
	parked    []event.AttemptFinished // broken attempts that wait for a probe of the server, oldest first

	decisions admission.Decisions
	probes    []model.BackendName
	changes   []health.Change
	limits    []health.LimitChange
	out       effects

	rates      map[model.BackendName]*serverRate // of owned servers that named one
	owned      map[model.BackendName]bool
	ownedNames []model.BackendName                 // sorted
	addedAt    map[model.BackendName]model.Instant // when a configuration change added a server

	nextPoll            model.Instant
	leavingAt           model.Instant
	exiting             bool
	publishedGeneration uint64 // group generation of the published view
	viewStale           bool
}

// New returns a Reducer without a configuration.
func New(s Settings) *Reducer {
	return &Reducer{
		settings:  s,
		self:      s.Self.ID,
		zone:      s.Self.Zone,
		group:     membership.New(s.Self, s.Membership),
		planner:   steering.New(s.Self.Zone, s.Steering),
		retries:   steering.NewRetryBudget(),
		admission: admission.New(admission.Policy{}),
		health:    health.New(s.Health),
		suspects:  health.NewSuspectTracker(s.Suspects),
		calls:     make(map[model.RequestID]*call),
		offers:    make(map[model.RequestID]*offer),
		rates:     make(map[model.BackendName]*serverRate),
		owned:     make(map[model.BackendName]bool),
		addedAt:   make(map[model.BackendName]model.Instant),
	}
}

// Step applies one event and returns the resulting effects. They are valid until
// the next call.
func (r *Reducer) Step(ev event.Event) []event.Effect {
	r.out.reset()
	switch ev := ev.(type) {
	case *event.RequestArrived:
		r.requestArrived(ev)
	case *event.OfferReceived:
		r.offerReceived(ev)
	case *event.AttemptFinished:
		r.attemptFinished(ev)
	case *event.AttemptSlow:
		r.attemptSlow(ev)
	case *event.RequestFinished:
		r.requestFinished(ev)
	case *event.OwnerRefused:
		r.ownerRefused(ev)
	case *event.OwnerLost:
		r.ownerLost(ev)
	case *event.ClaimResolved:
		r.claimResolved(ev)
	case *event.OnceRequestCancelled:
		r.onceRequestCancelled(ev)
	case *event.CallerGone:
		r.callerGone(ev)
	case *event.OfferWithdrawn:
		r.offerWithdrawn(ev)
	default:
		r.stepControl(ev)
	}
	return r.out.list
}

// stepControl applies the events that do not concern a single request.
func (r *Reducer) stepControl(ev event.Event) {
	switch ev := ev.(type) {
	case *event.Tick:
		r.tick(ev)
	case *event.ConfigurationLoaded:
		r.configurationLoaded(ev)
	case *event.ServerReported:
		r.serverReported(ev)
	case *event.PlatformListed:
		r.platformListed(ev)
	case *event.LinkUp:
		r.applyGroup(ev.At, r.group.LinkUp(ev.At, ev.Peer))
	case *event.LinkDown:
		r.applyGroup(ev.At, r.group.LinkDown(ev.At, ev.Peer))
	case *event.GossipReceived:
		r.applyGroup(ev.At, r.group.Receive(ev.At, ev.From, ev.Message))
	case *event.ShutdownRequested:
		r.shutdownRequested(ev)
	default:
		panic(fmt.Sprintf("reducer: unknown event %T", ev))
	}
}
