package edge

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/descriptors"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/gracetime"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/listener"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// Edge runs one entry instance.
type Edge struct {
	options      Options
	bounds       atomic.Pointer[Bounds]
	published    atomic.Pointer[lookupResults]
	log          *logrus.Entry
	requests     *requestLog
	invalid      *invalidInputs
	metrics      *metrics
	panics       *contain.Panics
	clock        clock
	upstream     *upstream.Client
	links        *link.Links
	callerServer *ingress.Server

	// mu guards dispatcher, lastID and calls.
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	lastID     model.RequestID
	calls      map[model.RequestID]*call

	// fleetMu guards the state of other instances and of the store, from group to startup.
	fleetMu       sync.Mutex
	group         *membership.Group
	listed        map[model.InstanceID]listedInstance
	missingSince  map[model.InstanceID]model.Instant // when listed instances stopped being usable
	sweptAt       model.Instant                      // when missingSince was last checked
	registeredAt  model.Instant                      // when this instance's entry was last written, 0 if never
	replica       *follow.Replica
	echoes        *follow.Echoes
	serverEntries map[model.BackendName]serverEntry // latest entries, from the store or from peers
	readFailed    map[string]bool                   // tables whose last read failed
	loaded        map[string]bool                   // tables received from the store or from a peer
	configuration newestConfiguration
	listRead      bool // a list of instances has been read
	// departuresKnown reports that this instance has been running without a restore of the
	// store, or has asked a peer for what it missed.
	departuresKnown bool
	startup         *startup
	applyMu         sync.Mutex // serializes batches from the store and from peers

	pauses           pauseWatch
	stopping         atomic.Bool // no longer returned by lookups
	refusing         atomic.Bool // refuses new requests
	stopWindow       atomic.Pointer[stopWindow]
	loadedTables     atomic.Int32 // tables in loaded, without the instances table
	configured       atomic.Bool  // a configuration is in force
	fetching         atomic.Bool
	copyTurns        chan struct{} // holds an element while a peer has its turn to send a copy
	registerRequests chan struct{} // requests to write this instance's entry again

	ctx       context.Context // canceled when the instance has left
	cancelCtx context.CancelFunc
	tasks     sync.WaitGroup
}

// listedInstance is an instance's entry in the store.
type listedInstance struct {
	entry   catalog.Instance
	version int64
	lostAt  model.Instant // when a restore of the store lost the entry, 0 if it did not
}

// clock returns Instants that never go backwards.
type clock struct{ start time.Time }

func (c clock) now() model.Instant {
	return c.at(time.Now())
}

// at converts a time with a monotonic clock reading.
func (c clock) at(t time.Time) model.Instant {
	return model.InstantOf(c.start).Add(t.Sub(c.start))
}

// metricPanics is the name of the counter of contained panics.
const metricPanics = "primrosenotch_edge_panics_total"

func linkSettings(panics *contain.Panics) link.Settings {
	s := link.DefaultSettings()
	s.Panics = panics
	return s
}

// upstreamSettings returns the settings for connections to backend servers.
func upstreamSettings(o *Options, panics *contain.Panics) upstream.Settings {
	return upstream.Settings{
		Panics:               panics,
		DialTimeout:          dialTimeout,
		ProgressTimeout:      progressTimeout,
		IdleTimeout:          poolIdleTimeout,
		Dialect:              o.Dialect,
		AcceptCloseDelimited: true,
		MaxOpen:              min(upstream.DefaultMaxOpen, descriptors.Available().BackendServers),
	}
}

const (
	// dialTimeout allows for three round trips between regions and a slow accept by the
	// server.
	dialTimeout = 400 * time.Millisecond
	// progressTimeout is above the time that any request has, so that only the request's own
	// deadline ends an attempt at a silent server.
	progressTimeout = time.Minute
	// poolIdleTimeout is how long an idle connection to a backend server is kept.
	// Some servers that announce no idle timeout close connections after 10 s.
	poolIdleTimeout = 8 * time.Second
	// defaultCallerIdleTimeout is how long a caller's connection may be idle if the
	// configuration sets no limit.
	defaultCallerIdleTimeout = 20 * time.Second
	// idleMargin is added to the configured idle timeout, so that a request sent just
	// within that limit finds the connection open.
	idleMargin = 5 * time.Second
	// headerMargin is added to the configured timeout for sending a header, for the same
	// reason.
	headerMargin = time.Second
	// maxBufferedBodyBytes is the size of the largest request body that is read
	// completely before it is sent, so that a request refused by one server can be sent
	// to another. It also bounds the responses that are read completely before they are
	// sent, so that a response that breaks off can be retried.
	maxBufferedBodyBytes = 512 << 10
	// maxReadAhead bounds the requests of all callers that run ahead of their turn on their
	// connection: a quarter of all requests, so that callers that send nothing ahead are not
	// refused for want of room.
	maxReadAhead = ingress.DefaultMaxExchanges / 4
)

