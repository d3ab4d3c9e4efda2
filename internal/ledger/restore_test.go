package ledger

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ledger/ledgerpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// copyOf returns a copy of the table's state; restore returns to it, versions included.
func (f *fakeTable) copyOf() (map[string]platform.Row, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.counter
}

func (f *fakeTable) restore(rows map[string]platform.Row, counter int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows, f.counter = maps.Clone(rows), counter
}

func TestLostClaimIsNotGrantedAgainHere(t *testing.T) {
	for _, finished := range []bool{false, true} {
		table := newFakeTable(1)
		l := startLedger(t, table, &fakeObjects{}, fastSettings())
		rows, counter := table.copyOf()
		result, _, err := l.Claim(t.Context(), attempt("a"))
		require.NoError(t, err)
		require.Equal(t, event.ClaimGranted, result)
		if finished {
			require.NoError(t, l.Finish(t.Context(), attempt("a"), &Answer{Status: 200}))
		}
		table.restore(rows, counter)

		result, _, err = l.Claim(t.Context(), attempt("b"))
		var lost *LostClaimError
		require.ErrorAs(t, err, &lost)
		require.NoError(t, lost.Err)
		require.Equal(t, event.ClaimInProgress, result, "finished %v", finished)
		elsewhere := startLedger(t, table, &fakeObjects{}, fastSettings())
		result, _, err = elsewhere.Claim(t.Context(), attempt("c"))
		require.NoError(t, err)
		require.Equal(t, event.ClaimInProgress, result, "the claim is written again")
	}
}

func TestRequestOfLostClaimIsNotCancelledHere(t *testing.T) {
	table := newFakeTable(1)
	l := startLedger(t, table, &fakeObjects{}, fastSettings())
	rows, counter := table.copyOf()
	_, _, err := l.Claim(t.Context(), attempt("a"))
	require.NoError(t, err)
	table.restore(rows, counter)
	again := attempt("a")
	again.ID = "ingress"
	result, _, _ := l.Cancel(t.Context(), again)
	require.Equal(t, event.ClaimInProgress, result)
}

// TestLostClaimsAreWrittenAgain covers keys that are repeated at another instance after the
// restore.
func TestLostClaimsAreWrittenAgain(t *testing.T) {
	table := newFakeTable(1)
	l := startLedger(t, table, &fakeObjects{}, fastSettings())
	elsewhere := startLedger(t, table, &fakeObjects{}, fastSettings())
	claim := func(l *Ledger, id string, caller int) event.ClaimResult {
		a := attempt(id)
		a.Key.Caller = fmt.Sprint(caller)
		result, _, _ := l.Claim(t.Context(), a)
		return result
	}
	require.Equal(t, event.ClaimGranted, claim(l, "early", 0))
	rows, counter := table.copyOf()
	for caller := range 2 * maxVerified {
		claim(l, fmt.Sprint("a-", caller), caller+1)
	}
	released := attempt("a-1")
	released.Key.Caller = "2"
	require.NoError(t, l.Release(t.Context(), released))
	rewritten, err := l.Verify(t.Context())
	require.NoError(t, err)
	require.Zero(t, rewritten, "nothing was lost")

	table.restore(rows, counter)
	require.Equal(t, event.ClaimGranted, claim(elsewhere, "b", 3), "not yet written again")
	rewritten, err = l.Verify(t.Context())
	require.NoError(t, err)
	require.Equal(t, 2*maxVerified-2, rewritten)
	for caller := range 2*maxVerified + 1 {
		wanted := event.ClaimInProgress
		if caller == 2 {
			wanted = event.ClaimGranted
		}
		require.Equal(t, wanted, claim(elsewhere, fmt.Sprint("c-", caller), caller), "key %d", caller)
	}
	rewritten, err = l.Verify(t.Context())
	require.NoError(t, err)
	require.Zero(t, rewritten)
}

// TestAnswerIsStoredAfterRestore covers a request that ends after the restore.
func TestAnswerIsStoredAfterRestore(t *testing.T) {
	table := newFakeTable(1)
	l := startLedger(t, table, &fakeObjects{}, fastSettings())
	rows, counter := table.copyOf()
	_, _, err := l.Claim(t.Context(), attempt("a"))
	require.NoError(t, err)
	table.restore(rows, counter)
	_, err = l.Verify(t.Context())
	require.NoError(t, err)
	require.NoError(t, l.Finish(t.Context(), attempt("a"), &Answer{Status: 200}))
	result, answer, err := l.Claim(t.Context(), attempt("b"))
	require.NoError(t, err)
	require.Equal(t, event.ClaimFinished, result)
	require.Equal(t, 200, answer.Status)
}

func TestRecentClaimsAreLimited(t *testing.T) {
	r := recentClaims{claims: map[string]recentClaim{}}
	keyed := func(n int) Attempt {
		return Attempt{ID: fmt.Sprint(n), Key: Key{Service: "s", Caller: fmt.Sprint(n)}}
	}
	for n := range maxRecent + 1 {
		r.add(keyed(n), 1)
	}
	require.Len(t, r.claims, maxRecent)
	require.Len(t, r.order, maxRecent)
	later := model.Instant(1).Add(recentPeriod + time.Second)
	require.Empty(t, r.latest(1, later))
	r.add(keyed(0), later)
	require.Len(t, r.claims, 1)
	require.Len(t, r.latest(2, later), 1)
	r.remove(keyed(0))
	require.Empty(t, r.claims)
}

// TestReleasedRowIsNotTakenForLost covers a claim after a release by this instance.
func TestReleasedRowIsNotTakenForLost(t *testing.T) {
	table := newFakeTable(1)
	l := startLedger(t, table, &fakeObjects{}, fastSettings())
	for _, id := range []string{"a", "b", "c"} {
		result, _, err := l.Claim(t.Context(), attempt(id))
		require.NoError(t, err)
		require.Equal(t, event.ClaimGranted, result)
		require.NoError(t, l.Release(t.Context(), attempt(id)))
		rewritten, err := l.Verify(t.Context())
		require.NoError(t, err)
		require.Zero(t, rewritten)
	}
	rows, _ := table.copyOf()
	current, err := decode(rows[attempt("a").Key.row()])
	require.NoError(t, err)
	require.Equal(t, ledgerpb.State_STATE_RELEASED, current.row.GetState())
}
