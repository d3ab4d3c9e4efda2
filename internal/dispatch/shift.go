package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// shiftWindow is the window over which moves between regions are counted.
const shiftWindow = 2 * time.Second

// shiftMargin is the fraction of the cap that is used, because each instance of a region
// sees a different part of the region's requests.
const shiftMargin = 0.8

// overflow counts the requests that are sent to a region other than that of their
// object's first candidate because that server is full. While the overflow stays below
// the cap, neither its start nor its end moves more of a region's requests at a time
// than the cap permits.
type overflow struct {
	all   *pacing.Counter
	moved *pacing.Counter
}

func newOverflow() overflow {
	return overflow{all: pacing.NewCounter(shiftWindow), moved: pacing.NewCounter(shiftWindow)}
}

// allows reports whether one more request may move to another region.
func (o *overflow) allows(now model.Instant, limit float64) bool {
	return float64(o.moved.Count(now)+1) <= shiftMargin*limit*float64(o.all.Count(now)+1)
}

// lossWindow is how long requests may exceed the cap on moves between regions after
// servers failed or left, because replacement capacity is needed immediately.
const lossWindow = 8 * time.Second

// lossThreshold lifts the cap if there were more losses than this fraction of a service's
// servers. Fewer losses can be absorbed by the remaining servers.
const lossThreshold = 0.05

// noteServerLoss counts one loss: an ejection, a broken answer, a draining mark, a
// removal, or an evacuation of the server's zone that started or ended.
func (d *Dispatcher) noteServerLoss(now model.Instant, s *server) {
	d.service(s.entry.Service).losses.Add(now, 1)
}

// mayMove reports whether a request for a service may overflow into another region.
func (d *Dispatcher) mayMove(now model.Instant, name model.ServiceName) bool {
	losses := float64(d.service(name).losses.Count(now))
	if d.settings.RandomServers || losses > lossThreshold*float64(len(d.byService[name])) {
		return true
	}
	return d.overflow.allows(now, d.settings.ShiftCap)
}

func (o *overflow) countSend(now model.Instant, moved bool) {
	o.all.Add(now, 1)
	if moved {
		o.moved.Add(now, 1)
	}
}
