package runtime

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

const (
	// tickInterval is the period of the reducer's tick.
	tickInterval = 50 * time.Millisecond
	// pollTimeout bounds one round of platform calls.
	pollTimeout = 2 * time.Second
	// fetchTimeout bounds reading a revision from a peer.
	fetchTimeout = 2 * time.Second
	// registrationTTL is how long the platform lists this instance after a
	// registration.
	registrationTTL = 15 * time.Second
	// finalGossipDelay is the delay before the links are closed, in which the last
	// membership messages can be sent.
	finalGossipDelay = 200 * time.Millisecond
)

// Run posts ticks to the reducer until the instance has left the fleet. Shutdown
// makes it leave.
func (r *Runtime) Run() {
	go r.panics.Keep(context.Background(), contain.Ledger, func() { r.ledger.Run(context.Background()) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			r.finish()
			return
		case <-ticker.C:
			r.panics.Do(contain.Tick, r.tick)
		}
	}
}

func (r *Runtime) tick() {
	now := r.clock.now()
	r.post(&event.Tick{At: now})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordDrainedStops(now)
	r.recordBreakerState(now)
	r.refusals.report(r, now)
}

// Shutdown announces that this instance is leaving. Run returns once nothing is in
// flight and LookupTTL has passed, or after Options.Drain.
func (r *Runtime) Shutdown() {
	r.post(&event.ShutdownRequested{At: r.clock.now()})
	time.AfterFunc(r.options.Drain, func() {
		if r.ctx.Err() == nil {
			r.log.Warn("drain time is over with requests in flight")
			r.leave()
		}
	})
}

// finish waits for pending ledger writes and closes all connections.
func (r *Runtime) finish() {
	time.Sleep(finalGossipDelay)
	r.tasks.Wait()
	r.panics.Do(contain.Stop, r.links.CloseAll)
	if err := r.upstream.Shutdown(); err != nil {
		r.log.WithError(err).Warn("failed to close connections to backend servers")
	}
}

// probe queries the status of a backend server in the background.
func (r *Runtime) probe(name model.BackendName) {
	backend, ok := r.view.Load().backend(name)
	if !ok {
		return
	}
	go func() {
		var status upstream.Status
		err := errPanic
		r.panics.Do(contain.HealthCheck, func() { status, err = r.upstream.Status(r.ctx, name, backend.Address) })
		ev := &event.ServerReported{At: r.clock.now(), Backend: name, Err: err, Unreachable: unreachable(err)}
		if err == nil {
			ev.Healthy = status.Healthy
			ev.Draining = status.Draining
			ev.Cold = status.Cold
			ev.InUse = status.InUse
			ev.Slots = status.Slots
		}
		r.post(ev)
	}()
}

// errPanic is the error of a call that has panicked.
var errPanic = errors.New("the call failed in this instance")

// unreachable reports whether a query failed because the server did not react to the
// connection.
func unreachable(err error) bool {
	var failed *upstream.SendError
	return errors.As(err, &failed) && failed.Step == upstream.StepDial && !errors.Is(err, syscall.ECONNREFUSED)
}

func (r *Runtime) closePooledConnections(name model.BackendName) {
	if backend, ok := r.view.Load().backend(name); ok {
		go r.panics.Do(contain.Connection, func() { r.upstream.ClosePooledConnections(backend.Address) })
	}
}

// pollPlatform renews this instance's registration with the platform, reads the list of
// instances and the configuration, and verifies claims. Only one round runs at a time.
func (r *Runtime) pollPlatform() {
	if r.polling.Swap(true) {
		return
	}
	go func() {
		defer r.polling.Store(false)
		ctx, cancel := context.WithTimeout(r.ctx, pollTimeout)
		defer cancel()
		for _, poll := range []func(context.Context){r.pollInstances, r.pollConfiguration, r.verifyClaims} {
			r.panics.Do(contain.Store, func() { poll(ctx) })
		}
	}()
}

// verifyClaims writes claims again that the platform's table has lost.
func (r *Runtime) verifyClaims(ctx context.Context) {
	rewritten, err := r.ledger.Verify(ctx)
	if rewritten > 0 {
		r.log.WithField("claims", rewritten).Warn("platform's table was restored from a copy: claims of idempotency keys were written again")
	}
	if err != nil {
		r.platformFailed("verify claims", err)
	}
}

func (r *Runtime) pollInstances(ctx context.Context) {
	self := r.options.Reducer.Self
	registration := platform.ListedInstance{ID: self.ID, Zone: self.Zone, LinkAddr: self.LinkAddr, CallerAddr: self.CallerAddr}
	if err := r.options.Instances.Register(ctx, registration, registrationTTL); err != nil {
		r.platformFailed("register instance", err)
		return
	}
	list, err := r.options.Instances.List(ctx)
	if err != nil {
		r.platformFailed("list instances", err)
	}
	if invalid := (*platform.InvalidEntriesError)(nil); err != nil && !errors.As(err, &invalid) {
		return
	}
	r.post(&event.PlatformListed{At: r.clock.now(), List: list})
}

