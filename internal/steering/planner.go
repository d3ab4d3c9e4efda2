// Package steering decides, at the ingress, which zone and which owner a
// request is sent to: baseline zones first, others as spill, within headroom,
// deadline and link budget. It is pure: it reads no clock and sends nothing.
package steering

import (
	"math/rand/v2"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// View is what steering needs to know of other instances; *membership.Group
// implements it.
type View interface {
	// Owners lists the owners of a service's servers in a zone; the list is valid
	// until the next call.
	Owners(service model.ServiceName, zone model.ZoneName) []membership.Owner
	// ZoneLoad returns the load of a service in a zone and its age.
	ZoneLoad(zone model.ZoneName, service model.ServiceName) (membership.ServiceLoad, time.Duration, bool)
	// Generation grows whenever an answer other than an age may have changed.
	Generation() uint64
	// ReadyInstances counts the instances of a region that take requests.
	ReadyInstances(region model.RegionName) int
}

var _ View = (*membership.Group)(nil)

// Planner chooses owners for one entry instance. It is not safe for concurrent
// use.
type Planner struct {
	settings Settings
	home     [1]model.ZoneName // this instance's own zone, for callers without a group
	random   *rand.Rand

	layout  *layout // of the text in force, nil before the first one
	history []epoch // texts from which the baseline may still move, and the one in force
	plans   map[planKey][]*plan
	links   linkTable

	rejected []model.Rejected // by the latest choice
}

// New returns a Planner for an instance of a zone; it refuses everything until
// Configure.
func New(self model.ZoneName, s Settings) *Planner {
	s = s.withDefaults()
	return &Planner{
		settings: s,
		home:     [1]model.ZoneName{self},
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
	}
}

// Configure takes the text in force, when it was accepted, and the texts before
// it from which the baseline may still be moving, oldest first. The baseline
// moves from each to the next at the shift cap's rate. It depends on nothing
// that this instance has seen before, so that all instances agree on it.
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
