package confstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/stretchr/testify/require"
)

// textWithSlots returns a valid text whose first backend server has the given
// number of slots.
func textWithSlots(slots int) []byte {
	return fmt.Appendf(nil, `[zone a]
region = r
[service s]
[route s]
service = s
match = GET /s
[backend s-1]
service = s
zone = a
address = 127.0.0.1:21000
slots = %d
[backend s-2]
service = s
zone = a
address = 127.0.0.1:21001
slots = 1
`, slots)
}

func newTestStore(table platform.Table) *Store {
	return New(table, WithRetries(8, time.Microsecond))
}

func change(base int64, slots int, operation string) Change {
	return Change{Base: base, Source: textWithSlots(slots), Author: "ana", Reason: "r", OperationID: operation}
}

func stop(id string) config.Stop {
	return config.Stop{ID: id, Scope: config.StopBackend, Target: "s-1", Author: "ana", Reason: "disk", At: time.Unix(9, 0).UTC()}
}

func TestApplyAndLoad(t *testing.T) {
	store := newTestStore(newFakeTable(noFaults))
	ctx := t.Context()
	_, err := store.Load(ctx)
	require.ErrorIs(t, err, ErrNoRevision)
	first, err := store.Apply(ctx, change(0, 1, "op-1"))
	require.NoError(t, err)
	second, err := store.Apply(ctx, change(1, 2, "op-2"))
	require.NoError(t, err)
	require.Equal(t, []config.TextChange{{Source: first.Source, AcceptedAt: first.AcceptedAt}}, second.Earlier)
	loaded, err := store.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, second, loaded)
	newer, err := store.LoadIfNewer(ctx, 2)
	require.NoError(t, err)
	require.Nil(t, newer)
	history, err := store.History(ctx, 10)
	require.NoError(t, err)
	require.Equal(t, []*config.Revision{second, first}, history)
	history, err = store.History(ctx, 1)
	require.NoError(t, err)
	require.Len(t, history, 1)
}

func TestApplyConflictReturnsCurrentRevision(t *testing.T) {
	store := newTestStore(newFakeTable(noFaults))
	winner, err := store.Apply(t.Context(), change(0, 1, "op-1"))
	require.NoError(t, err)
	_, err = store.Apply(t.Context(), change(0, 2, "op-2"))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, winner, conflict.Current)
}

func TestInvalidTextWritesNothing(t *testing.T) {
	table := newFakeTable(noFaults)
	_, err := newTestStore(table).Apply(t.Context(), Change{Source: []byte("[zone a]"), OperationID: "op"})
	var problems *config.Problems
	require.ErrorAs(t, err, &problems)
	require.Zero(t, table.commits)
}

func TestLostRepliesAreResolvedByRetries(t *testing.T) {
	for _, f := range []fault{faultUnavailable, faultLostReply, faultLostRequest, faultDelayed} {
		table := newFakeTable(faultSequence(f))
		store := newTestStore(table)
		revision, err := store.Apply(t.Context(), change(0, 1, "op-1"))
		require.NoError(t, err, "fault %d", f)
		require.EqualValues(t, 1, revision.Number)
		again, err := store.Apply(t.Context(), change(0, 1, "op-1"))
		require.NoError(t, err)
		require.Equal(t, revision, again)
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) {
	table := newFakeTable(func() fault { return faultLostRequest })
	store := newTestStore(table)
	_, err := store.Apply(t.Context(), change(0, 1, "op-1"))
	var unknown *OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, 8, table.commits)
	table.nextFault = noFaults
	revision, err := store.Apply(t.Context(), change(0, 1, "op-1"))
	require.NoError(t, err)
	require.EqualValues(t, 1, revision.Number)
}

func TestUnavailablePlatformIsNotOutcomeUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := newTestStore(newFakeTable(noFaults)).Apply(ctx, change(0, 1, "op-1"))
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	var unknown *OutcomeUnknownError
	require.NotErrorAs(t, err, &unknown)
}

