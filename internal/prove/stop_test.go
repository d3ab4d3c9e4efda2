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

// lastStartLimit bounds the time from the announcement of a stop to the last start of
// a request at the leaving backend server.
const lastStartLimit = 2 * time.Second

// checkNoneInterrupted checks that no request that ended after from failed without a
// definite outcome, except repeats of keys in progress.
func checkNoneInterrupted(t *testing.T, l *load, from time.Time) {
	t.Helper()
	interrupted := 0
	for _, o := range l.history.all() {
		if o.Ended.After(from) && o.indeterminate() && o.Cause != "in-progress" {
			interrupted++
			t.Errorf("interrupted by a planned stop: %v", o)
		}
	}
	t.Logf("requests interrupted: %d; without an answer: %q", interrupted, l.history.unansweredBySecond(from))
}

// TestStopOfBackendServer announces the stop of two backend servers in each of the
// three ways, and checks that it interrupts no request and that no request starts there
// later than lastStartLimit.
func TestStopOfBackendServer(t *testing.T) {
	name := func(i int) string { return fmt.Sprintf("%s-%s-0", services[i%2], zoneName(i%2)) }
	announcements := map[string]func(f *fleet, server *backend.Server){
		"by the operator": func(f *fleet, s *backend.Server) { f.runCommand("stop", "backend:"+s.Name(), "-m", "new disk") },
		"by the server":   func(_ *fleet, s *backend.Server) { s.SetFaults(backend.Faults{Draining: true}) },
		"by the platform's list": func(f *fleet, s *backend.Server) {
			f.table.SetInstance(wire.Instance{Backend: s.Name(), Zone: zoneName(0), Leaving: true}, 0)
		},
	}
	for method, announce := range announcements {
		t.Run(method, func(t *testing.T) {
			f := startFleet(t, defaultShape)
			l := f.startLoad(1, steadyRate)
			time.Sleep(2 * time.Second)
			stoppedAt := time.Now()
			leaving := []*backend.Server{f.servers[name(0)], f.servers[name(1)]}
			for _, s := range leaving {
				announce(f, s)
			}
			announced := time.Now()
			time.Sleep(5 * time.Second)
			f.checkRequests(l)
			checkNoneInterrupted(t, l, stoppedAt)
			for _, s := range leaving {
				last := time.UnixMilli(s.Runs().LastStart).Sub(announced)
				t.Logf("%s: last request started %v after the announcement", s.Name(), last)
				require.LessOrEqual(t, last, lastStartLimit)
			}
		})
	}
}

func TestStopOfInstance(t *testing.T) {
	perSeed(t, func(t *testing.T, seed uint64) {
		f := startFleet(t, defaultShape)
		l := f.startLoad(seed, steadyRate)
		time.Sleep(2 * time.Second)
		stoppedAt := time.Now()
		require.NoError(t, f.terminate(f.processes[int(seed)%len(f.processes)]))
		t.Logf("left after %v", time.Since(stoppedAt))
		time.Sleep(2 * time.Second)
		f.checkRequests(l)
		checkNoneInterrupted(t, l, stoppedAt)
	}, 1, 2)
}
