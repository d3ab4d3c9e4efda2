package steering

import (
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// epoch is a text and the time from which the baseline moves to it.
type epoch struct {
	layout *layout
	since  model.Instant
}

// moveOf is the move of a service's baseline that began with a text of the
// history. Zones that the text leaves without servers keep their part until the
// others have taken it over at the cap's rate; what belongs there meanwhile can
// only be spill.
func (p *Planner) moveOf(at int, service model.ServiceName, home []model.ZoneName) move {
	e := &p.history[at]
	index, ok := e.layout.serviceIndex[service]
	if !ok {
		return move{}
	}
	to := e.layout.baselineOf(index, e.layout.indexes(home))
	var from []Weight
	if at > 0 {
		before := p.moveOf(at-1, service, home)
		from = before.weights(e.since)
	}
	return newMove(from, to, e.layout.text.Limits.ShiftCap, e.since)
}
