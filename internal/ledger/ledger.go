package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ledger/ledgerpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Settings bound what the ledger asks of the platform.
type Settings struct {
	TransactionsPerSecond int           // write budget of this instance
	RowsPerTransaction    int           // changes that share a transaction
	WaitingPerRank        int           // changes that may wait for the budget
	Timeout               time.Duration // of one platform call
	RowBodyBytes          int           // larger answers go to the object store
}

// DefaultSettings divides a platform of several hundred writes a second among
// seven instances.
func DefaultSettings() Settings {
	return Settings{
		TransactionsPerSecond: 60,
		RowsPerTransaction:    32,
		WaitingPerRank:        256,
		Timeout:               time.Second,
		RowBodyBytes:          32 << 10,
	}
}

// maxTries bounds how often a row is written before the ledger gives up: each
// further try follows a row that changed in between, or a lost reply.
const maxTries = 3

// Ledger claims, releases, cancels and finishes idempotency keys.
type Ledger struct {
	table    platform.Table
	objects  platform.Objects
	settings Settings
	batcher  *batcher
	now      func() model.Instant
}

// New returns a ledger; Run must be running for its writes to proceed.
func New(table platform.Table, objects platform.Objects, s Settings, now func() model.Instant) *Ledger {
	return &Ledger{table: table, objects: objects, settings: s, batcher: newBatcher(table, s), now: now}
}

// Run sends the ledger's writes until ctx ends.
func (l *Ledger) Run(ctx context.Context) { l.batcher.run(ctx) }

// Claim tries to get the right to send a request. The answer is set with
// ClaimFinished only.
func (l *Ledger) Claim(ctx context.Context, a Attempt) (event.ClaimResult, *Answer, error) {
	var held entry // optimistic: most keys are new
	uncertain := false
	for range maxTries {
		err := l.write(ctx, a, held.version, held.next(a, ledgerpb.State_STATE_CLAIMED, l.now()))
		if err == nil {
			return event.ClaimGranted, nil, nil
		}
		if result, known := refusedWrite(err, uncertain); known {
			return result, nil, fmt.Errorf("claim %q: %w", a.Key.row(), err)
		}
		uncertain = uncertain || !isConflict(err)
		held, err = l.read(ctx, a.Key)
		if err != nil {
			return unreadable(uncertain), nil, fmt.Errorf("claim %q: %w", a.Key.row(), err)
		}
		if held.holds(a, ledgerpb.State_STATE_CLAIMED) {
			return event.ClaimGranted, nil, nil
		}
		if judge(held, a) != event.ClaimGranted {
			return l.report(ctx, held, a)
		}
	}
	return unreadable(uncertain), nil, fmt.Errorf("claim %q: row changed %d times", a.Key.row(), maxTries)
}

// refusedWrite reports the results that need no look at the row.
func refusedWrite(err error, uncertain bool) (event.ClaimResult, bool) {
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

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// unreadable is the result where the row cannot be read: after a lost reply the
// claim may stand.
func unreadable(uncertain bool) event.ClaimResult {
	if uncertain {
		return event.ClaimUncertain
	}
	return event.ClaimUnavailable
}

func (l *Ledger) report(ctx context.Context, e entry, a Attempt) (event.ClaimResult, *Answer, error) {
	result := judge(e, a)
	if result != event.ClaimFinished {
		return result, nil, nil
	}
	answer := answerOf(e.row)
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

// Cancel makes sure that a request that has no claim never gets one; other
// requests may still use the key. ClaimCancelled says that it is so now; any
// other result is what the row said before.
func (l *Ledger) Cancel(ctx context.Context, a Attempt) (event.ClaimResult, *Answer, error) {
	var err error
	for range maxTries {
		var held entry
		held, err = l.read(ctx, a.Key)
		if err != nil {
			continue
		}
		if !held.open() || held.cancelled(a) {
			return l.report(ctx, held, a)
		}
		if len(held.row.GetCancelled()) >= maxCancelled {
			return event.ClaimUncertain, nil, fmt.Errorf("cancel %q: %d requests are cancelled already", a.Key.row(), maxCancelled)
		}
		row := held.next(a, ledgerpb.State_STATE_RELEASED, l.now())
		row.Cancelled = append(slices.Clone(row.GetCancelled()), a.Request)
		if err = l.write(ctx, a, held.version, row); err == nil {
			return event.ClaimCancelled, nil, nil
		}
	}
	return event.ClaimUncertain, nil, fmt.Errorf("cancel %q: %w", a.Key.row(), err)
}

// Release gives a claim back after the request was provably not sent, so that
// the key can be claimed again. It also ends a claim whose reply was lost and
// that has not arrived yet: the row's new version makes the late write fail.
func (l *Ledger) Release(ctx context.Context, a Attempt) error {
	return l.settle(ctx, a, ledgerpb.State_STATE_RELEASED, nil)
}

// Finish stores the answer of a request that ran.
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
	return l.settle(ctx, a, ledgerpb.State_STATE_FINISHED, stored)
}

// settle replaces the attempt's own claim. It is idempotent: a try after a lost
// reply finds the earlier write.
func (l *Ledger) settle(ctx context.Context, a Attempt, state ledgerpb.State, answer *ledgerpb.Answer) error {
	var err error
	for range maxTries {
		var held entry
		held, err = l.read(ctx, a.Key)
		if err != nil {
			continue
		}
		if held.holds(a, state) {
			return nil
		}
		if !held.open() && !held.holds(a, ledgerpb.State_STATE_CLAIMED) {
			return &NotHeldError{Key: a.Key, Attempt: a.ID, Holder: held.row.GetAttempt()}
		}
		row := held.next(a, state, l.now())
		row.Answer = answer
		if err = l.write(ctx, a, held.version, row); err == nil {
			return nil
		}
	}
	return fmt.Errorf("settle %q: %w", a.Key.row(), err)
}

// NotHeldError reports that an attempt tried to settle a key whose claim it does
// not hold.
type NotHeldError struct {
	Key     Key
	Attempt string
	Holder  string
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("settle %q: attempt %s does not hold the claim, %s does", e.Key.row(), e.Attempt, e.Holder)
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
