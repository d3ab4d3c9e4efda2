//go:build prove

package prove

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
	"github.com/primrosenotch/primrosenotch/internal/standin/backend"
)

// lastWorkWithin bounds new work at a leaving server after its announcement.
const lastWorkWithin = 2 * time.Second

// checkNothingCut checks that no request failed after a moment.
func checkNothingCut(t *testing.T, l *load, from time.Time) {
	t.Helper()
	cuts := 0
	for _, o := range l.history.all() {
		if o.Ended.After(from) && o.mayRunLater() && o.Cause != "in-progress" {
			cuts++
			t.Errorf("cut by a planned stop: %v", o)
		}
	}
	t.Logf("requests cut: %d; without an answer: %q", cuts, l.history.bySecond(from))
}

// TestStopOfBackendServer announces a stop in each of the three ways.
func TestStopOfBackendServer(t *testing.T) {
	name := func(i int) string { return fmt.Sprintf("%s-%s-0", services[i%2], zoneName(i%2)) }
	announce := map[string]func(f *fleet, server *backend.Server){
		"by the operator": func(f *fleet, s *backend.Server) { f.operator("stop", "backend:"+s.Name(), "-m", "new disk") },
		"by the server":   func(_ *fleet, s *backend.Server) { s.SetFaults(backend.Faults{Draining: true}) },
		"by the platform's list": func(f *fleet, s *backend.Server) {
			f.table.SetLine(wire.Instance{Backend: s.Name(), Zone: zoneName(0), Leaving: true}, 0)
		},
	}
	for how, tell := range announce {
		t.Run(how, func(t *testing.T) {
			f := startFleet(t, defaultShape)
			l := f.startLoad(1, steadyRate)
			time.Sleep(2 * time.Second)
			at := time.Now()
			leaving := []*backend.Server{f.servers[name(0)], f.servers[name(1)]}
			for _, s := range leaving {
				tell(f, s)
			}
			announced := time.Now()
			time.Sleep(5 * time.Second)
			f.checkRequests(l)
			checkNothingCut(t, l, at)
			for _, s := range leaving {
				last := time.UnixMilli(s.Runs().LastStart).Sub(announced)
				t.Logf("%s: last work %v after the announcement", s.Name(), last)
				require.LessOrEqual(t, last, lastWorkWithin)
			}
		})
	}
}

func TestStopOfInstance(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		l := f.startLoad(seed, steadyRate)
		time.Sleep(2 * time.Second)
		at := time.Now()
		require.NoError(t, f.terminate(f.processes[int(seed)%len(f.processes)]))
		t.Logf("left after %v", time.Since(at))
		time.Sleep(2 * time.Second)
		f.checkRequests(l)
		checkNothingCut(t, l, at)
	}, 1, 2)
}
