// Package steering selects, at the ingress, the zone and the owner that a request is
// sent to. It prefers baseline zones and uses others as spill, subject to headroom,
// deadline and link budget. It performs no I/O and reads no clock.
package steering

import (
	"math/rand/v2"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// View provides the state of other instances; *membership.Group implements it.
type View interface {
	// Owners returns the owners of a service's backend servers in a zone. The slice
	// is valid until the next call.
	Owners(service model.ServiceName, zone model.ZoneName) []membership.Owner
	// ZoneLoad returns the load of a service in a zone and its age, and reports
	// whether one is known.
	ZoneLoad(zone model.ZoneName, service model.ServiceName) (membership.ServiceLoad, time.Duration, bool)
	// Generation increases whenever a result other than an age may have changed.
	Generation() uint64
	// ReadyInstances returns the number of instances of a region that accept requests.
	ReadyInstances(region model.RegionName) int
}

var _ View = (*membership.Group)(nil)

// Planner selects owners for the requests of one entry instance. It is not safe for
// concurrent use.
type Planner struct {
	settings Settings
	home     [1]model.ZoneName // zone of this instance, used for callers without a group
	random   *rand.Rand

	layout  *layout // of the active configuration; nil before Configure
	history []epoch // configurations that the baseline may still be moving from, then the active one
	plans   map[planKey][]*plan
	links   linkTable

	rejected []model.Rejected // by the last Choose
}

// New returns a Planner for an instance in the zone self. It refuses all requests
// until Configure is called.
func New(self model.ZoneName, s Settings) *Planner {
	s = s.withDefaults()
	return &Planner{
		settings: s,
		home:     [1]model.ZoneName{self},
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
	}
}

// Configure activates a configuration text. acceptedAt is when it was accepted;
// earlier lists the previous texts that the baseline may still be moving from,
// oldest first. The baseline moves from each text to the next at the rate of the
// shift cap. It depends only on these arguments, not on earlier calls, so all
// instances compute the same baseline.
func (p *Planner) Configure(text *config.Text, acceptedAt model.Instant, earlier []event.EarlierText) {
	old := p.layout
	p.layout = newLayout(text, p.settings)
	p.layout.inheritOwnerStates(old)
	p.history = nil
	for _, e := range earlier {
		p.history = append(p.history, epoch{layout: newLayout(e.Text, p.settings), since: e.AcceptedAt})
	}
	p.history = append(p.history, epoch{layout: p.layout, since: acceptedAt})
	p.plans = map[planKey][]*plan{}
	p.links.configure(text, p.regionOf(p.home[0]))
}

func (p *Planner) regionOf(zone model.ZoneName) model.RegionName {
	if z, ok := p.layout.zoneIndex[zone]; ok {
		return p.layout.zones[z].region
	}
	return ""
}
