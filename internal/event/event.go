// Package event defines the inputs (Event) and outputs (Effect) of the reducer of
// an entry instance. Both are plain data. Each event carries the time at which it
// happened, so the reducer needs no clock.
package event

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Event is an input of the reducer. Events are passed by pointer; the reducer
// neither retains nor modifies them.
type Event interface{ event() }

// Tick is posted at a fixed period and drives all purely time-based work.
type Tick struct{ At model.Instant }

// ConfigurationLoaded reports a validated revision from the platform or a peer.
type ConfigurationLoaded struct {
	At       model.Instant
	Revision *config.Revision
	Text     *config.Text
	Index    *config.Index // of Text
	// Earlier lists the previous configuration texts from whose baseline zones
	// traffic is still being shifted, oldest first.
	Earlier []EarlierText
}

// EarlierText is a previously active configuration text and the time when it was accepted.
type EarlierText struct {
	Text       *config.Text
	AcceptedAt model.Instant
}

// RequestArrived reports that the ingress received a request from a caller.
type RequestArrived struct {
	At      model.Instant
	Request model.RequestID
	Meta    *model.RequestMeta
}

// OwnerRefused reports that the owner refused an offer. Outcome NotRun guarantees
// that the request did not run: it was not sent to a backend server, or the server
// refused it without running it.
type OwnerRefused struct {
	At      model.Instant
	Request model.RequestID
	Owner   model.InstanceID
	Outcome model.Outcome
	Cause   model.Cause
	// BodyUsed reports that part of a streamed body was consumed. Unless the body
	// is replayable, the request cannot be offered again.
	BodyUsed bool
}

// OwnerLost reports that an offer ended without a usable reply from the owner: the
// link broke, no reply came in time, the reply was invalid, the caller was gone, or
// the answer was truncated before any of it was sent to the caller.
type OwnerLost struct {
	At      model.Instant
	Request model.RequestID
	Owner   model.InstanceID
	// Offered reports whether the owner may have received the offer.
	Offered  bool
	BodyUsed bool
}

// OnceRequestCancelled reports the result of the ingress's attempt to cancel a
// once request in the ledger after OwnerLost.
type OnceRequestCancelled struct {
	At      model.Instant
	Request model.RequestID
	Result  ClaimResult
	Stored  bool // Result is ClaimFinished and the stored answer is available
}

// RequestFinished reports that the ingress has finished a caller's request, whether
// or not the caller received an answer.
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

// OfferReceived reports that an ingress, possibly this instance itself, offers a
// request to this instance as the owner.
type OfferReceived struct {
	At      model.Instant
	Request model.RequestID
	From    model.InstanceID
	Meta    *model.RequestMeta
	// Spill reports that the request was sent outside its baseline zones.
	Spill bool
}

// OfferWithdrawn reports that the ingress cancelled the offer or that the link to
// the ingress broke.
type OfferWithdrawn struct {
	At      model.Instant
	Request model.RequestID
}

// ClaimResult is the ledger's reply to a claim of an idempotency key or to the
// cancellation of a request with one.
type ClaimResult uint8

// The results of a claim or cancellation.
const (
	ClaimGranted     ClaimResult = iota // this attempt holds the claim
	ClaimFinished                       // a stored answer exists
	ClaimInProgress                     // another attempt holds the claim and its result is unknown, or the stored answer cannot be read
	ClaimCancelled                      // the request was cancelled before it ran
	ClaimMismatch                       // the key belongs to a different request
	ClaimUnavailable                    // the ledger is unavailable; provably not claimed
	ClaimUncertain                      // the claim may have taken effect
	ClaimOverBudget                     // the write budget is exhausted; not claimed
)

// ClaimResolved reports the result of the owner's claim of an idempotency key.
type ClaimResolved struct {
	At      model.Instant
	Request model.RequestID
	Result  ClaimResult
}

// AttemptResult is the result of one attempt at a backend server.
type AttemptResult uint8

// The results of an attempt.
const (
	AttemptComplete    AttemptResult = iota // a complete answer was forwarded
	AttemptFailed                           // a complete answer with a 5xx status was forwarded
	AttemptShed                             // the server refused the request and guarantees that it did not run
	AttemptNotSent                          // no byte of the request was written
	AttemptBroken                           // the connection broke before the answer began
	AttemptTruncated                        // the connection broke during the answer
	AttemptTimeout                          // no progress within the timeout
	AttemptCancelled                        // cancelled by this instance
	AttemptStaleBroken                      // a reused connection broke before the answer began
)

// AttemptFinished reports the end of an attempt at a backend server.
type AttemptFinished struct {
	At      model.Instant
	Request model.RequestID
	Backend model.BackendName
	Result  AttemptResult
	// RetryAfter is the server's Retry-After hint on AttemptShed; 0 if absent.
	RetryAfter time.Duration
	// Draining reports that the server announced with this answer that it is
	// leaving.
	Draining bool
	BodyUsed bool
	// Rate is the number of requests per second that the server said it takes, if RateNamed.
	Rate      float64
	RateNamed bool
	// OwnLimit reports that nothing was sent because this instance has too many
	// open connections; the result says nothing about the server.
	OwnLimit bool
}

// AttemptSlow reports that an attempt's answer has not begun within
// Dispatch.SlowAfter on a reused connection. The attempt continues unless it is cancelled.
type AttemptSlow struct {
	At       model.Instant
	Request  model.RequestID
	Backend  model.BackendName
	BodyUsed bool
}

// ServerReported carries the health and load that a backend server reports about
// itself.
type ServerReported struct {
	At       model.Instant
	Backend  model.BackendName
	Healthy  bool
	Draining bool
	Cold     bool
	InUse    int
	Slots    int
	// Err is set if the report could not be obtained.
	Err error
	// Unreachable reports that the server accepted no connection in time and refused none.
	Unreachable bool
}

// PlatformListed carries the platform's list of instances.
type PlatformListed struct {
	At   model.Instant
	List []platform.ListedInstance
}

// LinkUp reports that the link to a peer was established.
type LinkUp struct {
	At   model.Instant
	Peer model.InstanceID
}

// LinkDown reports that the link to a peer broke or could not be opened.
type LinkDown struct {
	At   model.Instant
	Peer model.InstanceID
}

// GossipReceived carries a membership message from a peer.
type GossipReceived struct {
	At      model.Instant
	From    model.InstanceID
	Message *membership.Message
}

// ShutdownRequested reports SIGTERM or SIGINT.
type ShutdownRequested struct{ At model.Instant }

func (*Tick) event()                 {}
func (*ConfigurationLoaded) event()  {}
func (*RequestArrived) event()       {}
func (*OwnerRefused) event()         {}
func (*OwnerLost) event()            {}
func (*OnceRequestCancelled) event() {}
func (*RequestFinished) event()      {}
func (*CallerGone) event()           {}
func (*OfferReceived) event()        {}
func (*OfferWithdrawn) event()       {}
func (*ClaimResolved) event()        {}
func (*AttemptFinished) event()      {}
func (*AttemptSlow) event()          {}
func (*ServerReported) event()       {}
func (*PlatformListed) event()       {}
func (*LinkUp) event()               {}
func (*LinkDown) event()             {}
func (*GossipReceived) event()       {}
func (*ShutdownRequested) event()    {}
