package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// hedgedRequest returns a dispatcher with request 1 at two servers: the health check of the
// first one got no connection.
func hedgedRequest(t *testing.T, route catalog.Route) (*Dispatcher, *Send, *Send) {
	t.Helper()
	d := newDispatcher(route)
	first := requireSend(t, arrive(d, start, 1, "k"))
	hedged := hedges(d.Step(&ServerProbed{At: at(time.Second), Server: first.Server.ID}))
	require.Len(t, hedged, 1)
	return d, first, hedged[0]
}

func end(d *Dispatcher, s *Send, result event.AttemptResult) Effect {
	return requestEffect(d.Step(&AttemptEnded{At: at(time.Second), Request: s.Request, Attempt: s.Attempt, Result: result}))
}

// TestRunningAttemptIsNotGivenUpForFailedHealthCheck guards against LOST: under a burst,
// servers that work on their requests accept no connection for a health check.
func TestRunningAttemptIsNotGivenUpForFailedHealthCheck(t *testing.T) {
	for _, result := range []event.AttemptResult{
		event.AttemptNotSent, event.AttemptShed, event.AttemptBroken, event.AttemptTruncated, event.AttemptTimeout,
	} {
		d, first, second := hedgedRequest(t, testRoute())
		require.Nil(t, end(d, second, result), "%v: the first attempt is still running", result)
		require.Nil(t, end(d, first, event.AttemptComplete))
		require.True(t, d.requests[1].answered)
	}
}

// TestSecondAttemptIsNotGivenUpForTheFirst guards against a refusal while the second of two
// attempts runs.
func TestSecondAttemptIsNotGivenUpForTheFirst(t *testing.T) {
	d, first, second := hedgedRequest(t, testRoute())
	require.Nil(t, end(d, first, event.AttemptBroken))
	requireRefuse(t, end(d, second, event.AttemptShed), model.Unknown, model.CauseShed)
}

// TestHedgesKeepToTheLimitsOfRetries: without attempts, retry budget, servers or time left,
// the running attempt stays the only one.
func TestHedgesKeepToTheLimitsOfRetries(t *testing.T) {
	failedCheck := func(d *Dispatcher, s *Send) []*Send {
		return hedges(d.Step(&ServerProbed{At: at(time.Second), Server: s.Server.ID}))
	}
	t.Run("attempts", func(t *testing.T) {
		route := testRoute()
		route.Attempts = 1
		d := newDispatcher(route)
		require.Empty(t, failedCheck(d, requireSend(t, arrive(d, start, 1, "k"))))
	})
	t.Run("one at a time", func(t *testing.T) {
		route := testRoute()
		route.Attempts = 3
		d, first, second := hedgedRequest(t, route)
		require.Empty(t, failedCheck(d, first))
		require.Empty(t, failedCheck(d, second))
	})
	t.Run("retry budget", func(t *testing.T) {
		d := newDispatcher(testRoute())
		s := requireSend(t, arrive(d, start, 1, "k"))
		for d.service("shop").budget.Take(start, d.instances) {
		}
		require.Empty(t, failedCheck(d, s))
	})
	t.Run("servers", func(t *testing.T) {
		d := newDispatcher(testRoute())
		s := requireSend(t, arrive(d, start, 1, "k"))
		for _, other := range d.servers {
			other.entry.Draining = true
		}
		require.Empty(t, failedCheck(d, s))
	})
	t.Run("time", func(t *testing.T) {
		d := newDispatcher(testRoute())
		s := requireSend(t, arrive(d, start, 1, "k"))
		require.Empty(t, hedges(d.Step(&ServerProbed{At: at(time.Minute), Server: s.Server.ID})))
	})
	t.Run("answer", func(t *testing.T) {
		d := newDispatcher(testRoute())
		s := requireSend(t, arrive(d, start, 1, "k"))
		d.Step(&AnswerStarted{Request: 1})
		require.Empty(t, failedCheck(d, s))
	})
}

// TestEndedRequestsLeaveNoLoad guards against load that stays counted at the server of an
// attempt whose end is reported after its request's.
func TestEndedRequestsLeaveNoLoad(t *testing.T) {
	d, first, second := hedgedRequest(t, testRoute())
	end(d, second, event.AttemptComplete)
	d.Step(&RequestEnded{At: at(time.Second), Request: 1})
	require.Nil(t, end(d, first, event.AttemptCancelled))
	for _, s := range d.servers {
		require.Zero(t, s.inFlight, s.entry.ID)
	}
}

