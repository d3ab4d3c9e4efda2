package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// lapseSuspicion is how long after a failed read a vanished entry may be the
	// store's doing rather than the server's.
	expirySuspicion = 2500 * time.Millisecond
	// lapseReturn is how long after the store's return servers that live have
	// listed themselves again.
	relistTime = 2 * time.Second
)

// storeHealth remembers when the store could not be read.
type storeHealth struct {
	failingSince model.Instant // start of the first failed call of the latest outage
	failedAt     model.Instant // last failure, 0 for none
	recoveredAt  model.Instant // first success after it, 0 while it is away
	// settledAt is when the store was last read by an instance for which it had not
	// failed lately.
	reliableReadAt model.Instant
	// doubtedAt is when the store was read as a peer told whose reading had failed
	// lately: what was missing then may have expired.
	suspectReadAt model.Instant
}

func (h *storeHealth) recordRead(ev *StoreTried) {
	if ev.OK {
		if h.recoveredAt == 0 {
			h.recoveredAt = ev.At
		}
		if h.reliableHere(ev.At) {
			h.reliableReadAt = max(h.reliableReadAt, ev.Started)
		}
		return
	}
	if h.reliableHere(ev.At) {
		h.failingSince = ev.Started
	}
	h.failedAt, h.recoveredAt = ev.At, 0
}

// vouched takes a peer's word over that the store was read without failures.
func (h *storeHealth) confirmRead(at model.Instant) { h.reliableReadAt = max(h.reliableReadAt, at) }

// doubt takes over that what a peer tells was read by one for which the store had
// failed lately.
func (h *storeHealth) suspectRead(at model.Instant) { h.suspectReadAt = max(h.suspectReadAt, at) }

func (h *storeHealth) hasSuspectRead() bool { return h.suspectReadAt > h.reliableReadAt }

// settledHere reports whether the store has not failed for this instance lately.
func (h *storeHealth) reliableHere(now model.Instant) bool {
	return h.failedAt == 0 || (h.recoveredAt != 0 && now.Sub(h.recoveredAt) >= relistTime)
}

// settledForOthers reports whether an instance has read the store without failures
// since it began to fail for this one: only this instance is kept from it.
func (h *storeHealth) reliableForPeers(now model.Instant) bool {
	return h.reliableReadAt > h.failingSince && now.Sub(h.reliableReadAt) < peerReadTTL
}

// vouchFor is how long a peer's reading of the store counts: a copy that is not
// confirmed by then is read anew.
const peerReadTTL = 3 * time.Second

// mayHaveLapsed reports whether an entry that vanished may have expired while the
// store was away.
func (h *storeHealth) mayHaveExpired(now model.Instant) bool {
	if h.hasSuspectRead() {
		return true
	}
	if h.failedAt == 0 || h.reliableForPeers(now) {
		return false
	}
	return !h.reliableHere(now) || now.Sub(h.failedAt) < expirySuspicion
}

// settled reports whether the store has been back long enough for every live
// server to have listed itself again.
func (h *storeHealth) reliable(now model.Instant) bool {
	return !h.hasSuspectRead() && (h.reliableHere(now) || h.reliableForPeers(now))
}