func (r *Runtime) pollConfiguration(ctx context.Context) {
	active := r.activeRevision.Load()
	update, err := r.follower.Next(ctx, active)
	if errors.Is(err, confstore.ErrNoRevision) {
		return
	}
	if err != nil {
		r.platformFailed("read configuration", err)
		return
	}
	r.recordLost(update.Lost, active)
	if update.Revision != nil {
		r.adopt(active, update.Revision, "platform")
	}
}

// recordLost logs once that the platform's table does not hold the revision in force.
func (r *Runtime) recordLost(lost bool, active *config.Revision) {
	if r.configurationLost.Swap(lost) == lost || !lost {
		return
	}
	r.log.WithField("revision", active.Number).WithField("operation", active.OperationID).
		Warn("platform's table was restored from a copy and lacks the revision in force, which stays until a change is accepted")
}

func (r *Runtime) platformFailed(step string, err error) {
	r.metrics.platformErrors.WithLabelValues(step).Inc()
	r.log.WithError(err).WithField("step", step).Debug("platform call failed")
}

func (r *Runtime) activeRevisionNumber() int64 {
	if revision := r.activeRevision.Load(); revision != nil {
		return revision.Number
	}
	return 0
}

// fetchRevision fetches a later configuration from a peer in the background. Only
// one fetch runs at a time.
func (r *Runtime) fetchRevision(from model.InstanceID, number int64) {
	if r.fetching.Swap(true) {
		return
	}
	go r.panics.Do(contain.Link, func() {
		defer r.fetching.Store(false)
		message, err := r.links.Revision(from, number, fetchTimeout)
		if err != nil {
			r.log.WithError(err).WithField("peer", from).Debug("failed to fetch configuration revision")
			return
		}
		revision, err := config.DecodeRevision(message)
		if err != nil {
			r.log.WithError(err).WithField("peer", from).Error("rejected invalid configuration revision")
			return
		}
		r.offered(revision, string(from))
	})
}

// offered adopts the revision of a peer if it is preferred to the active one. One that is
// neither before nor after the active one may have been lost in a restore of the platform's
// table, or the active one may have been: then the table decides if it can be read.
func (r *Runtime) offered(revision *config.Revision, from string) {
	active := r.activeRevision.Load()
	preferred := config.Preferred(active, revision)
	if preferred == active {
		return
	}
	if active != nil && !active.Related(revision) {
		ctx, cancel := context.WithTimeout(r.ctx, pollTimeout)
		defer cancel()
		if update, err := r.follower.Next(ctx, revision); err == nil && update.Revision != nil {
			preferred, from = update.Revision, "platform"
		}
	}
	r.adopt(active, preferred, from)
}

// adopt parses a revision and activates it in place of active.
func (r *Runtime) adopt(active, revision *config.Revision, from string) {
	// Reading and parsing a large configuration leaves garbage of several times its
	// size.
	defer debug.FreeOSMemory()
	text, err := config.Parse(fmt.Sprintf("revision %d", revision.Number), revision.Source)
	if err != nil {
		r.log.WithError(err).WithField("from", from).Error("rejected invalid configuration revision")
		return
	}
	ev := &event.ConfigurationLoaded{Revision: revision, Text: text}
	for _, change := range revision.Earlier {
		earlier, err := config.Parse("earlier configuration text", change.Source)
		if err != nil {
			r.log.WithError(err).WithField("from", from).Warn("ignored invalid earlier configuration")
			continue
		}
		ev.Earlier = append(ev.Earlier, event.EarlierText{Text: earlier, AcceptedAt: model.InstantOf(change.AcceptedAt)})
	}
	ev.Index = config.NewIndex(ev.Text)
	r.activate(active, ev)
}

// activate replaces the revision seen by peers, by requests and by the reducer
// under one lock, so that none of them returns to an older revision. It does nothing if
// active is no longer in force, since the new one was compared with it.
func (r *Runtime) activate(active *config.Revision, ev *event.ConfigurationLoaded) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeRevision.Load() != active || ev.Revision.Order().Compare(active.Order()) <= 0 {
		return
	}
	ev.At = r.clock.now()
	if active == nil || active.Identity() != ev.Revision.Identity() {
		r.adoptedAt.Store(int64(ev.At))
		r.configurationLost.Store(false)
	}
	r.activeRevision.Store(ev.Revision)
	r.encodedRevision.Store(config.EncodeRevision(ev.Revision))
	r.setIndex(ev.Index)
	r.stats.SetText(ev.Text)
	r.step(ev)
}
