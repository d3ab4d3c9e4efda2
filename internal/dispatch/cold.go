package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// ColdSettings limit the requests that a cold server receives within any second from
// all instances together: Factor times the service's cold rate, plus Slack.
type ColdSettings struct {
	Factor float64
	Slack  float64
}

// coldMargin is the fraction of the limit that is used, so that instances that disagree
// on the number of instances stay within it together.
const coldMargin = 0.7

// coldShare returns how many requests per second this instance may send to a cold
// server. Most requests for a server come from instances in its region.
func (d *Dispatcher) coldShare(now model.Instant, s *server) int {
	svc := d.config.Service(s.entry.Service)
	if svc == nil {
		return 0
	}
	total := coldMargin * (svc.ColdRate*d.settings.Cold.Factor + d.settings.Cold.Slack)
	return d.instances.Share(now, pacing.Bound{Key: s.hash, Units: int(total), Near: s.region, Span: s.coldSends.Span, Strict: true})
}

// coldWait returns the time until this instance may send its next request to a cold
// server, 0 if it may immediately.
func (d *Dispatcher) coldWait(now model.Instant, s *server) time.Duration {
	if !s.cold(now) {
		return 0
	}
	return s.coldSends.TimeUntilBelow(now, d.coldShare(now, s))
}
