package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// successor returns a revision after r, which may be nil, that was accepted at a time in
// seconds.
func successor(r *Revision, operation string, at int64) *Revision {
	next := &Revision{Number: 1, OperationID: operation, AcceptedAt: time.Unix(at, 0), Ancestors: r.AncestorsOfNext()}
	if r != nil {
		next.Number = r.Number + 1
	}
	return next
}

// chain returns a revision and the given number of successors, each accepted a second after
// the one before it.
func chain(successors int) []*Revision {
	revisions := []*Revision{successor(nil, "a", 1)}
	for range successors {
		last := revisions[len(revisions)-1]
		revisions = append(revisions, successor(last, "a", last.AcceptedAt.Unix()+1))
	}
	return revisions
}

func TestAncestorsAreLimited(t *testing.T) {
	revisions := chain(maxAncestors + 1)
	last := revisions[len(revisions)-1]
	require.Len(t, last.Ancestors, maxAncestors)
	require.True(t, last.Related(revisions[1]))
	require.False(t, last.Related(revisions[0]))
}

func TestCurrentWithinAndBeyondLineage(t *testing.T) {
	revisions := chain(2 * maxAncestors)
	first, last := revisions[0], revisions[len(revisions)-1]
	for _, active := range []*Revision{revisions[2], last} {
		current, lost := Current(active, first)
		require.Same(t, active, current, "number %d", active.Number)
		require.True(t, lost)
	}
	current, lost := Current(first, last)
	require.Same(t, last, current)
	require.False(t, lost)

	later := successor(first, "b", last.AcceptedAt.Unix()+1)
	current, lost = Current(last, later)
	require.Same(t, later, current)
	require.False(t, lost)
}

// TestRevisionOfSlowerClockReplacesLostOne covers an operator whose clock is behind that of
// the lost revision's author.
func TestRevisionOfSlowerClockReplacesLostOne(t *testing.T) {
	revisions := chain(2)
	lost := revisions[2]
	accepted := successor(revisions[0], "b", 2)
	current, _ := Current(lost, accepted)
	require.Equal(t, accepted.Identity(), current.Identity())
	require.True(t, current.Order().After(lost.Order()))
	require.Same(t, current, Preferred(lost, current), "peers follow")
	require.Same(t, current, Preferred(current, lost))

	next := successor(accepted, "b", 3) // as an instance that starts now reads it
	require.Equal(t, next.Identity(), Preferred(next, current).Identity(), "no step back")
	require.True(t, Preferred(next, current).Order().After(current.Order()))
	require.Equal(t, next.Identity(), Preferred(current, Preferred(next, current)).Identity())
}

func TestRevisionsWithSameNumberDiffer(t *testing.T) {
	first := successor(nil, "a", 1)
	lost, accepted := successor(first, "b", 2), successor(first, "b", 3)
	require.NotEqual(t, lost.Identity(), accepted.Identity())
	current, _ := Current(lost, accepted)
	require.Same(t, accepted, current)
	require.Same(t, accepted, Preferred(lost, accepted))
	require.Same(t, accepted, Preferred(accepted, lost))
}

// TestRevisionsOfFutureBaseAreOrdered covers two revisions that have the time of acceptance of
// their common base, because the clock of its author was ahead.
func TestRevisionsOfFutureBaseAreOrdered(t *testing.T) {
	base := successor(nil, "a", 100)
	one, other := successor(base, "b", 100), successor(base, "c", 100)
	require.NotEqual(t, one.Order().After(other.Order()), other.Order().After(one.Order()))
}

func TestOrderOfEarlierVersionHasOnlyNumber(t *testing.T) {
	mine := Order{Restores: 1, AcceptedAt: 5, Number: 2}
	require.True(t, Order{Number: 3}.After(mine))
	require.False(t, Order{Number: 2}.After(mine))
	require.True(t, mine.After(Order{Number: 1}))
}
