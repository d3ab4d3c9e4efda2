package ledger

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

func fastSettings() Settings {
	s := DefaultSettings()
	s.TransactionsPerSecond = 1_000_000
	s.RowBodyBytes = 64
	return s
}

func startLedger(t *testing.T, table platform.Table, objects platform.Objects, s Settings) *Ledger {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := New(table, objects, s, func() model.Instant { return 1 })
	var tasks sync.WaitGroup
	tasks.Go(func() { l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return l
}

func attempt(id string) Attempt {
	return Attempt{ID: id, Request: "r-" + id, Key: Key{Service: "checkout", Caller: "k"}, Digest: 7}
}

func TestClaimThenFinishThenRepeat(t *testing.T) {
	ctx := context.Background()
	l := startLedger(t, newFakeTable(1), &fakeObjects{}, fastSettings())

	result, _, err := l.Claim(ctx, attempt("a"))
	require.NoError(t, err)
	require.Equal(t, event.ClaimGranted, result)

	result, _, err = l.Claim(ctx, attempt("b"))
	require.NoError(t, err)
	require.Equal(t, event.ClaimInProgress, result)

	for _, size := range []int{10, 100} { // stored in the row, then in the object store
		answer := &Answer{Status: 201, Headers: []Header{{Name: "Content-Type", Value: []byte("text/plain")}}, Body: bytes.Repeat([]byte("x"), size)}
		a := attempt(fmt.Sprintf("size-%d", size))
		a.Key.Caller = a.ID
		_, _, err = l.Claim(ctx, a)
		require.NoError(t, err)
		require.NoError(t, l.Finish(ctx, a, answer))
		repeat := a
		repeat.ID = "later"
		result, stored, err := l.Claim(ctx, repeat)
		require.NoError(t, err)
		require.Equal(t, event.ClaimFinished, result)
		require.Equal(t, answer, stored)
	}
}

func TestClaimResults(t *testing.T) {
	ctx := context.Background()
	other := attempt("other")
	other.Digest = 8
	table := newFakeTable(1)
	l := startLedger(t, table, &fakeObjects{}, fastSettings())
	_, _, err := l.Claim(ctx, attempt("a"))
	require.NoError(t, err)

	result, _, err := l.Claim(ctx, other)
	require.NoError(t, err)
	require.Equal(t, event.ClaimMismatch, result)

	require.NoError(t, l.Release(ctx, attempt("a")))
	require.NoError(t, l.Release(ctx, attempt("a")), "a repeated release must find its own earlier write")
	result, _, err = l.Claim(ctx, attempt("b"))
	require.NoError(t, err)
	require.Equal(t, event.ClaimGranted, result)

	var notHeld *NotHeldError
	require.ErrorAs(t, l.Finish(ctx, attempt("a"), &Answer{Status: 200}), &notHeld)

	table.down = true
	result, _, err = l.Claim(ctx, attempt("c"))
	require.Error(t, err)
	require.Equal(t, event.ClaimUnavailable, result)
}

func TestCancelledRequestNeverClaims(t *testing.T) {
	ctx := context.Background()
	l := startLedger(t, newFakeTable(1), &fakeObjects{}, fastSettings())
	ownerAttempt := attempt("owner")
	ingressAttempt := ownerAttempt
	ingressAttempt.ID = "ingress"

	result, _, err := l.Cancel(ctx, ingressAttempt)
	require.NoError(t, err)
	require.Equal(t, event.ClaimCancelled, result)
	result, _, err = l.Claim(ctx, ownerAttempt)
	require.NoError(t, err)
	require.Equal(t, event.ClaimCancelled, result)

	result, _, err = l.Claim(ctx, attempt("next"))
	require.NoError(t, err)
	require.Equal(t, event.ClaimGranted, result, "another request may use the key")

	again := attempt("next")
	again.ID = "ingress-2"
	result, _, err = l.Cancel(ctx, again)
	require.NoError(t, err)
	require.Equal(t, event.ClaimInProgress, result, "a claim in effect must not be cancelled")
}

func TestReleaseDefeatsDelayedClaim(t *testing.T) {
	ctx := context.Background()
	table := newFakeTable(1)
	table.delay = 1
	s := fastSettings()
	l := startLedger(t, table, &fakeObjects{}, s)
	result, _, err := l.Claim(ctx, attempt("a"))
	require.Error(t, err)
	require.Equal(t, event.ClaimUncertain, result)

	table.delay = 0
	require.NoError(t, l.Release(ctx, attempt("a")))
	for len(table.delayed) > 0 {
		table.deliverDelayed()
	}
	result, _, err = l.Claim(ctx, attempt("b"))
	require.NoError(t, err)
	require.Equal(t, event.ClaimGranted, result)
}

// TestAtMostOneRun guards against a second run of a key, and against a run of a request
// whose caller was told that it will never run. Random attempts use a table that loses
// and delays commits, and stop at any step.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		table := newFakeTable(rapid.Uint64().Draw(t, "seed"))
		table.lostReply = rapid.Float64Range(0, 0.5).Draw(t, "lostReply")
		table.lostRequest = rapid.Float64Range(0, 0.3).Draw(t, "lostRequest")
		table.delay = rapid.Float64Range(0, 0.3).Draw(t, "delay")
		s := fastSettings()
		l := New(table, &fakeObjects{}, s, func() model.Instant { return 1 })
		go l.Run(ctx)
		runs := 0
		toldNotRun := make(map[string]bool)
		ran := make(map[string]bool)
		steps := rapid.IntRange(2, 10).Draw(t, "attempts")
		for i := range steps {
			a := attempt(fmt.Sprint(i))
			if rapid.Bool().Draw(t, "cancelFirst") {
				ingressAttempt := a
				ingressAttempt.ID += "-ingress"
				result, _, _ := l.Cancel(ctx, ingressAttempt)
				toldNotRun[a.Request] = result == event.ClaimCancelled
			}
			result, _, _ := l.Claim(ctx, a)
			table.deliverDelayed()
			if result != event.ClaimGranted {
				continue
			}
			switch rapid.SampledFrom([]string{"run", "run and stop", "release", "stop"}).Draw(t, "then") {
			case "run":
				runs++
				ran[a.Request] = true
				_ = l.Finish(ctx, a, &Answer{Status: 200})
			case "run and stop":
				runs++
				ran[a.Request] = true
			case "release":
				_ = l.Release(ctx, a)
			}
		}
		if runs > 1 {
			t.Fatalf("key ran %d times", runs)
		}
		for r := range ran {
			if toldNotRun[r] {
				t.Fatalf("request %s ran after its caller was told that it will never run", r)
			}
		}
	})
}

