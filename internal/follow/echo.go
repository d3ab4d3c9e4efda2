package follow

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Echoes tells how old peers' messages are without comparing clocks: a peer returns
// the sending time of the last message that it got from this instance, and how long it
// held that. A message that waited anywhere, or that a frozen instance reads late, is
// never taken for younger than it is. It is not safe for concurrent use.
type Echoes struct {
	heard map[model.InstanceID]heard
}

type heard struct {
	sentAt int64 // by the peer's clock
	at     model.Instant
}

// NewEchoes returns Echoes that have heard of no peer.
func NewEchoes() *Echoes { return &Echoes{heard: map[model.InstanceID]heard{}} }

// Heard notes a peer's message and the sending time that it tells.
func (e *Echoes) Heard(now model.Instant, peer model.InstanceID, sentAt int64) {
	e.heard[peer] = heard{sentAt: sentAt, at: now}
}

// Forget drops a peer whose link is gone.
func (e *Echoes) Forget(peer model.InstanceID) { delete(e.heard, peer) }

// Return gives what a message to a peer returns: the sending time of its last message,
// 0 for none, and how long ago that was received.
func (e *Echoes) Return(now model.Instant, peer model.InstanceID) (sentAt int64, held time.Duration) {
	h, ok := e.heard[peer]
	if !ok {
		return 0, 0
	}
	return h.sentAt, now.Sub(h.at)
}

// SentNoEarlierThan is the earliest time, by this instance's clock, at which a message may
// have been sent that returned a sending time. It reports false where none was returned.
func SentNoEarlierThan(sentAt int64, held time.Duration) (model.Instant, bool) {
	if sentAt == 0 {
		return 0, false
	}
	return model.Instant(sentAt).Add(held), true
}
