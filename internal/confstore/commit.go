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

// buildRevision returns the successor of the current revision, which is nil before
// the first revision. It leaves the number, hash, times of acceptance and operation
// id to operation.complete, except that it keeps the time of an unchanged text. An
// error ends the operation without further attempts.
type buildRevision func(current *config.Revision) (*config.Revision, error)

// operation is one change of the configuration, attempted until it is committed or
// fails. Each attempt is conditional on the version of the head row that it was
// built from and on the absence of the operation's row. Therefore at most one
// attempt takes effect, even if replies are lost and earlier attempts are still in
// flight.
type operation struct {
	store *Store
	id    string
	build buildRevision
	// uncertain is set if an attempt based on version uncertainHead of the head row
	// may have taken effect or may still take effect.
	uncertain     bool
	uncertainHead int64
}

// commit attempts an operation until its outcome is known or the attempts are
// exhausted.
func (s *Store) commit(ctx context.Context, id string, build buildRevision) (*config.Revision, error) {
	op := &operation{store: s, id: id, build: build}
	delays := s.newBackoff()
	var err error
	for attempt := range s.attempts {
		if attempt > 0 && !sleep(ctx, delays.NextBackOff()) {
			break
		}
		var revision *config.Revision
		if revision, err = op.attempt(ctx); err == nil {
			return revision, nil
		}
		if !retryable(err) {
			break
		}
	}
	return nil, op.finalError(err)
}

// retryable reports whether another attempt may succeed: the table was unreachable,
// the reply was lost, or a concurrent change replaced the head row.
func retryable(err error) bool {
	var unavailable *platform.UnavailableError
	var uncertain *platform.UncertainError
	var conflict *platform.ConflictError
	return errors.As(err, &unavailable) || errors.As(err, &uncertain) || errors.As(err, &conflict)
}

// finalError converts the error of the last attempt to the error of the operation.
func (op *operation) finalError(err error) error {
	if op.uncertain {
		return &OutcomeUnknownError{OperationID: op.id, Err: err}
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return &ContentionError{OperationID: op.id, Attempts: op.store.attempts}
	}
	return err
}

// attempt reads the head row and the operation's row. If the operation's row
// exists, an earlier attempt has succeeded and its revision is returned; otherwise
// attempt commits the next revision.
//
// The operation's row is read after the head row: once the head row has changed, an
// attempt based on its old version has either written the operation's row by then
// or never takes effect. In the opposite order, a commit between the two reads
// would be mistaken for another operation's.
func (op *operation) attempt(ctx context.Context) (*config.Revision, error) {
	head, err := op.store.head(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := op.store.table.Get(ctx, operationKey(op.id), revisionKey(head.number))
	if err != nil {
		return nil, fmt.Errorf("read operation %s: %w", op.id, err)
	}
	if operationRow := rows[0]; operationRow.Version != 0 {
		return op.committed(ctx, operationRow)
	}
	if op.uncertainHead != head.version {
		op.uncertain = false
	}
	var current *config.Revision
	conditions := []platform.Condition{{Key: headKey, Version: head.version}}
	if head.number > 0 {
		if current, err = decodeRow(rows[1]); err != nil {
			return nil, err
		}
		origin, err := op.store.origin(ctx, current)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions, origin)
	}
	next, err := op.build(current)
	if err != nil {
		return nil, err
	}
	op.complete(next, current)
	if len(next.Earlier) > maxEarlierTexts {
		return nil, &PendingMovesError{Moves: len(next.Earlier)}
	}
	if err := op.write(ctx, head, conditions, next); err != nil {
		return nil, err
	}
	return next, nil
}

// origin returns the condition that the table holds the operation that created current. A
// restored table gives the version of the head row out again, to a revision of another
// operation.
func (s *Store) origin(ctx context.Context, current *config.Revision) (platform.Condition, error) {
	key := operationKey(current.OperationID)
	rows, err := s.table.Get(ctx, key)
	if err != nil {
		return platform.Condition{}, fmt.Errorf("read operation %s: %w", current.OperationID, err)
	}
	if rows[0].Version == 0 {
		err := &platform.ConflictError{Step: platform.StepGet, Key: key, Expected: 1}
		return platform.Condition{}, fmt.Errorf("read operation of revision %d: %w", current.Number, err)
	}
	return platform.Condition{Key: key, Version: rows[0].Version}, nil
}

// committed returns the revision that an earlier attempt created.
func (op *operation) committed(ctx context.Context, operationRow platform.Row) (*config.Revision, error) {
	number, err := parseNumber(operationRow)
	if err != nil {
		return nil, err
	}
	return op.store.LoadRevision(ctx, number)
}

// complete sets the fields that do not depend on the kind of change. The time of
// acceptance never decreases, even if the clocks of two operators' machines differ.
func (op *operation) complete(next, current *config.Revision) {
	next.Number = revisionNumber(current) + 1
	next.OperationID = op.id
	next.Hash = config.HashRevision(next.Source, next.Stops)
	next.AcceptedAt = op.store.now().UTC()
	if current != nil && current.AcceptedAt.After(next.AcceptedAt) {
		next.AcceptedAt = current.AcceptedAt
	}
	if next.TextAcceptedAt.IsZero() {
		next.TextAcceptedAt = next.AcceptedAt
	}
	next.Earlier = config.PruneCompletedMoves(next.Earlier, next.TextAcceptedAt)
	next.Ancestors = current.AncestorsOfNext()
}

// write commits next on conditions that the revision it was built from is still current,
// one of them that the head row has the version of head.
func (op *operation) write(ctx context.Context, head headRow, conditions []platform.Condition, next *config.Revision) error {
	value, err := proto.Marshal(config.EncodeRevision(next))
	if err != nil {
		return fmt.Errorf("encode revision %d: %w", next.Number, err)
	}
	number := []byte(strconv.FormatInt(next.Number, 10))
	err = op.store.table.Commit(ctx, platform.Transaction{
		Conditions: append(conditions,
			platform.Condition{Key: revisionKey(next.Number), Version: 0},
			platform.Condition{Key: operationKey(op.id), Version: 0},
		),
		Writes: []platform.Write{
			{Key: headKey, Value: number},
			{Key: revisionKey(next.Number), Value: value},
			{Key: operationKey(op.id), Value: number},
			{Key: identityKey, Value: encodeIdentity(next)},
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

// provablyNotApplied reports whether err rules out that the transaction took effect.
func provablyNotApplied(err error) bool {
	var unavailable *platform.UnavailableError
	var conflict *platform.ConflictError
	return errors.As(err, &unavailable) || errors.As(err, &conflict)
}

// sleep waits for d. It returns false if the context ended first.
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