// TestOwnShortageDoesNotEjectServers guards against an instance without file descriptors or
// free connections that takes every server out of use.
func TestOwnShortageDoesNotEjectServers(t *testing.T) {
	d := newDispatcher(testRoute())
	first := requireSend(t, arrive(d, start, 1, "k"))
	next := requireSend(t, requestEffect(d.Step(&AttemptEnded{
		At: start, Request: 1, Attempt: first.Attempt, Result: event.AttemptNotSent, OwnShortage: true,
	})))
	require.NotEqual(t, first.Server.ID, next.Server.ID)
	s := d.servers[first.Server.ID]
	require.Zero(t, s.ejectedUntil)

	s.ejectedUntil, s.failures, s.probing = at(time.Second), 1, true
	require.Empty(t, d.Step(&ServerProbed{At: at(time.Second), Server: first.Server.ID, OwnShortage: true}))
	require.Equal(t, at(time.Second+minEjection), s.ejectedUntil, "checked again soon")
	require.Equal(t, 1, s.failures)
	require.False(t, s.probing)
}

// TestSecondAttemptIsTriedAgainWhileTheFirstIsInDoubt guards against requests at a server
// without power that end at their deadline because their second attempt failed at once.
func TestSecondAttemptIsTriedAgainWhileTheFirstIsInDoubt(t *testing.T) {
	for result, again := range map[event.AttemptResult]bool{
		event.AttemptNotSent:   true,
		event.AttemptShed:      true,
		event.AttemptBroken:    true,
		event.AttemptCancelled: false, // the caller has left
	} {
		route := testRoute()
		route.Attempts = 3
		d, first, second := hedgedRequest(t, route)
		third := hedges(d.Step(&AttemptEnded{At: at(time.Second), Request: 1, Attempt: second.Attempt, Result: result}))
		if !again {
			require.Empty(t, third, result)
			continue
		}
		require.Len(t, third, 1, result)
		require.NotContains(t, []model.BackendName{first.Server.ID, second.Server.ID}, third[0].Server.ID)
	}
	t.Run("limits", func(t *testing.T) {
		d, _, second := hedgedRequest(t, testRoute())
		require.Empty(t, hedges(d.Step(&AttemptEnded{At: at(time.Second), Request: 1, Attempt: second.Attempt, Result: event.AttemptShed})),
			"the route allows two attempts")
		d, _, second = hedgedRequest(t, testRoute())
		for d.service("shop").budget.Take(at(time.Second), d.instances) {
		}
		require.Len(t, hedges(d.Step(&AttemptEnded{At: at(time.Second), Request: 1, Attempt: second.Attempt, Result: event.AttemptNotSent})), 1,
			"an attempt that reached no server has used none of the retry budget")
	})
	t.Run("answering server", func(t *testing.T) {
		route := testRoute()
		route.Attempts = 3
		d, first, second := hedgedRequest(t, route)
		d.Step(&ServerProbed{At: at(time.Second), Server: first.Server.ID, Reached: true, Healthy: true})
		require.Empty(t, hedges(d.Step(&AttemptEnded{At: at(time.Second), Request: 1, Attempt: second.Attempt, Result: event.AttemptShed})))
	})
}

// TestSecondAttemptIsMadeOnceAServerHasRoom guards against requests at a server without power
// that wait for its next health check, although another server can take them before that.
func TestSecondAttemptIsMadeOnceAServerHasRoom(t *testing.T) {
	d := newDispatcher(testRoute())
	first := requireSend(t, arrive(d, start, 1, "k"))
	for _, other := range d.servers {
		other.entry.Draining = true
	}
	require.Empty(t, hedges(d.Step(&ServerProbed{At: at(time.Second), Server: first.Server.ID})))
	require.Empty(t, hedges(d.Step(&Tick{At: at(1100 * time.Millisecond)})))
	for _, other := range d.servers {
		other.entry.Draining = false
	}
	require.Len(t, hedges(d.Step(&Tick{At: at(1200 * time.Millisecond)})), 1)
	require.Empty(t, hedges(d.Step(&Tick{At: at(1300 * time.Millisecond)})), "one at a time")
}
