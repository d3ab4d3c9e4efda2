package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// verdict is what the result of an attempt says about its server.
type verdict uint8

const (
	nothingSaid verdict = iota
	succeeded
	failed
	refused // no connection
)

func verdictOf(result event.AttemptResult) verdict {
	switch result {
	case event.AttemptComplete:
		return succeeded
	case event.AttemptFailed, event.AttemptBroken, event.AttemptCut, event.AttemptTimeout:
		return failed
	case event.AttemptNotSent:
		return refused
	}
	return nothingSaid
}

// Attempt is one attempt at a server that has ended.
type Attempt struct {
	Backend model.BackendName
	Result  event.AttemptResult
	Started model.Instant
	// Draining reports that the server said on the answer that it is leaving.
	Draining bool
}

// Outcome records the end of an attempt that overlapped no other.
func (t *Tracker) Outcome(now model.Instant, name model.BackendName, result event.AttemptResult, draining bool) {
	t.Attempted(now, Attempt{Backend: name, Result: result, Started: now, Draining: draining})
}

// Attempted records the end of an attempt.
//
// Attempts that were under way together and lost their connections together are
// one failure: something between the two ends may have dropped the connections
// while new ones work. The others only narrow the server's limit until its next
// success.
func (t *Tracker) Attempted(now model.Instant, a Attempt) {
	s := t.byName[a.Backend]
	if s == nil {
		return
	}
	if a.Draining {
		s.saidLeaving = now
		t.Leaving(now, s.Name, SourceServer)
	}
	switch verdictOf(a.Result) {
	case succeeded:
		t.success(now, s)
	case failed:
		s.refused = 0
		t.failure(now, s, a)
	case refused:
		s.refused++
		t.failure(now, s, a)
	}
}

// lostConnection reports whether the attempt ended with its connection.
func (a *Attempt) lostConnection() bool {
	return a.Result == event.AttemptBroken || a.Result == event.AttemptCut || a.Result == event.AttemptTimeout
}

// briefStrain is how long a server may have failed for its narrowed limit to be
// lifted at its next success. After longer it may have been gone, and its slots
// open as those of a returned server.
const briefStrain = 2 * time.Second

func (t *Tracker) success(now model.Instant, s *server) {
	t.dirty = t.dirty || s.strain > 0 || s.held
	narrowed := s.openSlots()
	strained := s.condition == Healthy && !s.held && narrowed < s.Slots
	gone := strained && now.Sub(s.strainedAt) > briefStrain
	s.clearFailures()
	s.refused = 0
	s.lastSuccess = now
	s.window.add(now, t.settings.FailureWindow/2, false)
	if gone {
		t.startSlowly(now, s, ReasonRecovered, narrowed)
		return
	}
	if s.held || (s.condition == Probing && s.trial) {
		s.held = false
		t.startSlowly(now, s, ReasonTrial, 1)
	}
}

func (t *Tracker) failure(now model.Instant, s *server, a Attempt) {
	if s.strain == 0 {
		s.strainedAt = now
	}
	s.strain++
	t.dirty = true
	if a.lostConnection() && a.Started < s.lastFailure {
		return
	}
	s.failures++
	s.lastFailure = now
	s.window.add(now, t.settings.FailureWindow/2, true)
	if s.condition == Probing && s.trial {
		t.eject(now, s, ReasonTrialFailed)
		return
	}
	if t.ejectReason(s) != ReasonNone {
		t.reconsider(now, s.group)
	}
}

// ejectReason says why a server's own outcomes call for its ejection.
func (t *Tracker) ejectReason(s *server) Reason {
	switch {
	case s.unreachable(t.settings.RefusedConnections):
		return ReasonRefused
	case s.failures >= t.settings.ConsecutiveFailures:
		return ReasonFailures
	case s.failures > 0 && s.window.failing(t.settings.FailureShare, t.settings.MinAttempts):
		return ReasonFailureShare
	}
	return ReasonNone
}
