package runtime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
)

// TestPanicOfADecisionLeavesTheRuntimeUnlocked guards against an instance that stands still.
func TestPanicOfADecisionLeavesTheRuntimeUnlocked(t *testing.T) {
	r := newTestRuntime(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.post((*event.AttemptFinished)(nil)) // the reducer panics at it
		r.post(&event.Tick{At: r.clock.now()})
		r.Status(t.Context())
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the runtime stands still")
	}
	families, err := r.Metrics().Gather()
	require.NoError(t, err)
	for _, f := range families {
		if f.GetName() == metricsNamespace+"_panics_total" {
			require.Equal(t, string(contain.Decision), f.GetMetric()[0].GetLabel()[0].GetValue())
			return
		}
	}
	require.Fail(t, "not counted")
}
