package dispatch

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// minSaveInterval is the shortest time between two writes of suspects by one instance.
	minSaveInterval = time.Second
	// fleetSavesPerSecond bounds the writes of suspects by all instances together, well below
	// the transactions that the store takes.
	fleetSavesPerSecond = 50
	// maxSavedAtOnce bounds the suspects in one write.
	maxSavedAtOnce = 64
)

// suspectSaver decides when this instance writes suspects to the store. The load pattern is a
// request that crashes servers, comes at all instances at once, and comes again after all
// instances were killed: what they know is lost with them.
type suspectSaver struct {
	running   bool
	dueAt     model.Instant // of the next write, 0 if there is nothing to write
	notBefore model.Instant
}

// saveSuspects writes the suspects that should outlive all instances. Instances of which each
// has seen a strike write at different times.
func (d *Dispatcher) saveSuspects(now model.Instant) {
	if d.saver.running {
		return
	}
	list := d.suspects.Unsaved(now)
	if len(list) == 0 {
		d.saver.dueAt = 0
		return
	}
	if d.saver.dueAt == 0 {
		d.saver.dueAt = max(now.Add(d.saveDelay()), d.saver.notBefore)
	}
	if now < d.saver.dueAt {
		return
	}
	d.saver.running, d.saver.dueAt = true, 0
	d.saver.notBefore = now.Add(max(minSaveInterval, d.saveRound()))
	d.add(&SaveSuspects{Suspects: list[:min(len(list), maxSavedAtOnce)]})
}

// saveRound is the time in which each instance may write once.
func (d *Dispatcher) saveRound() time.Duration {
	return time.Duration(d.instances.Instances()) * time.Second / fleetSavesPerSecond
}

// saveDelay is this instance's place in a round.
func (d *Dispatcher) saveDelay() time.Duration {
	place := float64(xxh3.HashString(string(d.settings.Self))) / math.MaxUint64
	return time.Duration(place * float64(d.saveRound()))
}

func (d *Dispatcher) suspectsSaved(ev *SuspectsSaved) {
	d.saver.running = false
	if ev.OK {
		d.suspects.Saved(ev.Suspects)
	}
}
