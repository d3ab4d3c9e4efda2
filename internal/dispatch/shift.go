package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// shiftWindow is the time over which a shift between regions is counted.
const shiftWindow = 2 * time.Second

// shiftMargin is the part of the cap that is used: a region's instances see different
// parts of its requests.
const shiftMargin = 0.8

// overflow counts the requests that are sent to another region than their object's
// first place, since that is full. While it stays below the cap, neither its rise nor
// its end moves more of a region's requests than allowed at a time.
type overflow struct {
	all   *pacing.Counter
	moved *pacing.Counter
}

func newOverflow() overflow {
	return overflow{all: pacing.NewCounter(shiftWindow), moved: pacing.NewCounter(shiftWindow)}
}

// allows reports whether one more request may be moved.
func (o *overflow) allows(now model.Instant, limit float64) bool {
	return float64(o.moved.Count(now)+1) <= shiftMargin*limit*float64(o.all.Count(now)+1)
}

// lostFor is how long after servers failed or left requests may move between regions
// beyond the cap: their room has to be found elsewhere at once.
const lossWindow = 8 * time.Second

// lostShare is the part of a service's servers whose loss lifts the cap. Less fits into
// the room of the others.
const lossThreshold = 0.05

// lost notes that a server failed, leaves or is evacuated.
func (d *Dispatcher) noteServerLoss(now model.Instant, s *server) {
	d.service(s.entry.Service).losses.Add(now, 1)
}

// mayMove reports whether a request for a service may overflow into another region.
func (d *Dispatcher) mayMove(now model.Instant, name model.ServiceName) bool {
	losses := float64(d.service(name).losses.Count(now))
	if d.settings.Naive || losses > lossThreshold*float64(len(d.byService[name])) {
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