// New returns an instance; Run starts it.
func New(o Options) *Edge {
	ctx, cancel := context.WithCancel(context.Background())
	clock := clock{start: time.Now()}
	panics := contain.New(o.Log, metricPanics)
	e := &Edge{
		options:  o,
		log:      o.Log,
		panics:   panics,
		clock:    clock,
		upstream: upstream.New(upstreamSettings(&o, panics)),
		dispatcher: dispatch.New(dispatch.Settings{
			Self:          o.Self.ID,
			Region:        o.Region,
			Regions:       o.Regions,
			Retry:         o.Bounds.retry(),
			Cold:          o.Bounds.cold(),
			Quota:         o.Bounds.quota(),
			ShiftCap:      o.Bounds.ShiftCap,
			RandomServers: o.RandomServers,
			RouteUrgency:  o.RouteUrgency,
			SpreadObjects: o.SpreadObjects,
			// A copy that is older is read again at once.
			InstancesMaxAge: instancesMaxAge + readAllowance,
			StartedAt:       clock.now(),
		}),
		calls:            map[model.RequestID]*call{},
		listed:           map[model.InstanceID]listedInstance{},
		missingSince:     map[model.InstanceID]model.Instant{},
		serverEntries:    map[model.BackendName]serverEntry{},
		echoes:           follow.NewEchoes(),
		readFailed:       map[string]bool{},
		loaded:           map[string]bool{},
		registerRequests: make(chan struct{}, 1),
		copyTurns:        make(chan struct{}, 1),
		ctx:              ctx,
		cancelCtx:        cancel,
	}
	e.bounds.Store(&o.Bounds)
	e.options.Self.StartedNanos = int64(e.clock.now())
	e.startup = newStartup(e.clock.now())
	e.replica = follow.NewReplica(o.tableNames(), func(table string, row follow.Row) bool {
		forwarded := true
		panics.Do(contain.Row, func() { forwarded = e.forwardedToPeers(table, row) })
		return forwarded
	})
	e.group = e.newGroup()
	e.links = link.New(&linkpb.Hello{
		Instance:    string(o.Self.ID),
		Incarnation: uint64(e.options.Self.StartedNanos),
		Zone:        string(o.Self.Zone),
	}, linkSettings(panics), e, e)
	e.metrics = newMetrics(e)
	e.requests = newRequestLog(o.Log, e.metrics, e.configurationAge, e.stopping.Load)
	e.invalid = newInvalidInputs(o.Log, e.metrics.invalid)
	e.callerServer = ingress.New(ingress.Settings{
		IdleTimeout:          defaultCallerIdleTimeout,
		BufferBytes:          maxBufferedBodyBytes,
		HeldBytes:            o.Memory.Bodies,
		Dialect:              o.Dialect,
		NoLookups:            true,
		MaxConnections:       min(cmp.Or(o.Memory.Connections, ingress.DefaultMaxConnections), ingress.DefaultMaxConnections, descriptors.Available().Callers),
		FractionalRetryAfter: true,
		OnReject:             e.rejected,
		ReadAhead:            maxReadAhead,
		Panics:               panics,
	}, e)
	return e
}

func (e *Edge) newGroup() *membership.Group {
	self := e.options.Self
	group := membership.New(membership.Record{
		ID:          self.ID,
		Zone:        self.Zone,
		LinkAddr:    self.LinkAddr,
		CallerAddr:  self.CallerAddr,
		ControlAddr: e.options.ControlAddr,
		State:       membership.Starting, // announceReady changes it
		Incarnation: uint64(self.StartedNanos),
		StartedAt:   e.clock.now(),
	}, membership.DefaultSettings())
	cfg := &config.Text{}
	for _, zone := range lo.Keys(e.options.Regions) {
		cfg.Zones = append(cfg.Zones, config.Zone{Name: zone, Region: e.options.Regions[zone]})
	}
	group.Configure(e.clock.now(), cfg, nil)
	return group
}

// SetBounds applies new platform bounds to a running instance.
func (e *Edge) SetBounds(b Bounds) {
	e.bounds.Store(&b)
	e.post(&dispatch.BoundsChanged{At: e.clock.now(), Retry: b.retry(), Cold: b.cold(), ShiftCap: b.ShiftCap, Quota: b.quota()})
}

