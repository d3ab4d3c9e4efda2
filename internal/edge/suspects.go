package edge

import (
	"context"
	"errors"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/membership"
)

// SuspectStore keeps the requests that are suspected of crashing servers in the platform's
// store. No instance has a disk, so nothing else outlives the end of all of them.
type SuspectStore interface {
	// SaveSuspects writes suspects. It may replace others of which the store keeps no more
	// than a fixed number.
	SaveSuspects(ctx context.Context, list []membership.Suspect) error
	// LoadSuspects returns the suspects that have been saved and can be decoded. If there
	// are others, it calls invalid with the key of each.
	LoadSuspects(ctx context.Context, invalid func(key string, err error)) ([]membership.Suspect, error)
}

const (
	// suspectCallTimeout is the timeout for reading or writing suspects.
	suspectCallTimeout = 2 * time.Second
	// suspectLoadRetryDelay is the delay before another attempt to read them.
	suspectLoadRetryDelay = 500 * time.Millisecond
	// reasonSuspects is the reason of calls in the metrics.
	reasonSuspects = "suspects"
)

// loadSuspects reads what instances saved before this one started. It tries until it succeeds,
// since the store may be down when all instances are started again.
func (e *Edge) loadSuspects() {
	for {
		ctx, cancel := context.WithTimeout(e.ctx, suspectCallTimeout)
		list, err := e.options.Suspects.LoadSuspects(ctx, func(key string, err error) {
			e.invalid.row(e.options.Tables.Suspects, key, err)
		})
		cancel()
		e.metrics.storeCalls.WithLabelValues(e.options.Tables.Suspects, reasonSuspects).Inc()
		if err == nil {
			e.post(&dispatch.SuspectsReceived{At: e.clock.now(), Suspects: list})
			if len(list) > 0 {
				e.log.WithField("suspects", len(list)).Info("requests suspected of crashing servers read from the store")
			}
			return
		}
		e.log.WithError(err).Warn("failed to read requests suspected of crashing servers")
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(suspectLoadRetryDelay):
		}
	}
}

var errSavePanic = errors.New("saving suspects failed in this instance")

// saveSuspects carries out a SaveSuspects effect.
func (e *Edge) saveSuspects(f *dispatch.SaveSuspects) {
	if e.options.Suspects == nil {
		return
	}
	e.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, suspectCallTimeout)
		defer cancel()
		err := errSavePanic
		e.panics.Do(contain.Store, func() { err = e.options.Suspects.SaveSuspects(ctx, f.Suspects) })
		e.metrics.storeCalls.WithLabelValues(e.options.Tables.Suspects, reasonSuspects).Inc()
		if err != nil {
			e.log.WithError(err).Warn("failed to save requests suspected of crashing servers")
		}
		e.post(&dispatch.SuspectsSaved{OK: err == nil, Suspects: f.Suspects})
	})
}
