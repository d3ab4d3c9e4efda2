package dispatch

import (
	"slices"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// evacuations holds the zones whose servers receive no requests.
type evacuations struct {
	active map[model.ZoneName]bool
	// ended holds zones whose evacuation has ended recently.
	ended recent[model.ZoneName, struct{}]
	// doubtful holds the state of zones in a restored store that contradicts what was known
	// before. It takes effect if it still holds when the operator has had time to write again
	// what was lost.
	doubtful map[model.ZoneName]bool
}

func newEvacuations() evacuations {
	return evacuations{
		active:   map[model.ZoneName]bool{},
		ended:    newRecent[model.ZoneName, struct{}](),
		doubtful: map[model.ZoneName]bool{},
	}
}

func (d *Dispatcher) evacuate(at model.Instant, c *catalog.EvacuationChange) {
	delete(d.evacuations.doubtful, c.Zone)
	if d.evacuations.active[c.Zone] == c.Active {
		return
	}
	_, endedRecently := d.evacuations.ended.get(at, c.Zone)
	if d.store.settling(at) && (!c.Active || endedRecently) {
		d.evacuations.doubtful[c.Zone] = c.Active
		d.record(at, string(c.Zone), "change of evacuation deferred", "the store was restored")
		return
	}
	d.setEvacuation(at, c.Zone, c.Active)
}

// applyDoubtfulEvacuations applies the changes that the operator has not corrected since the
// store was restored.
func (d *Dispatcher) applyDoubtfulEvacuations(now model.Instant) {
	if len(d.evacuations.doubtful) == 0 || d.store.settling(now) {
		return
	}
	zones := lo.Keys(d.evacuations.doubtful)
	slices.Sort(zones)
	for _, zone := range zones {
		d.setEvacuation(now, zone, d.evacuations.doubtful[zone])
		delete(d.evacuations.doubtful, zone)
	}
}

func (d *Dispatcher) setEvacuation(at model.Instant, zone model.ZoneName, active bool) {
	d.capacityStale = true
	for _, s := range d.servers {
		if s.entry.Zone == zone {
			d.noteServerLoss(at, s)
		}
	}
	message := "evacuation ended"
	if active {
		d.evacuations.active[zone] = true
		d.evacuations.ended.remove(zone)
		message = "evacuated"
	} else {
		delete(d.evacuations.active, zone)
		d.evacuations.ended.add(at, zone, struct{}{})
		d.markZoneCold(at, zone)
	}
	d.reindexAll(at)
	d.record(at, string(zone), message, "set by the operator")
}

// markZoneCold marks every server of a zone as cold, because idle servers lose their
// warm objects. The next report from a server corrects the estimate.
func (d *Dispatcher) markZoneCold(at model.Instant, zone model.ZoneName) {
	for _, s := range d.servers {
		if s.entry.Zone != zone {
			continue
		}
		if svc := d.config.Service(s.entry.Service); svc != nil {
			s.coldUntil, s.coldAsOf = max(s.coldUntil, at.Add(svc.ColdFor)), at
		}
	}
}
