// Package ledger makes work of kind once run at most once. Each idempotency key
// is one row of the platform's table; a request may be sent to a backend server
// only by the attempt whose claim the row holds. There are no leases: a claim
// ends only by the word of the attempt that holds it, so an attempt that is
// paused for any time does no harm.
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

// keyPrefix is the table's key space for idempotency keys.
const keyPrefix = "once/"

// Key identifies one idempotency key; callers' keys are scoped by service.
type Key struct {
	Service model.ServiceName
	Caller  string // the caller's Idempotency-Key
}

func (k Key) row() string { return keyPrefix + string(k.Service) + "/" + k.Caller }

// Attempt identifies one try at running a request.
type Attempt struct {
	ID      string // unique over all instances and restarts
	Request string // the caller's request that the attempt is for; unique likewise
	Key     Key
	Digest  uint64 // hash of the request, compared with the row's
	Rank    model.Rank
}

// Header is one header of a stored answer.
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

// entry is a decoded row together with the version that a write must be
// conditional on.
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

// maxCancelled bounds the cancelled requests that a row remembers. A key with
// more of them can no longer be cancelled, only claimed.
const maxCancelled = 64

// open reports that no attempt holds or has run the key.
func (e entry) open() bool {
	return e.version == 0 || e.row.GetState() == ledgerpb.State_STATE_RELEASED
}

// cancelled reports that the caller of this request was told that it never runs.
func (e entry) cancelled(a Attempt) bool {
	return slices.Contains(e.row.GetCancelled(), a.Request)
}

// judge says what the row means for an attempt that finds it. ClaimGranted says
// that the attempt may write its own state over the row, or has done so.
func judge(e entry, a Attempt) event.ClaimResult {
	if e.open() {
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

// next builds the row that an attempt writes over e on entering a state.
func (e entry) next(a Attempt, state ledgerpb.State, now model.Instant) *ledgerpb.Row {
	return &ledgerpb.Row{
		State:     state,
		Attempt:   a.ID,
		Digest:    a.Digest,
		WrittenAt: int64(now),
		Cancelled: e.row.GetCancelled(),
	}
}

// holds reports that the row is the attempt's own write of a state; an earlier
// try whose reply was lost may have written it.
func (e entry) holds(a Attempt, state ledgerpb.State) bool {
	return e.version != 0 && e.row.GetState() == state && e.row.GetAttempt() == a.ID
}

// answerOf converts a stored answer whose body is in the row.
func answerOf(row *ledgerpb.Row) *Answer {
	stored := row.GetAnswer()
	a := &Answer{Status: int(stored.GetStatus()), Body: stored.GetBody()}
	for _, h := range stored.GetHeaders() {
		a.Headers = append(a.Headers, Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return a
}
