package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ledger/ledgerpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Settings limit the load that the ledger puts on the platform.
type Settings struct {
	TransactionsPerSecond int           // write budget of this entry instance
	RowsPerTransaction    int           // maximum number of changes in one transaction
	MaxQueuedPerRank      int           // maximum number of changes of one rank that wait for the write budget
	Timeout               time.Duration // bound of one platform call
	RowBodyBytes          int           // answers with a larger body go to the object store
	// Panics contains the panics of transactions; nil for none.
	Panics *contain.Panics
}

// DefaultSettings returns settings with which seven entry instances that share a
// platform together commit at most 420 transactions per second, 60 each; the platform's
// capacity is assumed to be several hundred writes per second.
func DefaultSettings() Settings {
	return Settings{
		TransactionsPerSecond: 60,
		RowsPerTransaction:    32,
		MaxQueuedPerRank:      256,
		Timeout:               time.Second,
		RowBodyBytes:          32 << 10,
	}
}

// maxTries is the maximum number of times that an operation tries to read and write
// its row. A retry follows a concurrent change of the row, a failed call or a lost
// reply.
const maxTries = 3

// Ledger claims, releases and finishes idempotency keys, and cancels requests.
type Ledger struct {
	table    platform.Table
	objects  platform.Objects
	settings Settings
	batcher  *batcher
	now      func() model.Instant
	recent   recentClaims
}

// New returns a ledger. Its writes are sent only while Run is running.
func New(table platform.Table, objects platform.Objects, s Settings, now func() model.Instant) *Ledger {
	return &Ledger{
		table: table, objects: objects, settings: s, batcher: newBatcher(table, s), now: now,
		recent: recentClaims{claims: make(map[string]recentClaim)},
	}
}

// Run sends the queued writes until ctx is done.
func (l *Ledger) Run(ctx context.Context) { l.batcher.run(ctx) }

// Claim tries to acquire the right to send a request to a backend server. The answer
// is non-nil only with ClaimFinished. A key that this instance has claimed recently is not
// granted to another attempt even if the table has lost the claim.
func (l *Ledger) Claim(ctx context.Context, a Attempt) (event.ClaimResult, *Answer, error) {
	var current entry // optimistic: assume an absent row, since most keys are new
	if holder, found := l.recent.get(a.Key); found && holder.ID != a.ID {
		var err error
		if current, err = l.read(ctx, a.Key); err != nil {
			return event.ClaimUnavailable, nil, fmt.Errorf("claim %q: %w", a.Key.row(), err)
		}
		if result, answer, err := l.resultOfKnownKey(ctx, current, a); result != event.ClaimGranted {
			return result, answer, err
		}
	}
	result, answer, err := l.claim(ctx, current, a)
	if result == event.ClaimGranted {
		l.recent.add(a, l.now())
	}
	return result, answer, err
}

// resultOfKnownKey returns the claim result for a key that this instance has claimed
// recently, given its row. If the claim was lost, it is written again.
func (l *Ledger) resultOfKnownKey(ctx context.Context, current entry, a Attempt) (event.ClaimResult, *Answer, error) {
	holder, lost := l.lostBy(current, a.Key)
	if !lost {
		if current.claimable() {
			return event.ClaimGranted, nil, nil
		}
		return l.resultOfRow(ctx, current, a)
	}
	lostClaim := &LostClaimError{Key: a.Key, Attempt: holder.ID, Err: l.writeAgain(ctx, current, holder)}
	if holder.Digest != a.Digest {
		return event.ClaimMismatch, nil, lostClaim
	}
	return event.ClaimInProgress, nil, lostClaim
}

