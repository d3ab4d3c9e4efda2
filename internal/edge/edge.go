package edge

import (
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
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/follow"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// Edge runs one entry instance.
type Edge struct {
	options  Options
	bounds   atomic.Pointer[Bounds]
	answers  atomic.Pointer[lookups]
	log      *logrus.Entry
	requests *requestLog
	metrics  *metrics
	clock    clock
	upstream *upstream.Client
	links    *link.Links
	callers  *ingress.Server

	// mu serializes the dispatcher.
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	lastID     model.RequestID
	running    map[model.RequestID]context.CancelFunc // attempts

	// fleetMu serializes what is known of other instances and of the store.
	fleetMu sync.Mutex
	group   *membership.Group
	listed  map[model.InstanceID]listedInstance
	missing map[model.InstanceID]model.Instant // since when listed instances are not usable
	replica *follow.Replica
	echoes  *follow.Echoes
	entries map[model.BackendName]catalog.Server // latest that was read or learnt
	failed  map[string]bool                      // tables whose last read failed
	known   map[string]bool                      // tables that were read or learnt
	applyMu sync.Mutex                           // rows of two sources are applied one batch after the other

	stopping atomic.Bool // no longer named to callers
	refusing atomic.Bool // takes no more requests
	followed atomic.Int32
	fetching atomic.Bool
	listOwn  chan struct{} // asks for the own entry to be written again

	ctx   context.Context // ends when the instance has left
	leave context.CancelFunc
	tasks sync.WaitGroup
}

// listedInstance is an instance's entry in the store.
type listedInstance struct {
	entry   catalog.Instance
	version int64
}

// clock gives Instants that never go backwards.
type clock struct{ start time.Time }

func (c clock) now() model.Instant {
	return c.at(time.Now())
}

// at converts a time that has a reading of the steady clock.
func (c clock) at(t time.Time) model.Instant {
	return model.InstantOf(c.start).Add(t.Sub(c.start))
}

// upstreamSettings are the bounds towards backend servers.
func upstreamSettings(o *Options) upstream.Settings {
	return upstream.Settings{
		DialTimeout:    dialTimeout,
		IdleTimeout:    poolIdle,
		Dialect:        o.Dialect,
		AcceptUnframed: true,
	}
}

const (
	// dialTimeout is three round trips between regions, with a slow server's accept.
	dialTimeout = 400 * time.Millisecond
	// poolIdle is how long an idle connection is kept: servers that say nothing of
	// it have been seen to close after 10 s.
	poolIdle = 8 * time.Second
	// callerIdle is how long a caller's connection may be idle while no configuration
	// says so.
	callerIdle = 20 * time.Second
	// idleMargin is how much longer than the configuration's limit an idle connection
	// is kept, so that a request sent just within the limit finds it open.
	idleMargin = 5 * time.Second
	// headerMargin is the same for the time to send a header.
	headerMargin = time.Second
	// wholeBodyBytes is the largest body that is read whole before it is sent, so
	// that a request that one server refused can go to another.
	wholeBodyBytes = 512 << 10
)

// New returns an instance that has not started.
func New(o Options) *Edge {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Edge{
		options:  o,
		log:      o.Log,
		clock:    clock{start: time.Now()},
		upstream: upstream.New(upstreamSettings(&o)),
		dispatcher: dispatch.New(dispatch.Settings{
			Region:   o.Region,
			Regions:  o.Regions,
			Retry:    o.Bounds.retry(),
			Cold:     o.Bounds.cold(),
			ShiftCap: o.Bounds.ShiftCap,
			Naive:    o.Naive,
		}),
		running: map[model.RequestID]context.CancelFunc{},
		listed:  map[model.InstanceID]listedInstance{},
		missing: map[model.InstanceID]model.Instant{},
		entries: map[model.BackendName]catalog.Server{},
		echoes:  follow.NewEchoes(),
		failed:  map[string]bool{},
		known:   map[string]bool{},
		listOwn: make(chan struct{}, 1),
		ctx:     ctx,
		leave:   cancel,
	}
	e.bounds.Store(&o.Bounds)
	e.options.Self.Started = int64(e.clock.now())
	e.replica = follow.NewReplica(o.tableNames(), e.matters)
	e.group = e.newGroup()
	e.links = link.New(&linkpb.Hello{
		Instance:    string(o.Self.ID),
		Incarnation: uint64(e.options.Self.Started),
		Zone:        string(o.Self.Zone),
	}, link.DefaultSettings(), e, e)
	e.metrics = newMetrics(e)
	e.requests = newRequestLog(o.Log, e.metrics)
	e.callers = ingress.New(ingress.Settings{
		IdleTimeout:          callerIdle,
		BufferBytes:          wholeBodyBytes,
		Dialect:              o.Dialect,
		NoLookups:            true,
		FractionalRetryAfter: true,
	}, e)
	return e
}

func (e *Edge) newGroup() *membership.Group {
	self := e.options.Self
	group := membership.New(membership.Record{
		ID:          self.ID,
		Zone:        self.Zone,
		LinkAddr:    self.Links,
		CallerAddr:  self.Callers,
		State:       membership.Ready,
		Incarnation: uint64(self.Started),
		StartedAt:   e.clock.now(),
	}, membership.DefaultSettings())
	text := &config.Text{}
	for _, zone := range lo.Keys(e.options.Regions) {
		text.Zones = append(text.Zones, config.Zone{Name: zone, Region: e.options.Regions[zone]})
	}
	group.Configure(e.clock.now(), text, nil)
	return group
}

// SetBounds takes new bounds of the platform over, while the instance runs.
func (e *Edge) SetBounds(b Bounds) {
	e.bounds.Store(&b)
	e.post(&dispatch.BoundsChanged{At: e.clock.now(), Retry: b.retry(), Cold: b.cold(), ShiftCap: b.ShiftCap})
}

// Listeners are opened before anything starts, so that a taken port is one clear
// error.
type Listeners struct{ Callers, Links net.Listener }

// Run serves until the context ends, then leaves within the bound on stopping.
func (e *Edge) Run(ctx context.Context, l Listeners) error {
	served := make(chan error, 1)
	go func() { served <- e.callers.Serve(l.Callers) }()
	e.tasks.Go(func() {
		if err := e.links.Serve(e.ctx, l.Links); err != nil {
			e.log.WithError(err).Error("links ended")
		}
	})
	for _, table := range e.options.follows() {
		e.tasks.Go(func() { follow.Follow(e.ctx, e.options.Store, table, e) })
	}
	e.tasks.Go(func() { e.every(tickEvery, e.tick) })
	e.tasks.Go(e.keepListed)
	e.tasks.Go(func() { e.every(sweepEvery, e.sweep) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
		err = fmt.Errorf("serve callers: %w", err)
	}
	e.stop()
	return err
}

// every calls a function at a period until the instance has left.
func (e *Edge) every(period time.Duration, do func(now model.Instant)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			do(e.clock.now())
		}
	}
}

