package health

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// resultClass classifies the result of an attempt by what it shows about its
// server.
type resultClass uint8

const (
	inconclusive resultClass = iota
	succeeded
	failed
	refused // the server accepted no connection
)

func classifyResult(result event.AttemptResult) resultClass {
	switch result {
	case event.AttemptComplete:
		return succeeded
	case event.AttemptFailed, event.AttemptBroken, event.AttemptTruncated, event.AttemptTimeout:
		return failed
	case event.AttemptNotSent:
		return refused
	}
	return inconclusive
}

// Attempt describes one finished attempt at a backend server.
type Attempt struct {
	Backend model.BackendName
	Result  event.AttemptResult
	Started model.Instant
	// Draining reports that the server announced in its response that it is draining.
	Draining bool
}

// RecordOutcome records the end of an attempt that overlapped no other attempt.
func (t *Tracker) RecordOutcome(now model.Instant, name model.BackendName, result event.AttemptResult, draining bool) {
	t.RecordAttempt(now, Attempt{Backend: name, Result: result, Started: now, Draining: draining})
}

// RecordAttempt records the end of an attempt.
//
// Concurrent attempts that lose their connections together count as one failure
// towards an ejection, since something on the network path may have dropped the
// connections while new ones work. The others only lower the server's limit until
// its next success.
func (t *Tracker) RecordAttempt(now model.Instant, a Attempt) {
	s := t.byName[a.Backend]
	if s == nil {
		return
	}
	if a.Draining {
		s.lastDrainNotice = now
		t.MarkDraining(now, s.Name, SourceServer)
	}
	switch classifyResult(a.Result) {
	case succeeded:
		t.success(now, s)
	case failed:
		s.consecutiveRefusals = 0
		t.failure(now, s, a)
	case refused:
		s.consecutiveRefusals++
		t.failure(now, s, a)
	}
}

// lostConnection reports whether the attempt ended because its connection broke
// or timed out.
func (a *Attempt) lostConnection() bool {
	return a.Result == event.AttemptBroken || a.Result == event.AttemptTruncated || a.Result == event.AttemptTimeout
}

// briefFailurePeriod is the longest period of failures after which the next success
// restores the server's full limit at once. After a longer period the server may
// have been down, and its slots open through a slow start like those of a returned
// server.
const briefFailurePeriod = 2 * time.Second

func (t *Tracker) success(now model.Instant, s *server) {
	t.dirty = t.dirty || s.failureStreak > 0 || s.heldInService
	reducedSlots := s.slotsAfterFailures()
	reduced := s.condition == Healthy && !s.heldInService && reducedSlots < s.Slots
	longFailure := reduced && now.Sub(s.streakStart) > briefFailurePeriod
	s.clearFailures()
	s.consecutiveRefusals = 0
	s.lastSuccess = now
	s.window.add(now, t.settings.FailureWindow/2, false)
	if longFailure {
		t.beginSlowStart(now, s, ReasonRecovered, reducedSlots)
		return
	}
	if s.heldInService || (s.condition == Probing && s.trial) {
		s.heldInService = false
		t.beginSlowStart(now, s, ReasonTrial, 1)
	}
}

func (t *Tracker) failure(now model.Instant, s *server, a Attempt) {
	if s.failureStreak == 0 {
		s.streakStart = now
	}
	s.failureStreak++
	t.dirty = true
	if a.lostConnection() && a.Started < s.lastFailure {
		return
	}
	s.distinctFailures++
	s.lastFailure = now
	s.window.add(now, t.settings.FailureWindow/2, true)
	if s.condition == Probing && s.trial {
		t.eject(now, s, ReasonTrialFailed)
		return
	}
	if t.ejectReason(s) != ReasonNone {
		t.evaluateEjections(now, s.group)
	}
}

// ejectReason returns why the outcomes of attempts at the server call for its
// ejection, or ReasonNone if they do not.
func (t *Tracker) ejectReason(s *server) Reason {
	switch {
	case s.unreachable(t.settings.RefusedConnections):
		return ReasonRefused
	case s.distinctFailures >= t.settings.ConsecutiveFailures:
		return ReasonFailures
	case s.distinctFailures > 0 && s.window.failing(t.settings.FailureShare, t.settings.MinAttempts):
		return ReasonFailureShare
	}
	return ReasonNone
}