// claim claims the key of a, given its row.
func (l *Ledger) claim(ctx context.Context, current entry, a Attempt) (event.ClaimResult, *Answer, error) {
	uncertain := false
	for range maxTries {
		err := l.write(ctx, a, current.version, current.next(a, ledgerpb.State_STATE_CLAIMED, l.now()))
		if err == nil {
			return event.ClaimGranted, nil, nil
		}
		if result, known := resultOfFailedWrite(err, uncertain); known {
			return result, nil, fmt.Errorf("claim %q: %w", a.Key.row(), err)
		}
		uncertain = uncertain || !isConflictError(err)
		current, err = l.read(ctx, a.Key)
		if err != nil {
			return resultOfFailedClaim(uncertain), nil, fmt.Errorf("claim %q: %w", a.Key.row(), err)
		}
		if current.writtenBy(a, ledgerpb.State_STATE_CLAIMED) {
			return event.ClaimGranted, nil, nil
		}
		if claimResult(current, a) != event.ClaimGranted {
			return l.resultOfRow(ctx, current, a)
		}
	}
	return resultOfFailedClaim(uncertain), nil, fmt.Errorf("claim %q: not written in %d tries", a.Key.row(), maxTries)
}

// resultOfFailedWrite returns the claim result of a failed write if err determines
// it without reading the row. It never does so after an uncertain write.
func resultOfFailedWrite(err error, uncertain bool) (event.ClaimResult, bool) {
	if uncertain {
		return 0, false
	}
	if errors.Is(err, ErrOverBudget) {
		return event.ClaimOverBudget, true
	}
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) {
		return event.ClaimUnavailable, true
	}
	return 0, false
}

