// Package runtime carries out what the reducer decides. It owns the clock, the
// goroutines and every connection, turns what happens into events, and hands
// them to the reducer one at a time.
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

// Options are what a Runtime is made of.
type Options struct {
	Reducer   reducer.Settings
	Links     link.Settings
	Ledger    ledger.Settings
	Upstream  upstream.Settings
	Table     platform.Table
	Objects   platform.Objects
	Instances platform.Instances
	// PlatformState reports the circuit breaker of the platform's calls; it may be
	// nil.
	PlatformState func() control.Platform
	// PlatformStats reports the platform's calls; it may be nil.
	PlatformStats func() []platform.ServiceStats
	Log           *logrus.Entry
	// Drain bounds how long shutdown waits for requests in flight.
	Drain time.Duration
}

// journalSizes are the numbers of decisions that an instance remembers.
var journalSizes = journal.Sizes{Fleet: 2048, Notable: 8192, Ordinary: 16384}

// Runtime runs one entry instance. Create it with New and start it with Run.
type Runtime struct {
	options  Options
	self     model.InstanceID
	clock    clock
	log      *logrus.Entry
	journal  *journal.Journal
	store    *confstore.Store
	ledger   *ledger.Ledger
	upstream *upstream.Client
	links    *link.Links
	stats    *slo.Recorder
	metrics  *metrics

	// mu serializes the reducer and guards the fields below it.
	mu       sync.Mutex
	reducer  *reducer.Reducer
	calls    map[model.RequestID]*call
	offers   map[model.RequestID]*offer
	breaker  string // state of the platform's circuit breaker last recorded
	refusals refusalSums
	drained  map[string]model.Instant // when each planned stop in force had drained here

	lastID  atomic.Uint64
	view    atomic.Pointer[view]
	lengths answerLengths

	ctx       context.Context // ends when the instance has left
	leave     context.CancelFunc
	tasks     sync.WaitGroup // background work that shutdown waits for
	polling   atomic.Bool
	fetching  atomic.Bool
	revision  atomic.Pointer[linkpb.Revision] // in force, as peers get it
	source    atomic.Pointer[config.Revision]
	adoptedAt atomic.Int64 // Instant at which source came into force
	unique    string       // prefix of request identifiers
}

// New returns a runtime that has not started.
func New(o Options) *Runtime {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runtime{
		options:  o,
		self:     o.Reducer.Self.ID,
		clock:    newClock(),
		log:      o.Log,
		journal:  journal.New(journalSizes),
		store:    confstore.New(o.Table),
		upstream: upstream.New(o.Upstream),
		calls:    make(map[model.RequestID]*call),
		offers:   make(map[model.RequestID]*offer),
		drained:  make(map[string]model.Instant),
		ctx:      ctx,
		leave:    cancel,
		unique:   uuid.NewString(),
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

// clock gives Instants that never go backwards.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() model.Instant {
	return model.InstantOf(c.start).Add(time.Since(c.start))
}

// post applies an event and carries out its effects. Effects never block.
func (r *Runtime) post(ev event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.reducer.Step(ev) {
		r.execute(f)
	}
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
		r.log.WithError(err).WithField("peer", from).Warn("membership message refused")
		return
	}
	r.post(&event.GossipReceived{At: now, From: from, Message: message})
}

// State implements link.Events; the operators' text is all that this instance knows.
func (r *Runtime) State(*linkpb.StateRequest) *linkpb.State { return nil }

// Revision implements link.Events.
func (r *Runtime) Revision() *linkpb.Revision { return r.revision.Load() }

// ServeLinks accepts links from peers until ctx ends.
func (r *Runtime) ServeLinks(ctx context.Context, listener net.Listener) error {
	return r.links.Serve(ctx, listener)
}

// Metrics returns the registry that the metrics endpoint serves.
func (r *Runtime) Metrics() prometheus.Gatherer { return r.metrics.registry }
