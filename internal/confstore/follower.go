package confstore

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// Follower tells an instance which revision to run. It is safe for concurrent use.
type Follower struct {
	store *Store

	mu   sync.Mutex
	kept kept
}

// kept is the outcome of comparing two revisions that their identities alone do not tell.
type kept struct {
	head   headRow
	active uint64 // identity of the revision in force
	lost   bool
}

// Follower returns a Follower of the store.
func (s *Store) Follower() *Follower { return &Follower{store: s} }

// Update is what the table says about the revision that an instance runs.
type Update struct {
	Revision *config.Revision // to run instead, nil if none
	// Lost reports that the table was restored from a copy and does not hold the revision
	// in force, which is to be kept.
	Lost bool
}

// Next compares the current revision of the table with the one in force, which may be nil.
// If there is nothing to change, it reads only two small rows. Before the first revision
// the error is ErrNoRevision.
func (f *Follower) Next(ctx context.Context, active *config.Revision) (Update, error) {
	head, err := f.store.headIdentity(ctx)
	if err != nil {
		return Update{}, err
	}
	if active != nil {
		if update, known := f.compare(head, active); known {
			return update, nil
		}
	}
	stored, err := f.store.LoadIfNewer(ctx, 0)
	if err != nil {
		return Update{}, err
	}
	if stored == nil {
		return Update{}, ErrNoRevision
	}
	current, lost := config.Current(active, stored)
	if current != active {
		return Update{Revision: current}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept = kept{head: head, active: active.Identity(), lost: lost}
	return Update{Lost: lost}, nil
}

// compare returns what follows from the head row alone. If known is false, its revision has
// to be read.
func (f *Follower) compare(head headRow, active *config.Revision) (update Update, known bool) {
	switch {
	case head.number == 0:
		return Update{Lost: true}, true
	case head.identity != 0 && head.identity == active.Identity():
		return Update{}, true
	case slices.Contains(active.Ancestors, head.identity):
		return Update{Lost: true}, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return Update{Lost: f.kept.lost}, f.kept.head == head && f.kept.active == active.Identity()
}

// headIdentity returns the head row with the identity of its revision. The identity is
// unknown if a version without identities has written the head row.
func (s *Store) headIdentity(ctx context.Context) (headRow, error) {
	rows, err := s.table.Get(ctx, headKey, identityKey)
	if err != nil {
		return headRow{}, fmt.Errorf("read configuration head: %w", err)
	}
	head, err := decodeHead(rows[0])
	if err != nil || rows[1].Version == 0 {
		return head, err
	}
	var number int64
	var identity uint64
	if _, err := fmt.Sscanf(string(rows[1].Value), identityFormat, &number, &identity); err != nil {
		return head, fmt.Errorf("decode row %q: %w", identityKey, err)
	}
	if number == head.number {
		head.identity = identity
	}
	return head, nil
}

// identityFormat is the format of the identity row: number and identity of a revision.
const identityFormat = "%d %016x"

func encodeIdentity(r *config.Revision) []byte {
	return fmt.Appendf(nil, identityFormat, r.Number, r.Identity())
}