func TestStopsAreAnnouncedAndCancelled(t *testing.T) {
	store := newTestStore(newFakeTable(noFaults))
	ctx := t.Context()
	_, err := store.Announce(ctx, stop("a"))
	require.ErrorIs(t, err, ErrNoRevision)
	_, err = store.Apply(ctx, change(0, 1, "op-1"))
	require.NoError(t, err)
	applied, err := store.Apply(ctx, change(1, 2, "op-2"))
	require.NoError(t, err)
	announced, err := store.Announce(ctx, stop("a"), stop("b"))
	require.NoError(t, err)
	require.Equal(t, []config.Stop{stop("a"), stop("b")}, announced.Stops)
	require.Equal(t, textWithSlots(1), announced.Earlier[0].Source, "the baseline move continues")
	require.Equal(t, applied.Earlier, announced.Earlier)
	require.Equal(t, applied.AcceptedAt, announced.TextAcceptedAt)
	require.NotEqual(t, announced.AcceptedAt, announced.TextAcceptedAt)
	again, err := store.Announce(ctx, stop("a"), stop("b"))
	require.NoError(t, err)
	require.Equal(t, announced, again)

	cancelled, err := store.Cancel(ctx, Cancellation{StopIDs: []string{"a"}, Author: "rui", Reason: "done", OperationID: "op-3"})
	require.NoError(t, err)
	require.Equal(t, []config.Stop{stop("b")}, cancelled.Stops)
	_, err = store.Cancel(ctx, Cancellation{StopIDs: []string{"a"}, OperationID: "op-4"})
	var unknown *UnknownStopError
	require.ErrorAs(t, err, &unknown)
	same, err := store.Apply(ctx, change(4, 2, "op-5"))
	require.NoError(t, err)
	require.Equal(t, applied.Earlier, same.Earlier, "applying the same text again does not end the baseline move")
	require.Equal(t, applied.AcceptedAt, same.TextAcceptedAt)
	wrong := stop("c")
	wrong.Target = "s-9"
	_, err = store.Announce(ctx, wrong)
	var target *config.StopTargetError
	require.ErrorAs(t, err, &target)
}

func TestAcceptedAtNeverDecreases(t *testing.T) {
	table := newFakeTable(noFaults)
	late := func() time.Time { return time.Unix(100, 0).UTC() }
	early := func() time.Time { return time.Unix(50, 0).UTC() }
	_, err := New(table, WithClock(late)).Apply(t.Context(), change(0, 1, "op-1"))
	require.NoError(t, err)
	second, err := New(table, WithClock(early)).Apply(t.Context(), change(1, 2, "op-2"))
	require.NoError(t, err)
	require.Equal(t, late(), second.AcceptedAt)
}

// cappedChange returns a change to a text whose shift cap makes a baseline move
// last 100 s.
func cappedChange(base int64, slots int) Change {
	c := change(base, slots, fmt.Sprintf("op-%d", base))
	c.Source = append(c.Source, "[limits]\nshift cap = 10% of capacity per 10s\n"...)
	return c
}

// TestRevisionsKeepUnfinishedBaselineMoves changes the text during baseline moves,
// with a planned stop in between, and waits until the moves have ended. Each
// revision has to keep the earlier texts from which the baseline is still moving.
func TestRevisionsKeepUnfinishedBaselineMoves(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	store := New(newFakeTable(noFaults), WithClock(func() time.Time { return now }))
	apply := func(base int64, after time.Duration) *config.Revision {
		now = now.Add(after)
		revision, err := store.Apply(t.Context(), cappedChange(base, int(base)+1))
		require.NoError(t, err)
		return revision
	}
	first := apply(0, 0)
	second := apply(1, time.Second)
	require.Len(t, second.Earlier, 1)
	third := apply(2, 50*time.Second)
	require.Equal(t, []config.TextChange{
		{Source: first.Source, AcceptedAt: first.AcceptedAt},
		{Source: second.Source, AcceptedAt: second.AcceptedAt},
	}, third.Earlier)
	now = now.Add(time.Second)
	stopped, err := store.Announce(t.Context(), stop("a"))
	require.NoError(t, err)
	require.Equal(t, third.Earlier, stopped.Earlier)
	fifth := apply(4, 98*time.Second)
	require.Len(t, fifth.Earlier, 3, "the move to the third text has not ended")
	sixth := apply(5, 100*time.Second)
	require.Len(t, sixth.Earlier, 1, "the move to the fifth text has ended")
	loaded, err := store.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, sixth, loaded)
}

func TestTooManyBaselineMovesAreRejected(t *testing.T) {
	now := time.Unix(1000, 0).UTC()
	store := New(newFakeTable(noFaults), WithClock(func() time.Time { return now }))
	for base := range int64(maxEarlierTexts + 1) {
		_, err := store.Apply(t.Context(), cappedChange(base, int(base)+1))
		require.NoError(t, err)
	}
	_, err := store.Apply(t.Context(), cappedChange(maxEarlierTexts+1, 1))
	var pending *PendingMovesError
	require.ErrorAs(t, err, &pending)
	require.Equal(t, maxEarlierTexts+1, pending.Moves)
	now = now.Add(100 * time.Second)
	_, err = store.Apply(t.Context(), cappedChange(maxEarlierTexts+1, 1))
	require.NoError(t, err)
}
