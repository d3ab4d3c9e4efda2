// Package ledger ensures that requests of kind "once" run at most once. Each
// idempotency key is a row in the platform's table. Only the attempt whose claim is
// stored in the row may send the request to a backend server. There are no leases:
// only the attempt that holds a claim can end it, so an attempt may be paused for any
// length of time without risking a second run.
package ledger

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ledger/ledgerpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// keyPrefix is the prefix of idempotency keys in the table.
const keyPrefix = "once/"

// Key identifies an idempotency key. The keys that callers choose are scoped by
// service.
type Key struct {
	Service model.ServiceName
	Caller  string // the caller's Idempotency-Key
}

func (k Key) row() string { return keyPrefix + string(k.Service) + "/" + k.Caller }

// Attempt identifies one attempt to run a request.
type Attempt struct {
	ID      string // unique across all instances and restarts
	Request string // ID of the caller's request; unique across all instances and restarts
	Key     Key
	Digest  uint64 // hash of the request, compared with the one in the row
	Rank    model.Rank
}

// Header is a header of a stored answer.
type Header struct {
	Name  string
	Value []byte
}

// Answer is the stored answer of a finished request.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// entry is a decoded row with the version on which a write must be conditional.
type entry struct {
	version int64
	row     *ledgerpb.Row
}

func decode(r platform.Row) (entry, error) {
	e := entry{version: r.Version, row: &ledgerpb.Row{}}
	if r.Version == 0 {
		return e, nil
	}
	if err := proto.Unmarshal(r.Value, e.row); err != nil {
		return e, fmt.Errorf("decode ledger row %q: %w", r.Key, err)
	}
	return e, nil
}

// maxCancelled is the maximum number of cancelled requests stored in a row. Once it
// is reached, no further request of the key can be cancelled, but the key can still
// be claimed.
const maxCancelled = 64

// claimable reports whether no attempt holds a claim on the key or has finished it.
func (e entry) claimable() bool {
	return e.version == 0 || e.row.GetState() == ledgerpb.State_STATE_RELEASED
}

// cancelled reports whether the request of a is cancelled: its caller has been told
// that it will never run.
func (e entry) cancelled(a Attempt) bool {
	return slices.Contains(e.row.GetCancelled(), a.Request)
}

// claimResult returns the claim result of attempt a, given the existing row e.
// ClaimGranted means that the attempt may overwrite the row with its own state or
// has done so.
func claimResult(e entry, a Attempt) event.ClaimResult {
	if e.claimable() {
		if e.cancelled(a) {
			return event.ClaimCancelled
		}
		return event.ClaimGranted
	}
	if e.row.GetDigest() != a.Digest {
		return event.ClaimMismatch
	}
	if e.row.GetState() == ledgerpb.State_STATE_FINISHED {
		return event.ClaimFinished
	}
	if e.row.GetAttempt() == a.ID {
		return event.ClaimGranted
	}
	return event.ClaimInProgress
}

// next returns the row that attempt a writes to replace e: the given state, without an
// answer, and with the cancelled requests of e.
func (e entry) next(a Attempt, state ledgerpb.State, now model.Instant) *ledgerpb.Row {
	return &ledgerpb.Row{
		State:     state,
		Attempt:   a.ID,
		Digest:    a.Digest,
		WrittenAt: int64(now),
		Cancelled: e.row.GetCancelled(),
	}
}

// writtenBy reports whether attempt a wrote the row with the given state, possibly
// in an earlier try whose reply was lost.
func (e entry) writtenBy(a Attempt, state ledgerpb.State) bool {
	return e.version != 0 && e.row.GetState() == state && e.row.GetAttempt() == a.ID
}

// storedAnswer converts the answer stored in a row. Body is empty if it is in the
// object store.
func storedAnswer(row *ledgerpb.Row) *Answer {
	stored := row.GetAnswer()
	a := &Answer{Status: int(stored.GetStatus()), Body: stored.GetBody()}
	for _, h := range stored.GetHeaders() {
		a.Headers = append(a.Headers, Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return a
}
