package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
)

// TestLimitOutlivesLapsedEntry guards against a server in need that gets requests without a
// limit because its entry lapsed for want of heartbeats and is back.
func TestLimitOutlivesLapsedEntry(t *testing.T) {
	for _, instances := range []int{3, 7} {
		for _, limit := range []float64{0.5, 1.6} {
			t.Run(fmt.Sprintf("%d/%g", instances, limit), func(t *testing.T) {
				s := newTermsSim(t, instances, 12)
				s.run(5 * time.Second)
				busiest := s.busiest()
				s.limits[busiest] = limit
				s.run(5 * time.Second)
				from := s.now
				for range 3 {
					s.run(5 * time.Second)
					entry := s.fleet[0].servers[busiest].entry
					for _, d := range s.fleet {
						d.Step(&CatalogChanged{At: s.now, Change: &catalog.ServerRemoved{ID: busiest}})
						require.Nil(t, d.servers[busiest])
					}
					s.run(2 * time.Second)
					entry.Sequence++
					for _, d := range s.fleet {
						d.Step(&CatalogChanged{At: s.now, Change: &catalog.ServerChange{Server: entry}})
						require.NotNil(t, d.servers[busiest])
					}
				}
				s.run(5 * time.Second)
				require.LessOrEqual(t, s.most(busiest, from), allowed(limit))
				require.Positive(t, s.since(busiest, from))
			})
		}
	}
}

// TestPauseAndLeavingOutliveLapsedEntry covers the other terms of a server, and a later start
// of it, to which they do not apply.
func TestPauseAndLeavingOutliveLapsedEntry(t *testing.T) {
	d := newDispatcher(testRoute())
	const id = "shop-north-a"
	lapse := func(started int64) *server {
		entry := d.servers[id].entry
		d.Step(&CatalogChanged{At: at(time.Second), Change: &catalog.ServerRemoved{ID: id}})
		require.Nil(t, d.servers[id])
		entry.Sequence++
		entry.StartedMillis += started
		d.Step(&CatalogChanged{At: at(2 * time.Second), Change: &catalog.ServerChange{Server: entry}})
		return d.servers[id]
	}
	d.pause(at(0), d.servers[id], 10*time.Second)
	d.applyLeaving(at(0), d.servers[id], true)
	s := lapse(0)
	require.Positive(t, s.pauseWait(at(2*time.Second)))
	require.True(t, d.paused[s])
	require.True(t, s.leaves())
	s = lapse(1)
	require.Zero(t, s.pauseWait(at(2*time.Second)))
	require.False(t, s.leaves())
}

// TestTermsOfServersThatStayAwayAreForgotten covers entries that do not come back.
func TestTermsOfServersThatStayAwayAreForgotten(t *testing.T) {
	d := newDispatcher(testRoute())
	const id = "shop-north-a"
	d.applyLeaving(at(0), d.servers[id], true)
	d.Step(&CatalogChanged{At: at(time.Second), Change: &catalog.ServerRemoved{ID: id}})
	require.Len(t, d.lapsedTerms, 1)
	d.Step(&Tick{At: at(time.Hour)})
	require.Empty(t, d.lapsedTerms)
}