// Listeners holds the listeners of an instance. They are opened before anything starts, so
// that a port in use is reported before the instance does any work.
type Listeners struct{ Callers, Links net.Listener }

// Run serves until ctx is canceled or serving callers fails, then stops the instance within
// Bounds.StopTimeout. It returns the error of serving callers, if any.
func (e *Edge) Run(ctx context.Context, l Listeners) error {
	serveErr := make(chan error, 1)
	callers, links := e.Accepting("callers", l.Callers), e.Accepting("links", l.Links)
	go e.panics.Keep(e.ctx, contain.Connection, func() { serveErr <- e.callerServer.Serve(callers) })
	e.keep(contain.Link, func() {
		if err := e.links.Serve(e.ctx, links); err != nil {
			e.log.WithError(err).Error("link server failed")
		}
	})
	for _, table := range e.options.followedTables() {
		e.keep(contain.Store, func() { follow.Follow(e.ctx, e.options.Store, table, e) })
	}
	e.tasks.Go(func() { e.runPeriodically(tickInterval, e.tick) })
	e.keep(contain.Registration, e.keepRegistered)
	if e.options.Suspects != nil {
		e.keep(contain.Store, e.loadSuspects)
	}
	e.tasks.Go(func() { e.runPeriodically(sweepInterval, e.sweep) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErr:
		err = fmt.Errorf("serve callers: %w", err)
	}
	e.stop()
	return err
}

// keep runs f in the background, and again after each panic.
func (e *Edge) keep(place contain.Place, f func()) {
	e.tasks.Go(func() { e.panics.Keep(e.ctx, place, f) })
}

// background runs f in the background.
func (e *Edge) background(place contain.Place, f func()) {
	e.tasks.Go(func() { e.panics.Do(place, f) })
}

// Panics returns what contains this instance's panics, for handlers that use the instance.
func (e *Edge) Panics() *contain.Panics { return e.panics }

// Accepting returns l with retries of temporary failures to accept a connection. Its open
// connections are bounded, except those of callers, which the callers' server bounds, and links,
// which end when a ping is not answered.
func (e *Edge) Accepting(name string, l net.Listener) net.Listener {
	limits := map[string]int{
		"lookups": descriptors.Available().Lookups, "ready": descriptors.MaxControl, "control": descriptors.MaxControl,
	}
	accepting := listener.Retry(l, name, e.log, e.metrics.accepts)
	if limit, ok := limits[name]; ok {
		return listener.Limit(accepting, limit, name, e.log)
	}
	return accepting
}

// runPeriodically calls do once per period until the instance has left.
func (e *Edge) runPeriodically(period time.Duration, do func(now model.Instant)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.panics.Do(contain.Tick, func() { do(e.clock.now()) })
		}
	}
}

func (e *Edge) tick(now model.Instant) {
	e.panics.Do(contain.Tick, func() { e.tickFleet(now) })
	e.noticePause(time.Now())
	e.post(&dispatch.Tick{At: now, InstancesKnownAt: e.instancesKnownAt()})
}

const (
	// drainShare is the fraction of Bounds.StopTimeout in which requests that can still
	// end in time are accepted while callers find another instance.
	drainShare = 0.45
	// abortShare is the fraction of Bounds.StopTimeout after which requests in flight are
	// aborted, unless the process did not run around then.
	abortShare = 0.96
)

// stop shuts the instance down: first it is removed from the lookup answers, then it closes
// callers' connections, then it stops everything else.
func (e *Edge) stop() {
	started := time.Now()
	deadline := func(share float64) time.Time {
		return started.Add(time.Duration(share * float64(e.bounds.Load().StopTimeout)))
	}
	e.log.WithField("in_flight", e.callerServer.InFlight()).Info("stopping")
	e.stopping.Store(true)
	e.stopWindow.Store(&stopWindow{
		acceptUsual: earlier(started.Add(maxAcceptUsual), deadline(drainShare)),
		abort:       deadline(abortShare),
	})
	finish, cancelFinish := gracetime.Context(deadline(abortShare))
	defer cancelFinish()
	e.callerServer.StartDraining()
	e.panics.Do(contain.Stop, func() { e.setState(membership.Leaving) })
	e.panics.Do(contain.Stop, func() { e.unregister(deadline(drainShare)) })
	time.Sleep(time.Until(deadline(drainShare)))
	e.refusing.Store(true)
	if err := e.callerServer.Shutdown(finish); err != nil {
		e.log.WithError(err).Warn("requests still in flight aborted")
	}
	e.panics.Do(contain.Stop, func() { e.setState(membership.Left) })
	e.cancelCtx()
	if err := e.upstream.Shutdown(); err != nil {
		e.log.WithError(err).Warn("failed to close connections to backend servers")
	}
	e.links.CloseAll()
	e.log.Info("stopped")
}