func (e *Edge) tick(now model.Instant) {
	e.tickFleet(now)
	e.post(&dispatch.Tick{At: now})
}

const (
	// announceShare of the time to stop is left to callers for finding another
	// instance, while requests are still served.
	announceShare = 0.45
	// finishShare of the time to stop is when what is in flight is given up.
	finishShare = 0.93
)

// stop leaves: first the look-ups, then callers' connections, then the process.
func (e *Edge) stop() {
	started := time.Now()
	at := func(share float64) time.Time {
		return started.Add(time.Duration(share * float64(e.bounds.Load().Stop)))
	}
	e.log.WithField("in_flight", e.callers.InFlight()).Info("stopping")
	e.stopping.Store(true)
	e.callers.StartDraining()
	e.setState(membership.Leaving)
	unlist, cancel := context.WithDeadline(context.Background(), at(announceShare))
	if err := e.options.Registry.Unlist(unlist, e.options.Self.ID, 0); err != nil {
		e.log.WithError(err).Warn("own entry not removed")
	}
	cancel()
	time.Sleep(time.Until(at(announceShare)))
	e.refusing.Store(true)
	finish, cancel := context.WithDeadline(context.Background(), at(finishShare))
	defer cancel()
	if err := e.callers.Shutdown(finish); err != nil {
		e.log.WithError(err).Warn("requests cut off")
	}
	e.setState(membership.Left)
	e.leave()
	if err := e.upstream.Shutdown(); err != nil {
		e.log.WithError(err).Warn("close servers' connections")
	}
	e.links.CloseAll()
	e.log.Info("stopped")
}

// post applies an event to the dispatcher and carries out its effects but those
// about the request, which it returns.
func (e *Edge) post(ev dispatch.Event) dispatch.Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	var own dispatch.Effect
	for _, f := range e.dispatcher.Step(ev) {
		switch f := f.(type) {
		case *dispatch.Send, *dispatch.Refuse:
			own = f
		default:
			e.execute(f)
		}
	}
	return own
}

// execute carries out an effect that is not about one request. It must not block.
func (e *Edge) execute(f dispatch.Effect) {
	switch f := f.(type) {
	case *dispatch.Probe:
		e.probe(f)
	case *dispatch.Cancel:
		if cancel := e.running[f.Request]; cancel != nil {
			cancel()
		}
	case *dispatch.Forget:
		e.upstream.Forget(f.Server.Address)
	case *dispatch.Condemn:
		e.upstream.Condemn(f.Server.Address)
	case *dispatch.LimitsChanged:
		e.applyLimits(f.Limits)
	case *dispatch.Record:
		e.log.WithFields(logrus.Fields{"subject": f.Subject, "why": f.Why}).Info(f.What)
	}
}

// Ready reports whether callers should be sent here.
func (e *Edge) Ready() bool {
	return !e.stopping.Load() && e.followed.Load() >= neededTables
}

// neededTables are the operator's and the servers'.
const neededTables = 2

// applyLimits takes up what the configuration lets callers send.
func (e *Edge) applyLimits(l catalog.Limits) {
	limits := ingress.Limits{BodyBytes: l.BodyBytes}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout = l.IdleTimeout + idleMargin
	}
	if l.HeaderTimeout > 0 {
		limits.HeaderTimeout = l.HeaderTimeout + headerMargin
	}
	e.callers.SetLimits(limits)
	if l.HeaderBytes > ingress.DefaultMaxHeaderBytes {
		e.log.WithFields(logrus.Fields{"limit": l.HeaderBytes, "used": ingress.DefaultMaxHeaderBytes}).
			Warn("the configuration allows larger headers than are read")
	}
}
