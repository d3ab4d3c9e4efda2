package event

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Effect is something the runtime must do. Effects are valid until the next
// call of the reducer.
type Effect interface{ effect() }

// Forward sends a request to the owner of a backend server for it.
type Forward struct {
	Request model.RequestID
	Owner   model.InstanceID // may be this instance
	Zone    model.ZoneName
	Spill   bool
}

// Refuse answers the caller that its request was not served.
type Refuse struct {
	Request model.RequestID
	Outcome model.Outcome // NotRun or Unknown
	Cause   model.Cause
}

// Settle inserts the request's idempotency key as cancelled if it is absent.
type Settle struct{ Request model.RequestID }

// WithdrawOffer tells the owner that the ingress no longer wants the answer.
type WithdrawOffer struct {
	Request model.RequestID
	Owner   model.InstanceID
}

// Claim claims the request's idempotency key in the ledger before it is sent.
type Claim struct{ Request model.RequestID }

// Dispatch sends a request to a backend server.
type Dispatch struct {
	Request model.RequestID
	Backend model.BackendName
	// FreshConnection forbids a pooled connection.
	FreshConnection bool
	// SilentAfter bounds the wait for an answer on a pooled connection, which may
	// have gone silent; 0 leaves it to the progress time-out.
	SilentAfter time.Duration
}

// Replay answers a repeated once request with the answer that the ledger
// returned.
type Replay struct{ Request model.RequestID }

// RefuseOffer tells the ingress that the owner does not serve the request.
type RefuseOffer struct {
	Request model.RequestID
	Outcome model.Outcome
	Cause   model.Cause
	// Release gives the request's claim back first: it was provably not sent.
	Release bool
}

// CancelAttempt closes the connection of a running attempt.
type CancelAttempt struct{ Request model.RequestID }

// Probe asks a backend server for its health and load.
type Probe struct{ Backend model.BackendName }

// CondemnConnections closes the pooled connections of a backend server, since
// one of the same age went silent.
type CondemnConnections struct{ Backend model.BackendName }

// Gossip sends a membership message to a peer.
type Gossip struct {
	To      model.InstanceID
	Message *membership.Message
}

// OpenLink opens, or keeps open, a link to a peer.
type OpenLink struct {
	Peer model.InstanceID
	Addr string
}

// CloseLink closes the link to a peer that is gone.
type CloseLink struct{ Peer model.InstanceID }

// FetchRevision asks a peer for a newer configuration revision.
type FetchRevision struct {
	From   model.InstanceID
	Number int64
}

// PollPlatform reads the configuration head and the instance list.
type PollPlatform struct{}

// PublishView replaces the immutable view that look-ups read.
type PublishView struct{}

// Record writes one decision to the journal.
type Record struct {
	Entry JournalEntry
}

// JournalEntry is one decision and the reason for it.
type JournalEntry struct {
	At      model.Instant
	Request string // trace identifier, empty where the decision is not about one request
	Subject string // instance, backend server, zone or service that the decision is about
	What    string // short verb phrase, such as "ejected"
	Why     string
}

// Exit ends the process: everything in flight has finished.
type Exit struct{}

func (*Forward) effect()            {}
func (*Refuse) effect()             {}
func (*Settle) effect()             {}
func (*WithdrawOffer) effect()      {}
func (*Claim) effect()              {}
func (*Dispatch) effect()           {}
func (*Replay) effect()             {}
func (*RefuseOffer) effect()        {}
func (*CancelAttempt) effect()      {}
func (*Probe) effect()              {}
func (*CondemnConnections) effect() {}
func (*Gossip) effect()             {}
func (*OpenLink) effect()           {}
func (*CloseLink) effect()          {}
func (*FetchRevision) effect()      {}
func (*PollPlatform) effect()       {}
func (*PublishView) effect()        {}
func (*Record) effect()             {}
func (*Exit) effect()               {}
