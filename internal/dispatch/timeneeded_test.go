package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestTimeNeededFollowsObservedRunTimes covers what a stopping instance goes by: nothing is
// known of a route without answers, and a route whose requests take long is not taken for one
// that is quick.
func TestTimeNeededFollowsObservedRunTimes(t *testing.T) {
	const host, path, timeout = "shop.example", "/browse/x", 20 * time.Second
	for _, runTime := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		d := newDispatcher(testRoute())
		longest := effectiveTimeout(timeout, testRoute().Timeout)
		now := start
		most, usual := d.TimeNeeded(host, path, timeout)
		require.Equal(t, longest, most)
		require.Equal(t, longest, usual, "nothing is known yet")
		for id := model.RequestID(1); id <= 100; id++ {
			sent := requireSend(t, requestEffect(d.Step(&RequestArrived{At: now, Request: id, Host: host, Path: path, CallerTimeout: timeout})))
			now = now.Add(runTime)
			d.Step(&AttemptEnded{At: now, Request: id, Attempt: sent.Attempt, Result: event.AttemptComplete})
			d.Step(&RequestEnded{At: now, Request: id})
			now = now.Add(100 * time.Millisecond)
		}
		most, usual = d.TimeNeeded(host, path, timeout)
		require.Equal(t, longest, most)
		require.LessOrEqual(t, usual, most)
		require.GreaterOrEqual(t, usual, min(most, runTime))
		if runTime < time.Second {
			require.Less(t, usual, time.Second)
		}
		_, usual = d.TimeNeeded(host, path, runTime/2)
		require.Equal(t, runTime/2, usual, "the caller waits no longer")
		_, usual = d.TimeNeeded("other.example", path, timeout)
		require.Equal(t, timeout, usual, "no route")
	}
}
