package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// shedAll sheds a request's attempts, each with the given load, until it is refused.
func shedAll(t *testing.T, d *Dispatcher, now model.Instant, id model.RequestID, running, waiting int) *Refuse {
	t.Helper()
	f := arrive(d, now, id, "k")
	for range testRoute().Attempts {
		requireSend(t, f)
		f = requestEffect(d.Step(&AttemptEnded{
			At: now, Request: id, Attempt: runningAttempt(d, id), Result: event.AttemptShed,
			Report: ServerReport{HasLoad: true, Running: running, Waiting: waiting},
		}))
	}
	return requireRefuse(t, f, model.NotRun, model.CauseShed)
}

func TestCallersOfShedRequestsReturnInTime(t *testing.T) {
	d := newDispatcher(testRoute())
	r := shedAll(t, d, start, 1, 1, 0)
	require.LessOrEqual(t, r.RetryAfter, testRoute().Objective/4, "the servers have room, so the caller can still be in time")
	require.GreaterOrEqual(t, r.RetryAfter, minWait, "callers must not return at once")
}

func TestCallersOfFullServersReturnLater(t *testing.T) {
	d := newDispatcher(testRoute())
	for _, id := range []model.BackendName{"shop-north-b", "shop-south-b"} {
		// The load of one server would be taken for that of the other in its region.
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerRemoved{ID: id}})
	}
	r := shedAll(t, d, start, 1, 4, 20)
	require.Greater(t, r.RetryAfter, testRoute().Objective)
	require.LessOrEqual(t, r.RetryAfter, defaultRetryAfter)
}

// TestServersThatShedOften replays servers that shed every second request while they have
// room: nobody refused for want of retries is sent away for longer than a moment.
func TestServersThatShedOften(t *testing.T) {
	const requests = 2000
	d := newDispatcher(testRoute())
	var refused int
	for i := range requests {
		now := at(time.Duration(i) * 5 * time.Millisecond)
		id := model.RequestID(i + 1)
		f := arrive(d, now, id, "k")
		for attempt := 0; ; attempt++ {
			if r, ok := f.(*Refuse); ok {
				refused++
				require.Equal(t, minWait, r.RetryAfter, "refused for %s", r.Cause)
				break
			}
			requireSend(t, f)
			result := event.AttemptShed
			if (i+attempt)%4 >= 2 {
				result = event.AttemptComplete
			}
			f = requestEffect(d.Step(&AttemptEnded{
				At: now, Request: id, Attempt: runningAttempt(d, id), Result: result,
				Report: ServerReport{HasLoad: true, Running: 1},
			}))
			if result == event.AttemptComplete {
				d.Step(&RequestEnded{At: now, Request: id})
				break
			}
		}
	}
	require.Greater(t, refused, requests/10)
}
