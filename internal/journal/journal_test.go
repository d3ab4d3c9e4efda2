package journal

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

var testSizes = Sizes{Fleet: 3, Notable: 3, Ordinary: 3}

func TestFindKeepsLatestInOrder(t *testing.T) {
	j := New(testSizes)
	for i := range 5 {
		j.Add(event.JournalEntry{At: model.Instant(i), TraceID: fmt.Sprint(i % 2), Message: fmt.Sprint(i)})
	}
	what := func(q Query) []string {
		var out []string
		for _, e := range j.Find(q) {
			out = append(out, e.Message)
		}
		return out
	}
	require.Equal(t, []string{"2", "3", "4"}, what(Query{}))
	require.Equal(t, []string{"2", "4"}, what(Query{TraceID: "0"}))
	require.Equal(t, []string{"4"}, what(Query{TraceID: "0", Limit: 1}))
	require.Empty(t, what(Query{Subject: "none"}))
	require.Equal(t, model.Instant(2), j.Since())
}

func TestRequestFloodDoesNotEvictOtherDecisions(t *testing.T) {
	j := New(testSizes)
	require.Zero(t, j.Since())
	j.Add(event.JournalEntry{At: 1, Subject: "shop-1", Message: "ejected"})
	j.AddRequest(RequestEntry{At: 2, TraceID: "r", Step: StepAttemptFailed, Subject: "shop-1"})
	for i := range 10 {
		j.AddRequest(RequestEntry{At: model.Instant(10 + i), TraceID: "other", Step: StepAnswered, Subject: "shop-1"})
	}
	require.Len(t, j.Find(Query{Subject: "shop-1"}), 2, "ordinary entries are left out of a query by subject")
	require.Len(t, j.Find(Query{TraceID: "r"}), 1)
	require.Len(t, j.Find(Query{TraceID: "other"}), 3)
	require.Equal(t, model.Instant(17), j.Since())
}

func TestFindBoundsRequestLinesPerSubject(t *testing.T) {
	j := New(Sizes{Fleet: 3, Notable: 100, Ordinary: 3})
	j.Add(event.JournalEntry{At: 1, Subject: "entry-1", Message: "leaving"})
	for i := range 100 {
		j.AddRequest(RequestEntry{At: model.Instant(10 + i), TraceID: "r", Step: StepOwnerRefused, Subject: "entry-1"})
	}
	found := j.Find(Query{Subject: "entry-1"})
	require.Len(t, found, 1+maxRequestLinesPerSubject)
	require.Equal(t, "leaving", found[0].Message)
	require.Equal(t, model.Instant(109), found[len(found)-1].At)
	require.Len(t, j.Find(Query{TraceID: "r"}), 100)
}

func TestAddRequestAllocatesNothing(t *testing.T) {
	j := New(testSizes)
	e := RequestEntry{TraceID: "r", Step: StepAnswered}
	require.Zero(t, testing.AllocsPerRun(100, func() { j.AddRequest(e) }))
}

// TestLines compares the formatted lines of every step with the golden file.
func TestLines(t *testing.T) {
	at := model.InstantOf(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))
	zones := &model.Candidates{
		Baseline: []model.ZoneName{"munich-a", "munich-b"},
		Spill:    []model.ZoneName{"munich-a", "munich-b", "frankfurt-a"},
	}
	passed := &Detail{Rejected: []model.Rejected{
		{Zone: "munich-a", Cause: model.CauseDeadline},
		{Zone: "munich-b", Owner: "entry-1", Spill: true, AlreadyTried: true, Cause: model.CauseNoBackend},
		{Zone: "munich-b", Owner: "entry-2", Spill: true, Cause: model.CauseQueueFull},
	}}
	refused := &Detail{Rejected: passed.Rejected, Final: event.FinalRetryBudget}
	failed := &Detail{Err: "read answer head from shop-1: EOF"}
	entries := []RequestEntry{
		{Step: StepAnswered, Subject: "entry-1", Zone: "munich-a", Candidates: zones, Took: 12 * time.Millisecond},
		{Step: StepForwarded, Subject: "entry-3", Zone: "frankfurt-a", Spill: true, Candidates: zones, Detail: passed},
		{Step: StepAnswered, Subject: "entry-3", ChoiceRecorded: true, Candidates: zones, Outcome: model.Late, Took: time.Second},
		{Step: StepOwnerRefused, Subject: "entry-1", Outcome: model.NotRun, Cause: model.CauseQueueFull},
		{Step: StepOwnerLost, Subject: "entry-1", Detail: failed},
		{Step: StepCancelRequest, Subject: "ledger"},
		{Step: StepRefused, Subject: "caller", Outcome: model.NotRun, Cause: model.CauseShiftCap, Candidates: zones, Detail: refused},
		{Step: StepRefused, Subject: "caller", Outcome: model.NotRun, Cause: model.CauseKeyMissing},
		{Step: StepAnswerTruncated, Subject: "caller", Detail: failed},
		{Step: StepOfferRefused, Subject: "entry-1", Outcome: model.Unknown, Cause: model.CauseConnectionBroken},
		{Step: StepClaimDenied, Subject: "ledger", Cause: model.CauseInProgress},
		{Step: StepReplayed, Subject: "ledger"},
		{Step: StepServerAnswered, Subject: "shop-1", Attempt: 2, Status: 200, Took: 3 * time.Millisecond, Waited: time.Millisecond, Claimed: true, Spill: true},
		{Step: StepAttemptFailed, Subject: "shop-1", Attempt: 1, Cause: model.CauseConnectionBroken, Detail: failed},
		{Step: StepServerAnswerTruncated, Subject: "shop-1", Detail: failed},
		{Step: StepAnswerNotStored, Subject: "ledger", Detail: failed},
	}
	var out strings.Builder
	for _, e := range entries {
		e.At = at.Add(time.Minute)
		for _, line := range e.Lines() {
			fmt.Fprintf(&out, "%s %s | %s | %s\n", line.At.Sub(at), line.Subject, line.Message, line.Reason)
		}
	}
	goldie.New(t).Assert(t, "lines", []byte(out.String()))
}
