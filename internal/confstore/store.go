// Package confstore keeps the operators' configuration in the platform's table
// service: one head row with the number of the revision in force, one row for
// each revision, and one row for each operation that made a revision.
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

// Option changes a Store's behaviour.
type Option func(*Store)

// WithClock sets the source of the time that revisions carry.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// WithRetries sets how often a change is tried before it is given up, at least
// once, and the delay after the first try; later delays grow exponentially.
func WithRetries(attempts int, initialDelay time.Duration) Option {
	return func(s *Store) { s.attempts, s.initialDelay = max(1, attempts), initialDelay }
}

// New returns a store on a table.
func New(table platform.Table, options ...Option) *Store {
	s := &Store{table: table, now: time.Now, attempts: defaultAttempts, initialDelay: defaultInitialDelay}
	for _, option := range options {
		option(s)
	}
	return s
}

func (s *Store) delays() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.initialDelay
	b.MaxInterval = maxDelay
	return b
}

// ErrNoRevision reports that no configuration has been applied yet.
var ErrNoRevision = errors.New("no configuration has been applied yet")

// Load returns the revision in force. Where there is none, the error is
// ErrNoRevision.
func (s *Store) Load(ctx context.Context) (*config.Revision, error) {
	head, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.number == 0 {
		return nil, ErrNoRevision
	}
	return s.LoadRevision(ctx, head.number)
}

// LoadIfNewer returns the revision in force if its number is above than, and
// nil otherwise. It costs one read of the head row where there is nothing new.
func (s *Store) LoadIfNewer(ctx context.Context, than int64) (*config.Revision, error) {
	head, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.number <= than {
		return nil, nil
	}
	return s.LoadRevision(ctx, head.number)
}

// LoadRevision returns one revision by number. Where it does not exist, the
// error is a *MissingError.
func (s *Store) LoadRevision(ctx context.Context, number int64) (*config.Revision, error) {
	revisions, err := s.read(ctx, number, number)
	if err != nil {
		return nil, err
	}
	return revisions[0], nil
}

// maxRevisionsRead bounds one read of History.
const maxRevisionsRead = 64

// History returns up to limit revisions, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]*config.Revision, error) {
	head, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	var history []*config.Revision
	oldest := max(1, head.number-int64(limit)+1)
	for last := head.number; last >= oldest; last -= maxRevisionsRead {
		revisions, err := s.read(ctx, last, max(oldest, last-maxRevisionsRead+1))
		if err != nil {
			return nil, err
		}
		history = append(history, revisions...)
	}
	return history, nil
}

// read returns the revisions from last down to first.
func (s *Store) read(ctx context.Context, last, first int64) ([]*config.Revision, error) {
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
		return nil, &MissingError{Key: row.Key}
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

// headRow is the number of the revision in force and the version of the row
// that holds it; both are 0 before the first revision.
type headRow struct {
	number  int64
	version int64
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
