package membership

import (
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Minimum changes of a load that are published.
const (
	loadStepsPerSlots = 8    // slots in use: an eighth of the slots
	queueStepShare    = 0.25 // queued requests: a quarter of the number last sent
	runStepShare      = 0.2  // mean run time: a fifth of the value last sent
	spillStep         = 0.25 // spill level, in slots; senders stay below the level, so every step matters
)

// ownLoads holds the loads of the backend servers that this instance owns.
type ownLoads struct {
	current     []ServiceLoad // last value passed to SetLoads
	generation  uint64        // incremented when record.Loads changes
	takenAt     model.Instant // time of current
	publishedAt model.Instant
}

// SetLoads sets the loads of the backend servers that this instance owns.
// Significant changes are sent to the peers: changes of usable slots with the next
// tick, others at most every LoadEvery.
func (g *Group) SetLoads(now model.Instant, loads []ServiceLoad) {
	g.loads.current = append(g.loads.current[:0], loads...)
	g.loads.takenAt = now
	g.publishLoads(now)
}

func (g *Group) publishLoads(now model.Instant) {
	capacity := !slices.EqualFunc(g.self.record.Loads, g.loads.current, sameCapacity)
	if !capacity && now.Sub(g.loads.publishedAt) < g.settings.LoadEvery {
		return
	}
	if !loadsDiffer(g.self.record.Loads, g.loads.current) {
		return
	}
	g.self.record.Loads = slices.Clone(g.loads.current)
	g.loads.publishedAt = now
	g.loads.generation++
	g.generation++
	if capacity {
		g.ScheduleMessages()
	}
}

// sameCapacity reports whether two loads have the same service and slots.
func sameCapacity(a, b ServiceLoad) bool { return a.Service == b.Service && a.Slots == b.Slots }

// loadsDiffer reports whether current differs enough from sent to be published.
func loadsDiffer(sent, current []ServiceLoad) bool {
	return !slices.EqualFunc(sent, current, func(a, b ServiceLoad) bool { return !loadDiffers(&a, &b) })
}

func loadDiffers(sent, current *ServiceLoad) bool {
	if sent.Service != current.Service || sent.Slots != current.Slots || sent.BaselineSince != current.BaselineSince {
		return true
	}
	step := max(1, current.Slots/loadStepsPerSlots)
	if distance(sent.InUse, current.InUse) >= step || distance(sent.SpillInUse, current.SpillInUse) >= step {
		return true
	}
	for i := range current.Queued {
		queueStep := max(1, int(float64(sent.Queued[i])*queueStepShare))
		if distance(sent.Queued[i], current.Queued[i]) >= queueStep {
			return true
		}
	}
	if sent.admitsSpill() != current.admitsSpill() {
		return true
	}
	spillDelta := max(sent.SpillLevel-current.SpillLevel, current.SpillLevel-sent.SpillLevel)
	if spillDelta >= spillStep {
		return true
	}
	return runDiffers(sent.MeanRun, current.MeanRun)
}

// admitsSpill reports whether l has free spill capacity. Every change of the result
// is published: otherwise, in a large service, senders would treat a few slots of
// spill as used long after they are free.
func (l *ServiceLoad) admitsSpill() bool { return l.SpillLevel > float64(l.SpillInUse) }

func runDiffers(sent, current time.Duration) bool {
	delta := (sent - current).Abs()
	return delta > time.Duration(float64(sent)*runStepShare)
}

func distance(a, b int) int { return max(a-b, b-a) }
