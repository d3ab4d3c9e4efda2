package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// expirySuspicion is how long after a failed read a missing entry is assumed to have
	// expired because of the store outage, and not to have been removed.
	expirySuspicion = 2500 * time.Millisecond
	// relistTime is how long live servers take to list themselves again after the store
	// has recovered.
	relistTime = 2 * time.Second
	// restoreSettleTime is how long after this instance has learned that the store was
	// restored from a copy a missing entry is assumed to be lost, and not to have been
	// removed. It is relistTime and the time until the next read.
	restoreSettleTime = 3 * time.Second
)

// storeHealth records when store reads failed and succeeded.
type storeHealth struct {
	failingSince model.Instant // start of the first failed read of the latest outage
	failedAt     model.Instant // last failure, 0 if none
	recoveredAt  model.Instant // first success after failedAt, 0 during an outage
	// reliableReadAt is the time of the last read by an instance for which the store had
	// not failed recently.
	reliableReadAt model.Instant
	// suspectReadAt is the time of the last read, as reported by a peer, by an instance
	// for which the store had failed recently: entries missing from it may have expired.
	suspectReadAt model.Instant
	restoredAt    model.Instant // when this instance learned of the latest restore, 0 if none
}

// restored records that the store was restored from a copy.
func (h *storeHealth) restored(at model.Instant) { h.restoredAt = at }

// settling reports whether what was lost in a restore of the store may still be missing.
func (h *storeHealth) settling(now model.Instant) bool {
	return h.restoredAt != 0 && now.Sub(h.restoredAt) < restoreSettleTime
}

func (h *storeHealth) recordRead(ev *StoreRead) {
	if ev.OK {
		if h.recoveredAt == 0 {
			h.recoveredAt = ev.At
		}
		if h.reliableHere(ev.At) {
			h.reliableReadAt = max(h.reliableReadAt, ev.Started)
		}
		return
	}
	if !h.failedRecently(ev.At) {
		h.failingSince = ev.Started
	}
	h.failedAt, h.recoveredAt = ev.At, 0
}

// confirmRead records a read of the store at the given time by an instance for which the
// store had not failed recently.
func (h *storeHealth) confirmRead(at model.Instant) { h.reliableReadAt = max(h.reliableReadAt, at) }

// suspectRead records that a peer passed on data read by an instance for which the store
// had failed recently.
func (h *storeHealth) suspectRead(at model.Instant) { h.suspectReadAt = max(h.suspectReadAt, at) }

func (h *storeHealth) hasSuspectRead() bool { return h.suspectReadAt > h.reliableReadAt }

// reliableHere reports whether the store has not failed recently for this instance and has
// not been restored recently.
func (h *storeHealth) reliableHere(now model.Instant) bool {
	return !h.failedRecently(now) && !h.settling(now)
}

func (h *storeHealth) failedRecently(now model.Instant) bool {
	return h.failedAt != 0 && (h.recoveredAt == 0 || now.Sub(h.recoveredAt) < relistTime)
}

// reliableForPeers reports whether a peer has read the store without failures since it
// began to fail for this instance. If so, only this instance is cut off from the store.
func (h *storeHealth) reliableForPeers(now model.Instant) bool {
	return h.reliableReadAt > h.failingSince && now.Sub(h.reliableReadAt) < peerReadTTL
}

// peerReadTTL is how long a peer's read of the store counts.
const peerReadTTL = 3 * time.Second

// mayHaveExpired reports whether a missing entry may have expired during a store outage or
// may have been lost in a restore.
func (h *storeHealth) mayHaveExpired(now model.Instant) bool {
	if h.hasSuspectRead() || h.settling(now) {
		return true
	}
	if h.failedAt == 0 || h.reliableForPeers(now) {
		return false
	}
	return !h.reliableHere(now) || now.Sub(h.failedAt) < expirySuspicion
}

// reasonToKeep returns why a server whose entry is missing is kept.
func (h *storeHealth) reasonToKeep(now model.Instant) string {
	if h.settling(now) {
		return "its entry may have been lost when the store was restored"
	}
	return "its entry may have expired during a store outage"
}

// reliable reports whether the store has been back long enough for every live server to
// have listed itself again.
func (h *storeHealth) reliable(now model.Instant) bool {
	return !h.hasSuspectRead() && !h.settling(now) && (h.reliableHere(now) || h.reliableForPeers(now))
}