func isConflictError(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// resultOfFailedClaim returns the claim result when neither a write nor a read of the
// row has settled the claim. If a write was uncertain, for instance because its reply
// was lost, the claim may be in effect.
func resultOfFailedClaim(uncertain bool) event.ClaimResult {
	if uncertain {
		return event.ClaimUncertain
	}
	return event.ClaimUnavailable
}

// resultOfRow returns the claim result for an existing row, with the stored answer
// if the request is finished. If that answer cannot be read from the object store, it
// returns ClaimInProgress and an error.
func (l *Ledger) resultOfRow(ctx context.Context, e entry, a Attempt) (event.ClaimResult, *Answer, error) {
	result := claimResult(e, a)
	if result != event.ClaimFinished {
		return result, nil, nil
	}
	answer := storedAnswer(e.row)
	name := e.row.GetAnswer().GetObject()
	if name == "" {
		return result, answer, nil
	}
	body, err := l.objects.Get(ctx, name)
	if err != nil {
		return event.ClaimInProgress, nil, fmt.Errorf("read stored answer %q: %w", name, err)
	}
	answer.Body = body
	return result, answer, nil
}

// Cancel ensures that a request without a claim can never acquire one. Other requests
// may still use the key. ClaimCancelled means that the request is cancelled. Any other
// result reflects the existing row, except ClaimUncertain, which is returned if the row
// could not be read or written or has no space for another cancelled request.
func (l *Ledger) Cancel(ctx context.Context, a Attempt) (event.ClaimResult, *Answer, error) {
	var err error
	for range maxTries {
		var current entry
		current, err = l.read(ctx, a.Key)
		if err != nil {
			continue
		}
		if !current.claimable() || current.cancelled(a) {
			return l.resultOfRow(ctx, current, a)
		}
		if _, lost := l.lostBy(current, a.Key); lost {
			return l.resultOfKnownKey(ctx, current, a)
		}
		if len(current.row.GetCancelled()) >= maxCancelled {
			return event.ClaimUncertain, nil, fmt.Errorf("cancel %q: limit of %d cancelled requests reached", a.Key.row(), maxCancelled)
		}
		row := current.next(a, ledgerpb.State_STATE_RELEASED, l.now())
		row.Cancelled = append(slices.Clone(row.GetCancelled()), a.Request)
		if err = l.write(ctx, a, current.version, row); err == nil {
			return event.ClaimCancelled, nil, nil
		}
	}
	return event.ClaimUncertain, nil, fmt.Errorf("cancel %q: %w", a.Key.row(), err)
}

// Release gives up a claim after the request was provably not sent, so that the key
// can be claimed again. It also defeats a claim whose reply was lost and whose write
// has not arrived yet: the new version of the row makes the late write fail.
func (l *Ledger) Release(ctx context.Context, a Attempt) error {
	l.recent.remove(a)
	return l.endClaim(ctx, a, ledgerpb.State_STATE_RELEASED, nil)
}

// Finish stores the answer to a request that ran.
func (l *Ledger) Finish(ctx context.Context, a Attempt, answer *Answer) error {
	stored := &ledgerpb.Answer{Status: uint32(answer.Status), Body: answer.Body}
	for _, h := range answer.Headers {
		stored.Headers = append(stored.Headers, &ledgerpb.Header{Name: h.Name, Value: h.Value})
	}
	if len(answer.Body) > l.settings.RowBodyBytes {
		stored.Object = a.Key.row() + "/" + a.ID
		stored.Body = nil
		if err := l.objects.Put(ctx, stored.Object, answer.Body); err != nil {
			return fmt.Errorf("store answer of %q: %w", a.Key.row(), err)
		}
	}
	return l.endClaim(ctx, a, ledgerpb.State_STATE_FINISHED, stored)
}

// endClaim writes the released or finished state for attempt a, unless another attempt
// holds the claim or has finished the key. A row that is absent or already released is
// written, too. endClaim is idempotent: a retry after a lost reply finds the earlier
// write.
func (l *Ledger) endClaim(ctx context.Context, a Attempt, state ledgerpb.State, answer *ledgerpb.Answer) error {
	var err error
	for range maxTries {
		var current entry
		current, err = l.read(ctx, a.Key)
		if err != nil {
			continue
		}
		if current.writtenBy(a, state) {
			return nil
		}
		if !current.claimable() && !current.writtenBy(a, ledgerpb.State_STATE_CLAIMED) {
			return &NotHeldError{Key: a.Key, Attempt: a.ID, Holder: current.row.GetAttempt()}
		}
		row := current.next(a, state, l.now())
		row.Answer = answer
		if err = l.write(ctx, a, current.version, row); err == nil {
			return nil
		}
	}
	return fmt.Errorf("end claim of %q: %w", a.Key.row(), err)
}

// LostClaimError reports a key whose claim the table has lost, because it was restored from a
// copy. Err is the error of writing it again, if there was one.
type LostClaimError struct {
	Key     Key
	Attempt string // the holder of the claim
	Err     error
}

// Error implements error.
func (e *LostClaimError) Error() string {
	text := fmt.Sprintf("claim %q: the table has lost the claim of attempt %s", e.Key.row(), e.Attempt)
	if e.Err != nil {
		text += fmt.Sprintf(", and it could not be written again: %v", e.Err)
	}
	return text
}

// Unwrap returns the error of writing the claim again.
func (e *LostClaimError) Unwrap() error { return e.Err }

// NotHeldError reports that an attempt tried to release or finish a key whose claim
// it does not hold.
type NotHeldError struct {
	Key     Key
	Attempt string
	Holder  string
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("end claim of %q: attempt %s does not hold the claim; the row was written by attempt %s", e.Key.row(), e.Attempt, e.Holder)
}

func (l *Ledger) read(ctx context.Context, k Key) (entry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	rows, err := l.table.Get(ctx, k.row())
	if err != nil {
		return entry{}, err
	}
	if len(rows) != 1 {
		return entry{}, fmt.Errorf("read %q: platform returned %d rows for one key", k.row(), len(rows))
	}
	return decode(rows[0])
}

func (l *Ledger) write(ctx context.Context, a Attempt, version int64, row *ledgerpb.Row) error {
	value, err := proto.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode ledger row %q: %w", a.Key.row(), err)
	}
	return l.batcher.submit(ctx, &change{key: a.Key.row(), version: version, value: value, rank: a.Rank})
}
