package health

import (
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

// Outcome records the end of an attempt at a server. With draining the server
// said on the answer that it is leaving.
func (t *Tracker) Outcome(now model.Instant, name model.BackendName, result event.AttemptResult, draining bool) {
	s := t.byName[name]
	if s == nil {
		return
	}
	if draining {
		s.saidLeaving = now
		t.Leaving(now, name, SourceServer)
	}
	switch verdictOf(result) {
	case succeeded:
		t.success(now, s)
	case failed:
		s.refused = 0
		t.failure(now, s)
	case refused:
		s.refused++
		t.failure(now, s)
	}
}

func (t *Tracker) success(now model.Instant, s *server) {
	s.failures = 0
	s.refused = 0
	s.lastSuccess = now
	s.window.add(now, t.settings.FailureWindow/2, false)
	if s.held {
		s.held = false
		t.dirty = true
	}
	if s.condition == Probing && s.trial {
		t.startSlowly(now, s, ReasonTrial, 1)
	}
}

func (t *Tracker) failure(now model.Instant, s *server) {
	s.failures++
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
