package follow

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Echoes determines how old peers' messages are without comparing clocks: a peer returns
// the send time of the last message that it received from this instance, and the time since
// it received that message. A message that was delayed anywhere, or that a frozen instance
// reads late, is never considered more recent than it is. It is not safe for concurrent use.
type Echoes struct {
	last map[model.InstanceID]receipt
}

type receipt struct {
	sentAt     int64 // by the peer's clock
	receivedAt model.Instant
}

// NewEchoes returns Echoes without any peer.
func NewEchoes() *Echoes { return &Echoes{last: map[model.InstanceID]receipt{}} }

// Received records the receipt of a peer's message and the send time in it, by the peer's
// clock.
func (e *Echoes) Received(now model.Instant, peer model.InstanceID, sentAt int64) {
	e.last[peer] = receipt{sentAt: sentAt, receivedAt: now}
}

// Forget removes a peer whose link is down.
func (e *Echoes) Forget(peer model.InstanceID) { delete(e.last, peer) }

// Echo returns the echo fields for a message to a peer: the send time of the peer's last
// message, or 0 if there is none, and the time since it was received.
func (e *Echoes) Echo(now model.Instant, peer model.InstanceID) (sentAt int64, held time.Duration) {
	r, ok := e.last[peer]
	if !ok {
		return 0, 0
	}
	return r.sentAt, now.Sub(r.receivedAt)
}

// EarliestSendTime returns the earliest time, by this instance's clock, at which a message
// with the given echo fields may have been sent. It reports false if the message returned no
// send time.
func EarliestSendTime(sentAt int64, held time.Duration) (model.Instant, bool) {
	if sentAt == 0 {
		return 0, false
	}
	return model.Instant(sentAt).Add(held), true
}
