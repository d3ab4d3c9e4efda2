package edge

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// panicsAt returns the number of contained panics at a place.
func panicsAt(t *testing.T, e *Edge, place contain.Place) int {
	t.Helper()
	families, err := e.Metrics().Gather()
	require.NoError(t, err)
	for _, f := range families {
		if f.GetName() != metricPanics {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == string(place) {
				return int(m.GetCounter().GetValue())
			}
		}
	}
	return 0
}

// TestPanicLeavesTheInstanceUnlocked guards against an instance that stands still.
func TestPanicLeavesTheInstanceUnlocked(t *testing.T) {
	e := newEdgeWithPeers(t, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.post((*dispatch.AttemptEnded)(nil)) // the dispatcher panics at it
		e.panics.Do(contain.Row, func() {
			e.lockFleet(func() { panic("with fleetMu held") })
		})
		e.tick(e.clock.now())
		e.Status(t.Context())
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the instance stands still")
	}
	require.Positive(t, panicsAt(t, e, contain.Decision))
	require.Equal(t, 1, panicsAt(t, e, contain.Row))
}

// TestPanicAtAnEffectKeepsTheOthers guards against decisions that are not carried out.
func TestPanicAtAnEffectKeepsTheOthers(t *testing.T) {
	e := newEdgeWithPeers(t, 0)
	lines := &strings.Builder{}
	e.log.Logger.SetOutput(lines)
	e.callerServer = nil // applying limits panics
	c := &catalog.Configuration{Version: 1, Limits: catalog.Limits{BodyBytes: 7}}
	e.post(&dispatch.CatalogChanged{At: e.clock.now(), Change: &catalog.ConfigurationChange{Configuration: c}})
	require.Equal(t, 1, panicsAt(t, e, contain.Effect))
	require.Zero(t, panicsAt(t, e, contain.Decision))
	require.Contains(t, lines.String(), "version 1 is the first")
}

// TestPeriodicWorkGoesOnAfterAPanic guards against an instance that no longer tells peers or checks
// servers.
func TestPeriodicWorkGoesOnAfterAPanic(t *testing.T) {
	e := newEdgeWithPeers(t, 0)
	ctx, cancel := context.WithCancel(t.Context())
	e.ctx = ctx
	rounds := 0
	e.runPeriodically(time.Millisecond, func(model.Instant) {
		if rounds++; rounds == 3 {
			cancel()
		}
		panic("round")
	})
	require.GreaterOrEqual(t, rounds, 3)
	require.Equal(t, rounds, panicsAt(t, e, contain.Tick))
}
