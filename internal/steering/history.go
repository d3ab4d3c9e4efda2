package steering

import (
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// epoch is a configuration text and the time at which the baseline starts to move
// to it.
type epoch struct {
	layout *layout
	since  model.Instant
}

// moveOf returns the move of a service's baseline that started with the given epoch
// of the history. Zones that lose all servers in that epoch keep their share until
// the other zones have taken it over at the rate of the shift cap. In the meantime,
// requests drawn for them can only be served as spill.
func (p *Planner) moveOf(epochIndex int, service model.ServiceName, home []model.ZoneName) move {
	e := &p.history[epochIndex]
	index, ok := e.layout.serviceIndex[service]
	if !ok {
		return move{}
	}
	to := e.layout.baselineOf(index, e.layout.indexes(home))
	var from []Weight
	if epochIndex > 0 {
		before := p.moveOf(epochIndex-1, service, home)
		from = before.weights(e.since)
	}
	return newMove(from, to, e.layout.text.Limits.ShiftCap, e.since)
}
