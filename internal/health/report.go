package health

import (
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Report records a server's own word on its health and load, or that it could
// not be had. Reports that are old or overtaken are ignored.
func (t *Tracker) Report(now model.Instant, r *event.ServerReported) {
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

// reportedDrain honours the server's word that it leaves at once, and takes it
// back only when reports no longer lag behind it.
func (t *Tracker) reportedDrain(now model.Instant, s *server, draining bool) {
	if draining {
		s.saidLeaving = now
		t.Leaving(now, s.Name, SourceServer)
		return
	}
	if now.Sub(s.saidLeaving) >= t.settings.ReportLifetime {
		t.Staying(now, s.Name, SourceServer)
	}
}

// probeFailed counts only where the ejection has run out and a probe is what the
// server waits for. Elsewhere a missing report says nothing.
func (t *Tracker) probeFailed(now model.Instant, s *server) {
	if s.condition == Probing && !s.trial {
		t.eject(now, s, ReasonProbeFailed)
	}
}

// reportedHealthy brings a server back that waits for a successful probe.
func (t *Tracker) reportedHealthy(now model.Instant, s *server) {
	if s.condition != Probing && !(s.condition == Ejected && s.byReport) {
		return
	}
	if s.report.at < s.since {
		return
	}
	s.refused = 0
	t.startSlowly(now, s, ReasonProbed, 0)
}

// reportedUnhealthy ejects the server within the share left to reports, unless
// its own recent outcomes say otherwise. A server that waits for a probe gets a
// trial request instead, since the report may mislead.
func (t *Tracker) reportedUnhealthy(now model.Instant, s *server) {
	if s.condition == Probing {
		s.trial = true
		return
	}
	if s.out() || s.drains != 0 || t.servesWell(now, s) {
		return
	}
	reported := s.group.count(func(other *server) bool { return other.out() && other.byReport })
	if reported < t.reportShare(s.group) && t.withinEjectShare(s.group) {
		t.eject(now, s, ReasonReported)
	}
}

// servesWell reports whether the server's last recent outcome was a success.
func (t *Tracker) servesWell(now model.Instant, s *server) bool {
	return s.failures == 0 && s.lastSuccess != 0 && now.Sub(s.lastSuccess) <= t.settings.ReportLifetime
}

// reportShare is the number of servers of the group that reports alone may take
// out of service or put through a slow start.
func (t *Tracker) reportShare(g *group) int {
	return int(t.settings.ReportShare * float64(g.staying()))
}

// reportedCold puts a healthy server through a slow start.
func (t *Tracker) reportedCold(now model.Instant, s *server) {
	if s.condition != Healthy || s.drains != 0 {
		return
	}
	cold := s.group.count(func(other *server) bool {
		return other.condition == SlowStart && other.why == ReasonCold
	})
	if cold < t.reportShare(s.group) {
		t.startSlowly(now, s, ReasonCold, 1)
	}
}
