package load

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// runner runs one experiment.
type runner struct {
	experiment  *Experiment
	caller      *caller
	clients     *clients
	directories map[netip.Addr]*directory
	recorders   []*classRecorder
	inFlight    atomic.Int64
	requests    sync.WaitGroup
	started     time.Time
	runID       string // prefix of the request IDs

	lagMu sync.Mutex
	lag   *hdrhistogram.Histogram
}

// Run runs an experiment and returns its result. When ctx ends, it stops starting
// requests, waits for those in flight and returns early.
func Run(ctx context.Context, e *Experiment, command []string) *Result {
	r := newRunner(e)
	defer r.clients.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var refreshers sync.WaitGroup
	defer refreshers.Wait()
	defer cancel()
	r.startDirectories(ctx, &refreshers)

	r.started = time.Now()
	var schedulers sync.WaitGroup
	for i := range e.Classes {
		schedulers.Go(func() { r.schedule(ctx, i) })
	}
	schedulers.Wait()
	r.requests.Wait()
	return r.result(command)
}

func newRunner(e *Experiment) *runner {
	c := newClients()
	r := &runner{
		experiment:  e,
		caller:      &caller{experiment: e, clients: c},
		clients:     c,
		directories: make(map[netip.Addr]*directory),
		lag:         newHistogram(latencyDigits),
		runID:       strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	for i := range e.Classes {
		class := &e.Classes[i]
		r.recorders = append(r.recorders, newClassRecorder(e, class))
		for _, source := range sourcesOf(class.Callers) {
			if r.directories[source] == nil {
				r.directories[source] = newDirectory(source, e.Entries, c)
			}
		}
	}
	return r
}

// startDirectories performs the first lookup of each directory, so that it is done
// before the load starts, and keeps the directories up to date until ctx ends.
func (r *runner) startDirectories(ctx context.Context, wg *sync.WaitGroup) {
	for _, d := range r.directories {
		ttl := max(d.refresh(), minLookupInterval)
		wg.Go(func() { d.run(ctx, ttl) })
	}
}

// schedule starts the requests of one class at their arrival times, without waiting
// for the answers to earlier ones.
func (r *runner) schedule(ctx context.Context, class int) {
	arrivals := newArrivals(r.experiment, class)
	requests := newRequestGenerator(r.experiment, class, r.runID)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		at, phase, ok := arrivals.next()
		if !ok {
			return
		}
		due := r.started.Add(at)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		r.dispatch(requests.next(phase), due)
	}
}

// dispatch starts one request. Its latency is measured from this point; the delay
// since the scheduled arrival is recorded separately as dispatch lag.
func (r *runner) dispatch(q request, due time.Time) {
	now := time.Now()
	r.recordLag(now.Sub(due))
	if r.inFlight.Add(1) > int64(r.experiment.MaxInFlight) {
		r.inFlight.Add(-1)
		r.recorders[q.class].add(&q, observation{outcome: outcomeDropped}, 0, now.Sub(r.started))
		return
	}
	r.requests.Go(func() {
		defer r.inFlight.Add(-1)
		o := r.caller.do(&q, r.directories[q.source])
		end := time.Now()
		r.recorders[q.class].add(&q, o, end.Sub(now), end.Sub(r.started))
	})
}

func (r *runner) recordLag(lag time.Duration) {
	r.lagMu.Lock()
	record(r.lag, lag)
	r.lagMu.Unlock()
}

func (r *runner) result(command []string) *Result {
	result := &Result{
		Command:     command,
		Started:     r.started.UTC(),
		Elapsed:     time.Since(r.started),
		Experiment:  r.experiment,
		DispatchLag: quantilesOf(r.lag),
	}
	for _, recorder := range r.recorders {
		recorder.finish(result)
	}
	for _, d := range r.directories {
		result.Lookups += d.lookups.Load()
		result.FailedLookups += d.failures.Load()
	}
	return result
}