// unregister removes this instance's entry from the store.
func (e *Edge) unregister(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := e.options.Registry.Unregister(ctx, e.options.Self.ID, 0); err != nil {
		e.log.WithError(err).Warn("failed to remove registry entry")
		return
	}
	e.post(&dispatch.Unlisted{At: e.clock.now()})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// post applies an event to the dispatcher and carries out the resulting effects, except a
// Send, Refuse or PassOn for the request, which it returns.
func (e *Edge) post(ev dispatch.Event) dispatch.Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	var requestEffect dispatch.Effect
	for _, f := range e.step(ev) {
		switch f := f.(type) {
		case *dispatch.Send, *dispatch.Refuse, *dispatch.PassOn:
			requestEffect = f
		default:
			e.panics.Do(contain.Effect, func() { e.execute(f) })
		}
	}
	return requestEffect
}

// step applies an event to the dispatcher. The caller must hold mu.
func (e *Edge) step(ev dispatch.Event) (effects []dispatch.Effect) {
	if !e.panics.Do(contain.Decision, func() { effects = e.dispatcher.Step(ev) }) {
		e.panics.Do(contain.Decision, func() { effects = e.dispatcher.Recover(ev) })
	}
	return effects
}

// lockFleet calls f with fleetMu held.
func (e *Edge) lockFleet(f func()) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	f()
}

// execute carries out an effect other than Send, Refuse and PassOn. It must not block.
func (e *Edge) execute(f dispatch.Effect) {
	switch f := f.(type) {
	case *dispatch.Probe:
		e.probe(f)
	case *dispatch.Hedge:
		e.calls[f.Send.Request].hedge(f.Send)
	case *dispatch.Resume:
		if c := e.calls[f.Request]; c != nil {
			c.resume(f.Next)
		}
	case *dispatch.SendQuotaReport:
		e.sendQuotaReport(f)
	case *dispatch.SendQuotaHandover:
		e.sendQuotaHandover(f)
	case *dispatch.SaveSuspects:
		e.saveSuspects(f)
	case *dispatch.CloseConnections:
		e.upstream.CloseConnections(f.Server.Address)
	case *dispatch.ClosePooledConnections:
		e.upstream.ClosePooledConnections(f.Server.Address)
	case *dispatch.LimitsChanged:
		e.applyLimits(f.Limits)
	case *dispatch.OrganisationsChanged:
		e.metrics.organisations.setOrganisations(f.Organisations)
		e.pauses.active.Store(limited(f.Organisations))
	case *dispatch.Record:
		e.log.WithFields(logrus.Fields{"subject": f.Subject, "why": f.Reason}).Log(recordLevel(f), f.Message)
	}
}

// Ready reports whether callers should be sent to this instance. It becomes true together
// with the lookup answers that name this instance.
func (e *Edge) Ready() bool {
	results := e.published.Load()
	return results != nil && results.ready && !e.stopping.Load()
}

// canServe reports whether this instance knows enough to serve and is not stopping.
func (e *Edge) canServe() bool {
	return !e.stopping.Load() && e.configured.Load() && e.loadedTables.Load() >= requiredTables
}

// announceReady announces to peers that callers may be sent to this instance, once it can
// serve them. Peers would otherwise name it as soon as they are linked to it, and it would
// refuse every request until it has read the store.
func (e *Edge) announceReady() {
	e.lockFleet(func() {
		if e.canServe() {
			e.applyOutput(e.group.SetState(e.clock.now(), membership.Ready))
		}
	})
}

// requiredTables is the number of tables that must be loaded before the instance is ready:
// the operator's and the servers' table.
const requiredTables = 2

// applyLimits applies the configured limits on callers' requests.
func (e *Edge) applyLimits(l catalog.Limits) {
	limits := ingress.Limits{BodyBytes: l.BodyBytes}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout = l.IdleTimeout + idleMargin
	}
	if l.HeaderTimeout > 0 {
		limits.HeaderTimeout = l.HeaderTimeout + headerMargin
	}
	e.callerServer.SetLimits(limits)
	if l.HeaderBytes > ingress.DefaultMaxHeaderBytes {
		e.log.WithFields(logrus.Fields{"limit": l.HeaderBytes, "used": ingress.DefaultMaxHeaderBytes}).
			Warn("configured header limit exceeds the supported size")
	}
}
