package load

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func TestCompare(t *testing.T) {
	a := &Result{Rows: []Row{
		{
			Class: "orders", Phase: "warm", Requests: 100, Goodput: 49.5, Latency: Quantiles{P50: 300, P99: 900},
			Outcomes: map[string]int64{"served": 99, "not-run": 1},
		},
		{Class: "orders", Phase: "flood", Requests: 10, Outcomes: map[string]int64{"served": 10}},
	}}
	b := &Result{Rows: []Row{
		{
			Class: "orders", Phase: "warm", Requests: 100, Goodput: 50, Latency: Quantiles{P50: 330, P99: 1800},
			Outcomes: map[string]int64{"served": 98, "wrong": 2},
		},
	}}
	var text strings.Builder
	require.NoError(t, Compare(&text, "before", a, "after", b))
	goldie.New(t).Assert(t, "compare", []byte(text.String()))
}
