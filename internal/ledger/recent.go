package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/ledger/ledgerpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// recentPeriod is how long a granted claim is remembered. The platform's copies of its
	// table must be younger.
	recentPeriod = 2 * time.Minute
	// maxRecent limits the number of remembered claims, a few hundred bytes each.
	maxRecent = 16384
	// maxVerified is the number of the latest claims whose rows Verify reads.
	maxVerified = 16
)

// recentClaims remembers the claims that were granted to this instance and not released. A
// table that is restored from a copy may have lost them.
type recentClaims struct {
	mu     sync.Mutex
	claims map[string]recentClaim // by row key
	order  []recentClaim          // oldest first; may contain released claims
}

type recentClaim struct {
	attempt Attempt
	at      model.Instant
}

// add remembers a granted claim and forgets the oldest.
func (r *recentClaims) add(a Attempt, now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claim := recentClaim{attempt: a, at: now}
	r.claims[a.Key.row()] = claim
	r.order = append(r.order, claim)
	for len(r.order) > maxRecent || now.Sub(r.order[0].at) > recentPeriod {
		oldest := r.order[0]
		if key := oldest.attempt.Key.row(); r.claims[key] == oldest {
			delete(r.claims, key)
		}
		r.order = r.order[1:]
	}
}

// remove forgets the claim of an attempt.
func (r *recentClaims) remove(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claims[a.Key.row()].attempt.ID == a.ID {
		delete(r.claims, a.Key.row())
	}
}

// get returns the attempt whose claim on a key is remembered.
func (r *recentClaims) get(key Key) (Attempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claim, found := r.claims[key.row()]
	return claim.attempt, found
}

// latest returns up to limit remembered attempts, the latest first.
func (r *recentClaims) latest(limit int, now model.Instant) []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Attempt
	for i := len(r.order) - 1; i >= 0 && len(list) < limit && now.Sub(r.order[i].at) <= recentPeriod; i-- {
		if claim := r.order[i]; r.claims[claim.attempt.Key.row()] == claim {
			list = append(list, claim.attempt)
		}
	}
	return list
}

// lostBy returns the attempt that holds a remembered claim on the key of e although the row
// does not say so, because the table was restored from a copy. Claims are forgotten before
// they are released, so e must have been read before the call.
func (l *Ledger) lostBy(e entry, key Key) (Attempt, bool) {
	if !e.claimable() {
		return Attempt{}, false
	}
	return l.recent.get(key)
}

// writeAgain writes the row of a lost claim again. Its answer, if there was one, is lost.
func (l *Ledger) writeAgain(ctx context.Context, e entry, holder Attempt) error {
	return l.write(ctx, holder, e.version, e.next(holder, ledgerpb.State_STATE_CLAIMED, l.now()))
}

// Verify reads the rows of the latest claims. If one was lost, because the table was restored
// from a copy, it writes all remembered claims again that no other attempt has taken, and
// returns their number.
func (l *Ledger) Verify(ctx context.Context) (rewritten int, err error) {
	lost, err := l.anyLost(ctx, l.recent.latest(maxVerified, l.now()))
	if err != nil || !lost {
		return 0, err
	}
	for _, a := range l.recent.latest(maxRecent, l.now()) {
		current, readErr := l.read(ctx, a.Key)
		if readErr != nil {
			return rewritten, errors.Join(err, readErr)
		}
		holder, lost := l.lostBy(current, a.Key)
		if !lost {
			continue
		}
		if writeErr := l.writeAgain(ctx, current, holder); writeErr != nil {
			err = errors.Join(err, writeErr)
			continue
		}
		rewritten++
	}
	return rewritten, err
}

// anyLost reports whether one of the claims of attempts was lost.
func (l *Ledger) anyLost(ctx context.Context, attempts []Attempt) (bool, error) {
	if len(attempts) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	keys := lo.Map(attempts, func(a Attempt, _ int) string { return a.Key.row() })
	rows, err := l.table.Get(ctx, keys...)
	if err != nil {
		return false, fmt.Errorf("verify claims: %w", err)
	}
	for i, row := range rows {
		current, err := decode(row)
		if err != nil {
			return false, err
		}
		if _, lost := l.lostBy(current, attempts[i].Key); lost {
			return true, nil
		}
	}
	return false, nil
}
