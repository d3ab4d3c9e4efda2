package health

import (
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// RecordReport records a server's report on its health and load, or the error that
// prevented the report. Reports that are older than ReportLifetime, or older than
// the last one received, are ignored.
func (t *Tracker) RecordReport(now model.Instant, r *event.ServerReported) {
	s := t.byName[r.Backend]
	if s == nil || r.At < s.report.at || now.Sub(r.At) > t.settings.ReportLifetime {
		return
	}
	if r.Err != nil {
		t.probeFailed(now, s)
		return
	}
	cold := r.Cold && !s.report.cold
	s.report = report{at: r.At, slots: max(0, r.Slots), cold: r.Cold}
	t.dirty = true
	t.reportedDrain(now, s, r.Draining)
	if r.Healthy {
		t.reportedHealthy(now, s)
	} else {
		t.reportedUnhealthy(now, s)
	}
	if cold {
		t.reportedCold(now, s)
	}
}

// LastAnswer returns when a server last reported or answered a request successfully, 0 if it
// has not.
func (t *Tracker) LastAnswer(name model.BackendName) model.Instant {
	s := t.byName[name]
	if s == nil {
		return 0
	}
	return max(s.report.at, s.lastSuccess)
}

// reportedDrain applies a reported drain immediately. It withdraws the drain only
// ReportLifetime after the server last announced it, since an earlier report may
// lag behind the announcement.
func (t *Tracker) reportedDrain(now model.Instant, s *server, draining bool) {
	if draining {
		s.lastDrainNotice = now
		t.MarkDraining(now, s.Name, SourceServer)
		return
	}
	if now.Sub(s.lastDrainNotice) >= t.settings.ReportLifetime {
		t.ClearDraining(now, s.Name, SourceServer)
	}
}

// probeFailed ejects a server that is waiting for a probe after its ejection has
// run out. For any other server a missing report proves nothing.
func (t *Tracker) probeFailed(now model.Instant, s *server) {
	if s.condition == Probing && !s.trial {
		t.eject(now, s, ReasonProbeFailed)
	}
}

// reportedHealthy returns a server to service through a slow start if it is
// waiting for a successful probe or was ejected by a report alone.
func (t *Tracker) reportedHealthy(now model.Instant, s *server) {
	if s.condition != Probing && !(s.condition == Ejected && s.ejectedByReport) {
		return
	}
	if s.report.at < s.since {
		return
	}
	s.consecutiveRefusals = 0
	t.beginSlowStart(now, s, ReasonProbed, 0)
}

// reportedUnhealthy ejects the server within ReportShare, unless recent outcomes of
// attempts at it contradict the report. A server that is waiting for a probe gets a
// trial request instead, since the report may be misleading.
func (t *Tracker) reportedUnhealthy(now model.Instant, s *server) {
	if s.condition == Probing {
		s.trial = true
		return
	}
	if s.outOfService() || s.drains != 0 || t.succeededRecently(now, s) {
		return
	}
	reported := s.group.count(func(other *server) bool { return other.outOfService() && other.ejectedByReport })
	if reported < t.maxServersByReport(s.group) && t.withinEjectShare(s.group) {
		t.eject(now, s, ReasonReported)
	}
}

// succeededRecently reports whether the last outcome of an attempt at the server
// was a success within ReportLifetime.
func (t *Tracker) succeededRecently(now model.Instant, s *server) bool {
	return s.distinctFailures == 0 && s.lastSuccess != 0 && now.Sub(s.lastSuccess) <= t.settings.ReportLifetime
}

// maxServersByReport returns how many servers of the group may be ejected because of
// reports alone, and how many may be in a slow start because of them.
func (t *Tracker) maxServersByReport(g *group) int {
	return int(t.settings.ReportShare * float64(g.notDraining()))
}

// reportedCold puts a healthy server through a slow start, within ReportShare.
func (t *Tracker) reportedCold(now model.Instant, s *server) {
	if s.condition != Healthy || s.drains != 0 {
		return
	}
	cold := s.group.count(func(other *server) bool {
		return other.condition == SlowStart && other.reason == ReasonCold
	})
	if cold < t.maxServersByReport(s.group) {
		t.beginSlowStart(now, s, ReasonCold, 1)
	}
}
