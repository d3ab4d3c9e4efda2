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
	failedAt model.Instant // last failure, 0 for none
	backAt   model.Instant // first success after it, 0 while it is away
	// vouchedAt is when a peer last said that it reads the store, so that only this
	// instance is kept from it.
	vouchedAt model.Instant
}

func (h *storeHealth) tried(now model.Instant, ok bool) {
	switch {
	case !ok:
		h.failedAt, h.backAt = now, 0
	case h.backAt == 0:
		h.backAt = now
	}
}

// mayHaveLapsed reports whether an entry that vanished may have expired while the
// store was away.
func (h *storeHealth) mayHaveLapsed(now model.Instant) bool {
	if h.failedAt == 0 || h.vouched(now) {
		return false
	}
	return h.backAt == 0 || now.Sub(h.backAt) < lapseReturn || now.Sub(h.failedAt) < lapseSuspicion
}

// settled reports whether the store has been back long enough for every live
// server to have listed itself again.
func (h *storeHealth) settled(now model.Instant) bool {
	return h.failedAt == 0 || h.vouched(now) || (h.backAt != 0 && now.Sub(h.backAt) >= lapseReturn)
}

// vouchFor is how long a peer's word on the store holds: peers are asked as often
// as that while the store cannot be read.
const vouchFor = 2 * time.Second

func (h *storeHealth) vouched(now model.Instant) bool {
	return h.vouchedAt != 0 && now.Sub(h.vouchedAt) < vouchFor
}
