// Package confstore stores the operators' configuration in the platform's table
// service: one head row with the number of the current revision, one row for each
// revision, and one row for each operation that created a revision.
package confstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"google.golang.org/protobuf/proto"
)

const (
	headKey         = "config/head"
	identityKey     = "config/identity"
	revisionPrefix  = "config/revision/"
	operationPrefix = "config/operation/"
)

func revisionKey(number int64) string { return fmt.Sprintf("%s%012d", revisionPrefix, number) }

func operationKey(id string) string { return operationPrefix + id }

const (
	defaultAttempts     = 8
	defaultInitialDelay = 50 * time.Millisecond
	maxDelay            = 2 * time.Second
)

// Store reads and changes the configuration. It is safe for concurrent use.
type Store struct {
	table        platform.Table
	now          func() time.Time
	attempts     int
	initialDelay time.Duration
}

// Option configures a Store.
type Option func(*Store)

// WithClock sets the clock for the times of acceptance of revisions.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// WithRetries sets the maximum number of attempts per change, at least one, and the
// delay after the first attempt. Later delays grow exponentially.
func WithRetries(attempts int, initialDelay time.Duration) Option {
	return func(s *Store) { s.attempts, s.initialDelay = max(1, attempts), initialDelay }
}

// New returns a Store that keeps its rows in table.
func New(table platform.Table, options ...Option) *Store {
	s := &Store{table: table, now: time.Now, attempts: defaultAttempts, initialDelay: defaultInitialDelay}
	for _, option := range options {
		option(s)
	}
	return s
}

func (s *Store) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.initialDelay
	b.MaxInterval = maxDelay
	return b
}

// ErrNoRevision is returned before the first configuration has been applied.
var ErrNoRevision = errors.New("no configuration has been applied yet")

// Load returns the current revision. If there is none, the error is
// ErrNoRevision.
func (s *Store) Load(ctx context.Context) (*config.Revision, error) {
	revision, err := s.LoadIfNewer(ctx, 0)
	if err == nil && revision == nil {
		return nil, ErrNoRevision
	}
	return revision, err
}

// LoadIfNewer returns the current revision unless its number is known, and nil otherwise. A
// lower number means that the table was restored from a copy. If the number is known, it
// reads only the head row. Follower also tells revisions with the same number apart.
func (s *Store) LoadIfNewer(ctx context.Context, known int64) (*config.Revision, error) {
	head, err := s.head(ctx)
	for err == nil && head.number != known {
		var revision *config.Revision
		if revision, err = s.LoadRevision(ctx, head.number); err == nil {
			return revision, nil
		}
		head, err = s.headAfterRestore(ctx, head, err)
	}
	return nil, err
}

// headAfterRestore returns the head row again if it has changed since it was read and the revision
// that it named is missing: a restore of the table between the two reads has removed it. Otherwise
// it returns loadErr.
func (s *Store) headAfterRestore(ctx context.Context, read headRow, loadErr error) (headRow, error) {
	var missing *MissingRowError
	if !errors.As(loadErr, &missing) {
		return headRow{}, loadErr
	}
	head, err := s.head(ctx)
	if err == nil && head == read {
		err = loadErr
	}
	return head, err
}

// LoadRevision returns one revision by number. If it does not exist, the error is a
// *MissingRowError.
func (s *Store) LoadRevision(ctx context.Context, number int64) (*config.Revision, error) {
	revisions, err := s.readRevisions(ctx, number, number)
	if err != nil {
		return nil, err
	}
	return revisions[0], nil
}

// maxRevisionsRead limits the number of revisions that History reads in one call
// to the table.
const maxRevisionsRead = 64

// History returns up to limit revisions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]*config.Revision, error) {
	head, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	var history []*config.Revision
	oldest := max(1, head.number-int64(limit)+1)
	for last := head.number; last >= oldest; last -= maxRevisionsRead {
		revisions, err := s.readRevisions(ctx, last, max(oldest, last-maxRevisionsRead+1))
		if err != nil {
			return nil, err
		}
		history = append(history, revisions...)
	}
	return history, nil
}

// readRevisions returns the revisions with the numbers last to first, in descending
// order.
func (s *Store) readRevisions(ctx context.Context, last, first int64) ([]*config.Revision, error) {
	var keys []string
	for number := last; number >= first; number-- {
		keys = append(keys, revisionKey(number))
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read revision %d: %w", last, err)
	}
	revisions := make([]*config.Revision, 0, len(rows))
	for _, row := range rows {
		revision, err := decodeRow(row)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}

func decodeRow(row platform.Row) (*config.Revision, error) {
	if row.Version == 0 {
		return nil, &MissingRowError{Key: row.Key}
	}
	var message linkpb.Revision
	if err := proto.Unmarshal(row.Value, &message); err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	revision, err := config.DecodeRevision(&message)
	if err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return revision, nil
}

// headRow is the decoded head row. All fields are 0 before the first revision.
type headRow struct {
	number   int64  // of the current revision
	version  int64  // of the row
	identity uint64 // of the current revision; 0 if unknown or not read
}

func (s *Store) head(ctx context.Context) (headRow, error) {
	rows, err := s.table.Get(ctx, headKey)
	if err != nil {
		return headRow{}, fmt.Errorf("read configuration head: %w", err)
	}
	return decodeHead(rows[0])
}

func decodeHead(row platform.Row) (headRow, error) {
	if row.Version == 0 {
		return headRow{}, nil
	}
	number, err := parseNumber(row)
	return headRow{number: number, version: row.Version}, err
}

func parseNumber(row platform.Row) (int64, error) {
	number, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return number, nil
}