func TestBatchTakesUrgentFirst(t *testing.T) {
	table := newFakeTable(1)
	s := fastSettings()
	s.RowsPerTransaction = 2
	b := newBatcher(table, s)
	for i, rank := range []model.Rank{model.Background, model.Normal, model.Urgent, model.Background} {
		require.True(t, b.enqueue(&change{key: fmt.Sprint(i), rank: rank, done: make(chan error, 1)}))
	}
	require.Equal(t, []model.Rank{model.Urgent, model.Normal}, ranks(b.nextBatch()))
	require.Equal(t, []model.Rank{model.Background, model.Background}, ranks(b.nextBatch()))
}

func ranks(batch []*change) []model.Rank {
	out := make([]model.Rank, 0, len(batch))
	for _, c := range batch {
		out = append(out, c.rank)
	}
	return out
}

func TestBudgetExhausted(t *testing.T) {
	s := fastSettings()
	s.TransactionsPerSecond = 1
	s.RowsPerTransaction = 1
	s.MaxQueuedPerRank = 1
	l := startLedger(t, newFakeTable(1), &fakeObjects{}, s)
	results := make(chan event.ClaimResult, 20)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range 20 {
		tasks.Go(func() {
			a := attempt(fmt.Sprint(i))
			a.Key.Caller = a.ID
			result, _, _ := l.Claim(ctx, a)
			results <- result
		})
	}
	tasks.Wait()
	counts := make(map[event.ClaimResult]int)
	for range 20 {
		counts[<-results]++
	}
	require.Equal(t, map[event.ClaimResult]int{event.ClaimGranted: 1, event.ClaimOverBudget: 19}, counts)
}
