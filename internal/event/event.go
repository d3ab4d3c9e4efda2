// Package event is the reducer's whole vocabulary: what can happen to an entry
// instance (Event) and what it decides to do about it (Effect). Both are plain
// data. Events carry the time at which they happened, so the reducer needs no
// clock.
package event

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Event is anything that can happen. Events are passed by pointer; the reducer
// neither keeps nor changes them.
type Event interface{ event() }

// Tick is posted at a fixed period; everything that depends on time alone
// happens on it.
type Tick struct{ At model.Instant }

// ConfigurationLoaded reports a checked revision from the platform or a peer.
type ConfigurationLoaded struct {
	At       model.Instant
	Revision *config.Revision
	Text     *config.Text
	Index    *config.Index // of Text
	// Earlier are the texts from which the baseline still moves, oldest first.
	Earlier []EarlierText
}

// EarlierText is a text that was in force before, and when it was accepted.
type EarlierText struct {
	Text       *config.Text
	AcceptedAt model.Instant
}

// RequestArrived reports a caller's request at the ingress.
type RequestArrived struct {
	At      model.Instant
	Request model.RequestID
	Meta    *model.RequestMeta
}

// OwnerRefused reports that the owner refused an offer. Outcome NotRun is a
// promise that no byte of the request reached a backend server.
type OwnerRefused struct {
	At      model.Instant
	Request model.RequestID
	Owner   model.InstanceID
	Outcome model.Outcome
	Cause   model.Cause
	// BodyUsed reports that part of a streamed body is gone, so that the request
	// cannot be offered again.
	BodyUsed bool
}

// OwnerLost reports that the link to the owner broke before its word.
type OwnerLost struct {
	At      model.Instant
	Request model.RequestID
	Owner   model.InstanceID
	// Offered reports whether the offer may have been received.
	Offered  bool
	BodyUsed bool
}

// ClaimSettled reports how the ingress's own cancellation of an idempotency key
// ended, after OwnerLost.
type ClaimSettled struct {
	At      model.Instant
	Request model.RequestID
	Result  ClaimResult
	Stored  bool // Result is ClaimFinished and the stored answer is at hand
}

// RequestFinished reports that the ingress has answered its caller.
type RequestFinished struct {
	At          model.Instant
	Request     model.RequestID
	Outcome     model.Outcome
	Cause       model.Cause
	AnswerBytes int64
}

// CallerGone reports that the caller closed its connection early.
type CallerGone struct {
	At      model.Instant
	Request model.RequestID
}

// OfferReceived reports a request that an ingress, maybe this instance's own,
// offers to this instance as owner.
type OfferReceived struct {
	At      model.Instant
	Request model.RequestID
	From    model.InstanceID
	Meta    *model.RequestMeta
	// Spill reports that the request is away from its baseline zone.
	Spill bool
}

// OfferWithdrawn reports that the ingress cancelled, or its link broke.
type OfferWithdrawn struct {
	At      model.Instant
	Request model.RequestID
}

// ClaimResult is what the ledger says of an idempotency key.
type ClaimResult uint8

// The results of a claim.
const (
	ClaimGranted     ClaimResult = iota // the row is this attempt's
	ClaimFinished                       // a stored answer exists
	ClaimInProgress                     // another attempt holds the row, result unknown
	ClaimCancelled                      // the key was cancelled before it ran
	ClaimMismatch                       // the key belongs to another request
	ClaimUnavailable                    // provably not claimed
	ClaimUncertain                      // the claim may have taken effect
	ClaimOverBudget                     // the write budget is exhausted; not claimed
)

// ClaimResolved reports the owner's claim of an idempotency key.
type ClaimResolved struct {
	At      model.Instant
	Request model.RequestID
	Result  ClaimResult
}

// AttemptResult is how one attempt at a backend server ended.
type AttemptResult uint8

// The results of an attempt.
const (
	AttemptComplete    AttemptResult = iota // a whole answer was passed on
	AttemptFailed                           // a whole answer with a 5xx status was passed on
	AttemptShed                             // the server refused, provably without running it
	AttemptNotSent                          // no byte of the request was written
	AttemptBroken                           // the connection broke before the answer began
	AttemptCut                              // the connection broke inside the answer
	AttemptTimeout                          // no progress within the time-out
	AttemptCancelled                        // cancelled by this instance
	AttemptStaleBroken                      // a reused connection broke before the answer began
)

// AttemptFinished reports the end of an attempt at a backend server.
type AttemptFinished struct {
	At      model.Instant
	Request model.RequestID
	Backend model.BackendName
	Result  AttemptResult
	// RetryAfter is the server's hint with AttemptShed, 0 without one.
	RetryAfter time.Duration
	// Draining reports that the server announced on this answer that it is leaving.
	Draining bool
	BodyUsed bool
	// OwnLimit reports that nothing was sent since this instance has too many
	// connections open, which says nothing about the server.
	OwnLimit bool
}

// AttemptSlow reports that an attempt has had no answer for as long as its
// Dispatch allowed. The attempt goes on unless it is cancelled.
type AttemptSlow struct {
	At       model.Instant
	Request  model.RequestID
	Backend  model.BackendName
	BodyUsed bool
}

// ServerReported is a backend server's own word on its health and load.
type ServerReported struct {
	At       model.Instant
	Backend  model.BackendName
	Healthy  bool
	Draining bool
	Cold     bool
	InUse    int
	Slots    int
	// Err is set where the report could not be had.
	Err error
}

// PlatformListed reports the platform's list of instances.
type PlatformListed struct {
	At   model.Instant
	List []platform.ListedInstance
}

// LinkUp and LinkDown report the state of the link to a peer.
type LinkUp struct {
	At   model.Instant
	Peer model.InstanceID
}

// LinkDown reports that the link to a peer broke or could not be opened.
type LinkDown struct {
	At   model.Instant
	Peer model.InstanceID
}

// GossipReceived reports a peer's membership message.
type GossipReceived struct {
	At      model.Instant
	From    model.InstanceID
	Message *membership.Message
}

// ShutdownRequested reports SIGTERM or SIGINT.
type ShutdownRequested struct{ At model.Instant }

func (*Tick) event()                {}
func (*ConfigurationLoaded) event() {}
func (*RequestArrived) event()      {}
func (*OwnerRefused) event()        {}
func (*OwnerLost) event()           {}
func (*ClaimSettled) event()        {}
func (*RequestFinished) event()     {}
func (*CallerGone) event()          {}
func (*OfferReceived) event()       {}
func (*OfferWithdrawn) event()      {}
func (*ClaimResolved) event()       {}
func (*AttemptFinished) event()     {}
func (*AttemptSlow) event()         {}
func (*ServerReported) event()      {}
func (*PlatformListed) event()      {}
func (*LinkUp) event()              {}
func (*LinkDown) event()            {}
func (*GossipReceived) event()      {}
func (*ShutdownRequested) event()   {}
