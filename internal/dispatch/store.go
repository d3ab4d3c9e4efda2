package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// lapseSuspicion is how long after a failed read a vanished entry may be the
	// store's doing rather than the server's.
	lapseSuspicion = 2500 * time.Millisecond
	// lapseReturn is how long after the store's return servers that live have
	// listed themselves again.
	lapseReturn = 2 * time.Second
)

// storeHealth remembers when the store could not be read.
type storeHealth struct {
	failingSince model.Instant // start of the first failed call of the latest outage
	failedAt     model.Instant // last failure, 0 for none
	backAt       model.Instant // first success after it, 0 while it is away
	// settledAt is when the store was last read by an instance for which it had not
	// failed lately.
	settledAt model.Instant
	// doubtedAt is when the store was read as a peer told whose reading had failed
	// lately: what was missing then may have expired.
	doubtedAt model.Instant
}

func (h *storeHealth) tried(ev *StoreTried) {
	if ev.OK {
		if h.backAt == 0 {
			h.backAt = ev.At
		}
		if h.settledHere(ev.At) {
			h.settledAt = max(h.settledAt, ev.Started)
		}
		return
	}
	if h.settledHere(ev.At) {
		h.failingSince = ev.Started
	}
	h.failedAt, h.backAt = ev.At, 0
}

// vouched takes a peer's word over that the store was read without failures.
func (h *storeHealth) vouched(at model.Instant) { h.settledAt = max(h.settledAt, at) }

// doubt takes over that what a peer tells was read by one for which the store had
// failed lately.
func (h *storeHealth) doubt(at model.Instant) { h.doubtedAt = max(h.doubtedAt, at) }

func (h *storeHealth) doubted() bool { return h.doubtedAt > h.settledAt }

// settledHere reports whether the store has not failed for this instance lately.
func (h *storeHealth) settledHere(now model.Instant) bool {
	return h.failedAt == 0 || (h.backAt != 0 && now.Sub(h.backAt) >= lapseReturn)
}

// settledForOthers reports whether an instance has read the store without failures
// since it began to fail for this one: only this instance is kept from it.
func (h *storeHealth) settledForOthers(now model.Instant) bool {
	return h.settledAt > h.failingSince && now.Sub(h.settledAt) < vouchFor
}

// vouchFor is how long a peer's reading of the store counts: a copy that is not
// confirmed by then is read anew.
const vouchFor = 3 * time.Second

// mayHaveLapsed reports whether an entry that vanished may have expired while the
// store was away.
func (h *storeHealth) mayHaveLapsed(now model.Instant) bool {
	if h.doubted() {
		return true
	}
	if h.failedAt == 0 || h.settledForOthers(now) {
		return false
	}
	return !h.settledHere(now) || now.Sub(h.failedAt) < lapseSuspicion
}

// settled reports whether the store has been back long enough for every live
// server to have listed itself again.
func (h *storeHealth) settled(now model.Instant) bool {
	return !h.doubted() && (h.settledHere(now) || h.settledForOthers(now))
}
