package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// cell is a service in a zone: its owners and its load, as last reported and
// corrected by what this instance has sent since.
type cell struct {
	settings *Settings
	service  model.ServiceName
	zone     model.ZoneName
	region   model.RegionName
	slots    int // by the operators' text

	refreshedAt model.Instant
	generation  uint64
	owners      []membership.Owner
	states      []*ownerState // by owner
	load        membership.ServiceLoad
	loadFresh   bool // load is not older than StaleAfter
	reported    bool // a load was ever reported
	reachable   int  // owners that can be sent to

	// sent is what this instance sent, less what finished, since the report.
	sent, sentSpill int
	reportedAt      model.Instant
}

// ownerState is what this instance learnt about one owner of a cell.
type ownerState struct {
	instance          model.InstanceID
	sent              int                  // since the owner's report, less what finished
	inFlight          [model.RankCount]int // sent by this instance and not finished
	reportedAt        model.Instant
	backoffUntil      [model.RankCount]model.Instant // refused recently
	spillBackoffUntil model.Instant                  // refused spill recently
}

// refresh asks the View again where its answers may have changed.
func (c *cell) refresh(now model.Instant, v View) {
	generation := v.Generation()
	if c.refreshedAt != 0 && c.generation == generation && now.Sub(c.refreshedAt) < c.settings.RefreshEvery {
		return
	}
	c.refreshedAt = now
	c.generation = generation
	c.owners = v.Owners(c.service, c.zone)
	c.alignStates()
	c.reachable = 0
	for i := range c.owners {
		if c.owners[i].Reachable {
			c.reachable++
		}
		c.states[i].applyReport(now, c.owners[i].ReportAge)
	}
	load, age, ok := v.ZoneLoad(c.zone, c.service)
	c.reported = c.reported || ok
	c.loadFresh = ok && age <= c.settings.StaleAfter
	if ok {
		c.load = load
		c.applyReport(now, age)
	}
}

// report drops the own sends that a newer report includes.
func (c *cell) applyReport(now model.Instant, age time.Duration) {
	if at := now.Add(-age); at > c.reportedAt {
		c.reportedAt = at
		c.sent = 0
		c.sentSpill = 0
	}
}

func (s *ownerState) applyReport(now model.Instant, age time.Duration) {
	if at := now.Add(-age); age >= 0 && at > s.reportedAt {
		s.reportedAt = at
		s.sent = 0
	}
}

// matchStates puts the owners' states in the owners' order.
func (c *cell) alignStates() {
	same := len(c.states) == len(c.owners)
	for i := 0; same && i < len(c.owners); i++ {
		same = c.states[i].instance == c.owners[i].Instance
	}
	if same {
		return
	}
	states := make([]*ownerState, len(c.owners))
	for i := range c.owners {
		states[i] = c.stateOf(c.owners[i].Instance)
	}
	c.states = states
}

func (c *cell) stateOf(instance model.InstanceID) *ownerState {
	for _, s := range c.states {
		if s.instance == instance {
			return s
		}
	}
	return &ownerState{instance: instance}
}

// free is how many slots are left after queued work, negative where work waits.
func (c *cell) freeSlots(rank model.Rank) int {
	return c.load.Slots - c.load.InUse - c.queuedAhead(rank) - c.sent
}

// overloadedOnReturn reports whether the zone has only a part of its slots, and
// none free: its servers are lost or open slowly. What the baseline brings beyond
// them then goes on as spill where that is admitted, and does not queue up here
// until it is late.
func (c *cell) overloadedWhileRecovering(rank model.Rank) bool {
	return c.loadFresh && c.load.Slots < c.slots && c.freeSlots(rank) <= 0
}

// queuedBefore counts the queued work that is as urgent as a rank or more.
func (c *cell) queuedAhead(rank model.Rank) int {
	queued := 0
	for r := model.Urgent; r <= rank; r++ {
		queued += c.load.Queued[r]
	}
	return queued
}

// wait estimates how long a request of a rank queues in the zone.
func (c *cell) queueWait(rank model.Rank) time.Duration {
	free := c.freeSlots(rank)
	if free > 0 || c.load.Slots == 0 {
		return 0
	}
	return c.load.MeanRun * time.Duration(1-free) / time.Duration(c.load.Slots)
}

// spillRoom is how much more work from outside the baseline the zone admits.
func (c *cell) spillHeadroom() float64 {
	return c.load.SpillLevel - float64(c.load.SpillInUse) - float64(c.sentSpill)
}

// usable reports whether the zone can serve at all: an owner is reachable and,
// as far as is known, has slots.
func (c *cell) usable() bool {
	return c.reachable > 0 && (!c.loadFresh || c.load.Slots > 0)
}
