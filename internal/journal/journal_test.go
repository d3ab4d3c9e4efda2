package journal

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/event"
)

func TestFindKeepsLatestInOrder(t *testing.T) {
	j := New(3)
	for i := range 5 {
		j.Add(event.JournalEntry{Request: fmt.Sprint(i % 2), What: fmt.Sprint(i)})
	}
	what := func(q Query) []string {
		var out []string
		for _, e := range j.Find(q) {
			out = append(out, e.What)
		}
		return out
	}
	require.Equal(t, []string{"2", "3", "4"}, what(Query{}))
	require.Equal(t, []string{"2", "4"}, what(Query{Request: "0"}))
	require.Equal(t, []string{"4"}, what(Query{Request: "0", Limit: 1}))
	require.Empty(t, what(Query{Subject: "none"}))
}
