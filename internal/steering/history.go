package steering

import (
	"math"
	"reflect"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxHistory bounds how many texts a move of the baseline is traced back.
const maxHistory = 8

// epoch is a text and the time from which the baseline moves to it.
type epoch struct {
	layout *layout
	since  model.Instant
}

// recordEpoch appends the layout in force to the history. Where the history does
// not end with the text before it, the move starts from that text as if the
// baseline had reached it.
func (p *Planner) recordEpoch(previous *config.Text, acceptedAt model.Instant) {
	last := len(p.history) - 1
	follows := last >= 0 && (previous == nil || reflect.DeepEqual(p.history[last].layout.text, previous))
	if !follows {
		p.history = nil
		if previous != nil {
			p.history = []epoch{{layout: newLayout(previous, p.settings), since: math.MinInt64}}
		}
	}
	p.history = append(p.history, epoch{layout: p.layout, since: acceptedAt})
	p.history = p.history[p.firstUnfinished(acceptedAt):]
}

// firstUnfinished is the index of the earliest text that still shapes the moves
// at an instant.
func (p *Planner) firstUnfinished(now model.Instant) int {
	last := len(p.history) - 1
	for i := last - 1; i > 0; i-- {
		e := &p.history[i]
		if now.Sub(e.since) >= longestMove(e.layout.text.Limits.ShiftCap) {
			return i
		}
	}
	return max(0, last+1-maxHistory)
}

// longestMove is how long a zone takes from nothing to its whole baseline.
func longestMove(limit config.ShiftCap) time.Duration {
	if limit.Fraction <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(limit.Window) / limit.Fraction))
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
