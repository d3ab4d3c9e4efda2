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
	// disturbedAt is when a server last failed or was taken away, 0 for never.
	disturbedAt model.Instant
}

func newOverflow() overflow {
	return overflow{all: pacing.NewCounter(shiftWindow), moved: pacing.NewCounter(shiftWindow)}
}

// allows reports whether one more request may be moved.
func (o *overflow) allows(now model.Instant, limit float64) bool {
	return float64(o.moved.Count(now)+1) <= shiftMargin*limit*float64(o.all.Count(now)+1)
}

// disturbedFor is how long after a failure requests may move between regions beyond
// the cap: the room that failed servers leave has to be found elsewhere at once.
const disturbedFor = 8 * time.Second

// disturbed notes that servers failed or leave.
func (o *overflow) disturbed(now model.Instant) { o.disturbedAt = now }

// mayMove reports whether a request may overflow into another region.
func (d *Dispatcher) mayMove(now model.Instant) bool {
	o := &d.overflow
	if d.settings.Naive || (o.disturbedAt != 0 && now.Sub(o.disturbedAt) < disturbedFor) {
		return true
	}
	return o.allows(now, d.settings.ShiftCap)
}

func (o *overflow) sent(now model.Instant, moved bool) {
	o.all.Add(now, 1)
	if moved {
		o.moved.Add(now, 1)
	}
}
