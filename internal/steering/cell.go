package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// cell is the state of one service in one zone: its owners and its last reported
// load, corrected by the requests that this instance has sent since the report.
type cell struct {
	settings *Settings
	service  model.ServiceName
	zone     model.ZoneName
	region   model.RegionName
	slots    int // configured by the operators' text

	refreshedAt model.Instant
	generation  uint64
	owners      []membership.Owner
	states      []*ownerState // indexed like owners
	load        membership.ServiceLoad
	loadFresh   bool // load is at most StaleAfter old
	reported    bool // a load has been reported at least once
	reachable   int  // number of reachable owners

	// sent and sentSpill count the requests that this instance has sent since the
	// report, minus those that have finished since.
	sent, sentSpill int
	reportedAt      model.Instant
}

// ownerState is what this instance knows about one owner of a cell from its own
// requests.
type ownerState struct {
	instance          model.InstanceID
	sent              int                  // requests sent since the owner's report, minus those finished since
	inFlight          [model.RankCount]int // unfinished requests of this instance
	reportedAt        model.Instant
	backoffUntil      [model.RankCount]model.Instant // by rank, after a recent refusal
	spillBackoffUntil model.Instant                  // for spill, after a recent refusal
}

// refresh reads the View again if its data may have changed or the last read is
// older than RefreshEvery.
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

// applyReport resets the counters of sent requests if the report is newer than the
// last one, since a newer report includes them.
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

// alignStates makes states parallel to owners; known owners keep their state.
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

// freeSlots returns the slots left for a request of the rank after the requests that
// are running, queued ahead of it, or sent since the report. It is negative if
// requests have to wait.
func (c *cell) freeSlots(rank model.Rank) int {
	return c.load.Slots - c.load.InUse - c.queuedAhead(rank) - c.sent
}

// overloadedWhileRecovering reports whether the zone has only some of its
// configured slots and none of them free, because servers are lost or still in slow
// start. Baseline traffic beyond these slots then goes to other zones as spill where
// admitted, instead of queuing here until it is late.
func (c *cell) overloadedWhileRecovering(rank model.Rank) bool {
	return c.loadFresh && c.load.Slots < c.slots && c.freeSlots(rank) <= 0
}

// queuedAhead returns the number of queued requests of the rank or a more urgent one.
func (c *cell) queuedAhead(rank model.Rank) int {
	queued := 0
	for r := model.Urgent; r <= rank; r++ {
		queued += c.load.Queued[r]
	}
	return queued
}

// queueWait estimates how long a request of the rank queues in the zone.
func (c *cell) queueWait(rank model.Rank) time.Duration {
	free := c.freeSlots(rank)
	if free > 0 || c.load.Slots == 0 {
		return 0
	}
	return c.load.MeanRun * time.Duration(1-free) / time.Duration(c.load.Slots)
}

// spillHeadroom returns how many more requests from outside its baseline the zone
// admits.
func (c *cell) spillHeadroom() float64 {
	return c.load.SpillLevel - float64(c.load.SpillInUse) - float64(c.sentSpill)
}

// usable reports whether the zone can serve requests: an owner is reachable, and
// the load either is unknown or includes slots.
func (c *cell) usable() bool {
	return c.reachable > 0 && (!c.loadFresh || c.load.Slots > 0)
}
