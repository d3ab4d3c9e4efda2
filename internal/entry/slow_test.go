package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowRunOnNewConnectionIsNotGivenUp guards against cancelling a run that would have
// been answered in time: its replacement, started at half of the deadline, is not.
func TestSlowRunOnNewConnectionIsNotGivenUp(t *testing.T) {
	f := startFleet(t)
	a := f.send(0, http.MethodGet, "/shop/slow", nil, "X-Request-Id", "slow-1", "X-Deadline-Ms", "2000")
	require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
	require.Equal(t, "served", a.header.Get("X-Outcome"))
	runs := 0
	for _, server := range f.servers {
		runs += server.Runs().RequestIDs["slow-1"]
	}
	require.Equal(t, 1, runs)
}

// TestSlowRunOnReusedConnectionIsNotGivenUp guards against the same on a connection that has
// carried a request of another route: nothing is known of the run times of this one.
func TestSlowRunOnReusedConnectionIsNotGivenUp(t *testing.T) {
	f := startFleet(t)
	for i := range 8 {
		a := f.send(i%len(f.callers), http.MethodPut, "/files/a", strings.NewReader("x"))
		require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
	}
	a := f.send(0, http.MethodGet, "/shop/slow", nil, "X-Request-Id", "slow-2", "X-Deadline-Ms", "2000")
	require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
	require.Equal(t, "served", a.header.Get("X-Outcome"))
	require.Equal(t, 1, f.runsOf("slow-2"))
}

// slowRunTime is the run time of requests below slowPath.
const (
	slowPath    = "/shop/slow"
	slowRunTime = 1800 * time.Millisecond
)
