// Package runtime executes the effects returned by the reducer. It owns the
// clock, the goroutines and all connections, turns external input into events and
// passes them to the reducer one at a time. Entry instances of
// cmd/primrosenotch-entry use it; those of cmd/primrosenotch-edge use package edge.
package runtime

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/ledger"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
	"github.com/primrosenotch/primrosenotch/internal/slo"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// Options configures a Runtime.
type Options struct {
	Reducer   reducer.Settings
	Links     link.Settings
	Ledger    ledger.Settings
	Upstream  upstream.Settings
	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
	// PlatformState returns the state of the circuit breaker for platform calls. It
	// may be nil.
	PlatformState func() control.Platform
	// PlatformStats returns statistics of the platform calls. It may be nil.
	PlatformStats func() []platform.ServiceStats
	Log           *logrus.Entry
	// LogLosses counts log lines that are not in the log. It may be nil.
	LogLosses LogLosses
	// Drain is the longest time that shutdown waits for requests in flight.
	Drain time.Duration
}

// LogLosses counts lines that did not fit into the queue of the log, and lines that the output did
// not take.
type LogLosses interface {
	Dropped() int64
	Failed() int64
}

// journalSizes is the number of decisions of each kind that an instance keeps.
var journalSizes = journal.Sizes{Fleet: 2048, Notable: 8192, Ordinary: 16384}

// Runtime runs one entry instance. Create it with New and start it with Run.
type Runtime struct {
	options  Options
	self     model.InstanceID
	clock    clock
	log      *logrus.Entry
	journal  *journal.Journal
	follower *confstore.Follower
	ledger   *ledger.Ledger
	upstream *upstream.Client
	links    *link.Links
	stats    *slo.Recorder
	metrics  *metrics
	panics   *contain.Panics

	// mu serializes the reducer and guards the fields below it.
	mu           sync.Mutex
	reducer      *reducer.Reducer
	calls        map[model.RequestID]*call
	offers       map[model.RequestID]*offer
	breakerState string // last recorded state of the platform's circuit breaker
	refusals     refusalCounts
	drainedAt    map[string]model.Instant // by stop ID, when each active planned stop had drained on this instance

	lastID  atomic.Uint64
	view    atomic.Pointer[view]
	lengths answerLengths

	ctx             context.Context // cancelled when the instance has left the fleet
	leave           context.CancelFunc
	tasks           sync.WaitGroup // background tasks that shutdown waits for
	polling         atomic.Bool
	fetching        atomic.Bool
	encodedRevision atomic.Pointer[linkpb.Revision] // active configuration as sent to peers
	activeRevision  atomic.Pointer[config.Revision]
	adoptedAt       atomic.Int64 // Instant at which activeRevision was activated

	// configurationLost reports that the platform's table does not hold activeRevision.
	configurationLost atomic.Bool
	idPrefix          string // unique prefix of request and claim identifiers
}

// New returns a runtime that has not started.
func New(o Options) *Runtime {
	ctx, cancel := context.WithCancel(context.Background())
	panics := contain.New(o.Log, metricsNamespace+"_panics_total")
	o.Links.Panics, o.Upstream.Panics, o.Ledger.Panics = panics, panics, panics
	r := &Runtime{
		panics:    panics,
		options:   o,
		self:      o.Reducer.Self.ID,
		clock:     newClock(),
		log:       o.Log,
		journal:   journal.New(journalSizes),
		follower:  confstore.New(o.Table).Follower(),
		upstream:  upstream.New(o.Upstream),
		calls:     make(map[model.RequestID]*call),
		offers:    make(map[model.RequestID]*offer),
		drainedAt: make(map[string]model.Instant),
		ctx:       ctx,
		leave:     cancel,
		idPrefix:  uuid.NewString(),
	}
	o.Reducer.Self.Incarnation = uint64(r.clock.now())
	o.Reducer.Self.StartedAt = r.clock.now()
	r.reducer = reducer.New(o.Reducer)
	r.stats = slo.NewRecorder(time.Now())
	r.metrics = newMetrics(r)
	r.ledger = ledger.New(o.Table, o.Objects, o.Ledger, r.clock.now)
	hello := &linkpb.Hello{
		Instance:    string(r.self),
		Incarnation: o.Reducer.Self.Incarnation,
		Zone:        string(o.Reducer.Self.Zone),
	}
	r.links = link.New(hello, o.Links, r, r)
	r.view.Store(&view{})
	return r
}

// clock returns monotonic Instants.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() model.Instant {
	return model.InstantOf(c.start).Add(time.Since(c.start))
}

// post applies an event to the reducer and executes the resulting effects. Effects
// never block.
func (r *Runtime) post(ev event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(ev)
}

// step applies an event to the reducer and executes the resulting effects. If that panics, the
// request that the event concerns is refused. The caller holds r.mu.
func (r *Runtime) step(ev event.Event) {
	var effects []event.Effect
	if !r.panics.Do(contain.Decision, func() { effects = r.reducer.Step(ev) }) {
		r.panics.Do(contain.Decision, func() { r.reducer.Release(ev) })
		r.panics.Do(contain.Decision, func() { effects = r.reducer.Recover(ev) })
	}
	for _, f := range effects {
		r.panics.Do(contain.Effect, func() { r.execute(f) })
	}
}

// Panics returns what contains this instance's panics, for servers that use the runtime.
func (r *Runtime) Panics() *contain.Panics { return r.panics }

// locked calls f with r.mu held.
func (r *Runtime) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Runtime) nextID() model.RequestID { return model.RequestID(r.lastID.Add(1)) }

// LinkUp implements link.Events.
func (r *Runtime) LinkUp(peer model.InstanceID) {
	r.log.WithField("peer", peer).Debug("link up")
	r.post(&event.LinkUp{At: r.clock.now(), Peer: peer})
}

// LinkDown implements link.Events.
func (r *Runtime) LinkDown(peer model.InstanceID) {
	r.post(&event.LinkDown{At: r.clock.now(), Peer: peer})
}

// GossipReceived implements link.Events.
func (r *Runtime) GossipReceived(from model.InstanceID, g *linkpb.Gossip) {
	now := r.clock.now()
	message, err := membership.FromProto(now, g)
	if err != nil {
		r.log.WithError(err).WithField("peer", from).Warn("rejected invalid membership message")
		return
	}
	r.post(&event.GossipReceived{At: now, From: from, Message: message})
}

// State implements link.Events. It returns nil because only instances of package edge
// share state; this one shares nothing beyond the configuration.
func (r *Runtime) State(*linkpb.StateRequest) *linkpb.State { return nil }

// QuotaReport implements link.Events. It returns nil because only instances of package edge
// have organisations.
func (r *Runtime) QuotaReport(*linkpb.QuotaReport) *linkpb.QuotaReply { return nil }

// Revision implements link.Events.
func (r *Runtime) Revision() *linkpb.Revision { return r.encodedRevision.Load() }

// ServeLinks accepts links from peers until ctx ends.
func (r *Runtime) ServeLinks(ctx context.Context, listener net.Listener) error {
	return r.links.Serve(ctx, listener)
}

// AcceptFailures returns the counter of failed accepts by listener.
func (r *Runtime) AcceptFailures() *prometheus.CounterVec { return r.metrics.acceptFailures }

// Metrics returns the registry served by the metrics endpoint.
func (r *Runtime) Metrics() prometheus.Gatherer { return r.metrics.registry }
