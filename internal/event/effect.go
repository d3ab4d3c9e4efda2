package event

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Effect is an output of the reducer that the runtime must carry out. Effects are
// valid until the next call to the reducer.
type Effect interface{ effect() }

// Forward offers a request to an instance that owns backend servers for it.
type Forward struct {
	Request model.RequestID
	Owner   model.InstanceID // may be this instance
	Zone    model.ZoneName
	Spill   bool
	// Candidates lists the zones that were considered, Rejected the zones and
	// owners that were passed over, each with the cause.
	Candidates *model.Candidates
	Rejected   []model.Rejected
}

// Refuse answers the caller that its request was not served.
type Refuse struct {
	Request model.RequestID
	Outcome model.Outcome // NotRun or Unknown
	Cause   model.Cause
	// Final is the reason why no other owner is asked, or FinalNone if the request
	// was refused before any owner was asked.
	Final      Final
	Candidates *model.Candidates
	Rejected   []model.Rejected
}

// Final is the reason why a request that an owner refused, or whose owner was
// lost, is not offered to another owner.
type Final uint8

// The reasons for not asking another owner.
const (
	FinalNone         Final = iota
	FinalNoOwner            // no other owner can take it
	FinalForwardLimit       // the maximum number of owners was asked
	FinalDeadline           // the deadline has passed
	FinalBodyUsed           // part of the streamed body was consumed and cannot be replayed
	FinalMayHaveRun         // it may have run, and must not run twice
	FinalSameCause          // every other owner would refuse it too
	FinalRetryBudget        // the service's retry budget is exhausted
)

var finalNames = [...]string{
	FinalNone:         "",
	FinalNoOwner:      "no other owner can take it",
	FinalForwardLimit: "the maximum number of owners was asked",
	FinalDeadline:     "its deadline has passed",
	FinalBodyUsed:     "part of its body has been sent and is not kept",
	FinalMayHaveRun:   "it may have run and must not run twice",
	FinalSameCause:    "another owner would refuse it too",
	FinalRetryBudget:  "the service's retry budget is exhausted",
}

// String returns the reason in the wording of request explanations, "" for
// FinalNone.
func (f Final) String() string { return finalNames[f] }

// CancelOnceRequest cancels a once request in the ledger, unless its key is claimed or
// finished, so that no owner can claim the key for the request later. Other requests
// may still use the key.
type CancelOnceRequest struct{ Request model.RequestID }

// WithdrawOffer tells the owner that the ingress no longer wants the answer.
type WithdrawOffer struct {
	Request model.RequestID
	Owner   model.InstanceID
}

// Claim claims the request's idempotency key in the ledger before the request is
// sent.
type Claim struct{ Request model.RequestID }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	Request model.RequestID
	Backend model.BackendName
	// FreshConnection requires a new connection instead of a pooled one.
	FreshConnection bool
	// SlowAfter is how long the runtime waits for the answer to begin before it
	// reports AttemptSlow; 0 disables the report.
	SlowAfter time.Duration
}

// Replay answers a once request with the answer that is stored in the ledger.
type Replay struct{ Request model.RequestID }

// RefuseOffer reports to the ingress that this owner does not serve the request.
type RefuseOffer struct {
	Request model.RequestID
	Outcome model.Outcome
	Cause   model.Cause
	// Release releases the request's claim first, because the request was certainly
	// not run.
	Release bool
}

// CancelAttempt closes the connection of a running attempt, which then ends with
// AttemptCancelled unless it has already ended.
type CancelAttempt struct{ Request model.RequestID }

// Probe requests the health and load of a backend server.
type Probe struct{ Backend model.BackendName }

// ClosePooledConnections closes the pooled connections to a backend server after one
// of them became unresponsive or was found broken: a device on the path may have
// dropped the state of the others too.
type ClosePooledConnections struct{ Backend model.BackendName }

// Gossip sends a membership message to a peer.
type Gossip struct {
	To      model.InstanceID
	Message *membership.Message
}

// OpenLink opens a link to a peer, or keeps an existing one open.
type OpenLink struct {
	Peer model.InstanceID
	Addr string
}

// CloseLink closes the link to a peer. An OpenLink that follows opens a new one.
type CloseLink struct{ Peer model.InstanceID }

// FetchRevision requests a newer configuration revision from a peer.
type FetchRevision struct {
	From   model.InstanceID
	Number int64
}

// PollPlatform reads the configuration head and the instance list.
type PollPlatform struct{}

// PublishView replaces the immutable view that serves lookups.
type PublishView struct{}

// Record writes one decision to the journal.
type Record struct {
	Entry JournalEntry
}

// JournalEntry is one decision and the reason for it.
type JournalEntry struct {
	At      model.Instant
	TraceID string // RequestMeta.TraceID; empty if the decision does not concern a single request
	Subject string // instance, backend server, zone, service or revision concerned
	Message string // what was decided or happened, such as "ejected"
	Reason  string
}

// Exit stops the instance. It is issued once nothing is in flight and every lookup
// answer that names the instance has expired.
type Exit struct{}

func (*Forward) effect()                {}
func (*Refuse) effect()                 {}
func (*CancelOnceRequest) effect()      {}
func (*WithdrawOffer) effect()          {}
func (*Claim) effect()                  {}
func (*Dispatch) effect()               {}
func (*Replay) effect()                 {}
func (*RefuseOffer) effect()            {}
func (*CancelAttempt) effect()          {}
func (*Probe) effect()                  {}
func (*ClosePooledConnections) effect() {}
func (*Gossip) effect()                 {}
func (*OpenLink) effect()               {}
func (*CloseLink) effect()              {}
func (*FetchRevision) effect()          {}
func (*PollPlatform) effect()           {}
func (*PublishView) effect()            {}
func (*Record) effect()                 {}
func (*Exit) effect()                   {}
