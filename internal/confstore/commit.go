package confstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"google.golang.org/protobuf/proto"
)

// buildRevision makes the revision that follows the one in force, which is nil
// before the first. It fills in neither number, hash, time nor operation id. An
// error ends the operation.
type buildRevision func(current *config.Revision) (*config.Revision, error)

// operation is one change on its way into the table. Every try is conditional
// on the head row that it was built from and on the absence of the operation's
// row, so that of all tries, also those whose reply was lost and that may still
// be under way, at most one takes effect.
type operation struct {
	store *Store
	id    string
	build buildRevision
	// uncertain reports that a try on the head row's version uncertainHead may have
	// taken effect, or may still do so.
	uncertain     bool
	uncertainHead int64
}

// commit tries an operation until its outcome is known or the tries are used up.
func (s *Store) commit(ctx context.Context, id string, build buildRevision) (*config.Revision, error) {
	op := &operation{store: s, id: id, build: build}
	delays := s.delays()
	var err error
	for attempt := range s.attempts {
		if attempt > 0 && !sleep(ctx, delays.NextBackOff()) {
			break
		}
		var revision *config.Revision
		if revision, err = op.try(ctx); err == nil {
			return revision, nil
		}
		if !retryable(err) {
			break
		}
	}
	return nil, op.giveUp(err)
}

// retryable reports whether another try may succeed: the table was not reachable,
// the reply was lost, or another change moved the head row meanwhile.
func retryable(err error) bool {
	var unavailable *platform.UnavailableError
	var uncertain *platform.UncertainError
	var conflict *platform.ConflictError
	return errors.As(err, &unavailable) || errors.As(err, &uncertain) || errors.As(err, &conflict)
}

func (op *operation) giveUp(err error) error {
	if op.uncertain {
		return &UnsettledError{OperationID: op.id, Err: err}
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return &ContentionError{OperationID: op.id, Attempts: op.store.attempts}
	}
	return err
}

// try reads what is in force, settles an earlier try by the operation's row, and
// otherwise commits the next revision. The operation's row is read after the head
// row: once the head has moved on, a try on the old head either shows in the
// operation's row by then or never takes effect.
func (op *operation) try(ctx context.Context) (*config.Revision, error) {
	head, err := op.store.head(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := op.store.table.Get(ctx, operationKey(op.id), revisionKey(head.number))
	if err != nil {
		return nil, fmt.Errorf("read operation %s: %w", op.id, err)
	}
	if done := rows[0]; done.Version != 0 {
		return op.first(ctx, done)
	}
	if op.uncertainHead != head.version {
		op.uncertain = false
	}
	var current *config.Revision
	if head.number > 0 {
		if current, err = decodeRow(rows[1]); err != nil {
			return nil, err
		}
	}
	next, err := op.build(current)
	if err != nil {
		return nil, err
	}
	op.complete(next, current)
	if len(next.Earlier) > maxEarlier {
		return nil, &PendingMovesError{Moves: len(next.Earlier)}
	}
	if err := op.write(ctx, head, next); err != nil {
		return nil, err
	}
	return next, nil
}

// first returns the revision that an earlier try made.
func (op *operation) first(ctx context.Context, done platform.Row) (*config.Revision, error) {
	number, err := parseNumber(done)
	if err != nil {
		return nil, err
	}
	return op.store.LoadRevision(ctx, number)
}

// complete fills in what does not depend on the kind of change. The time never
// goes back, whatever the clocks of two operators' machines say.
func (op *operation) complete(next, current *config.Revision) {
	next.Number = numberOf(current) + 1
	next.OperationID = op.id
	next.Hash = config.HashRevision(next.Source, next.Stops)
	next.AcceptedAt = op.store.now().UTC()
	if current != nil && current.AcceptedAt.After(next.AcceptedAt) {
		next.AcceptedAt = current.AcceptedAt
	}
	if next.TextAcceptedAt.IsZero() {
		next.TextAcceptedAt = next.AcceptedAt
	}
	next.Earlier = config.Unfinished(next.Earlier, next.TextAcceptedAt)
}

func (op *operation) write(ctx context.Context, head headRow, next *config.Revision) error {
	value, err := proto.Marshal(config.EncodeRevision(next))
	if err != nil {
		return fmt.Errorf("encode revision %d: %w", next.Number, err)
	}
	number := []byte(strconv.FormatInt(next.Number, 10))
	err = op.store.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{
			{Key: headKey, Version: head.version},
			{Key: revisionKey(next.Number), Version: 0},
			{Key: operationKey(op.id), Version: 0},
		},
		Writes: []platform.Write{
			{Key: headKey, Value: number},
			{Key: revisionKey(next.Number), Value: value},
			{Key: operationKey(op.id), Value: number},
		},
	})
	if err == nil {
		return nil
	}
	if !provablyNotApplied(err) {
		op.uncertain = true
		op.uncertainHead = head.version
	}
	return fmt.Errorf("commit revision %d: %w", next.Number, err)
}

func provablyNotApplied(err error) bool {
	var unavailable *platform.UnavailableError
	var conflict *platform.ConflictError
	return errors.As(err, &unavailable) || errors.As(err, &conflict)
}

// sleep waits for d and reports false where the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
