package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// ColdSettings bound the requests that a cold server gets in any second from all
// instances together: Factor times the service's cold rate, and Slack more.
type ColdSettings struct {
	Factor float64
	Slack  float64
}

// coldMargin is the part of the bound that is used, so that instances that
// disagree on their number stay within it together.
const coldMargin = 0.7

// coldPart returns how many requests a second this instance may send to a cold
// server. Where an even part would be less than one, only some instances send.
func (d *Dispatcher) coldShare(s *server) int {
	svc := d.config.Service(s.entry.Service)
	if svc == nil {
		return 0
	}
	total := coldMargin * (svc.ColdRate*d.settings.Cold.Factor + d.settings.Cold.Slack)
	return int(total / float64(max(1, d.instances)))
}

// coldWait returns how long until this instance may send a cold server its next
// request, 0 for now.
func (d *Dispatcher) coldWait(now model.Instant, s *server) time.Duration {
	if !s.cold(now) {
		return 0
	}
	return s.coldSends.TimeUntilBelow(now, d.coldShare(s))
}
