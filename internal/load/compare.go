package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// rowKey identifies a row in two results.
type rowKey struct{ class, phase string }

// Compare prints two results side by side, row by row. A row that is missing from
// one of them is printed with zeros for it.
func Compare(w io.Writer, nameA string, a *Result, nameB string, b *Result) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "class\tphase\tmeasure\t%s\t%s\tratio\n", nameA, nameB)
	rowsA, rowsB := byKey(a), byKey(b)
	for _, key := range keysOf(a, b) {
		compareRows(t, key, rowsA[key], rowsB[key])
	}
	fmt.Fprintf(t, "\t\tdispatch lag p99 us\t%d\t%d\t\n", a.DispatchLag.P99, b.DispatchLag.P99)
	fmt.Fprintf(t, "\t\twrong or cut\t%d\t%d\t\n", a.Faulty(), b.Faulty())
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print comparison: %w", err)
	}
	return nil
}

func byKey(r *Result) map[rowKey]*Row {
	rows := make(map[rowKey]*Row, len(r.Rows))
	for i := range r.Rows {
		rows[rowKey{r.Rows[i].Class, r.Rows[i].Phase}] = &r.Rows[i]
	}
	return rows
}

// keysOf returns the keys of all results without duplicates, in order of first
// occurrence.
func keysOf(results ...*Result) []rowKey {
	var keys []rowKey
	for _, r := range results {
		for _, row := range r.Rows {
			if key := (rowKey{row.Class, row.Phase}); !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

func compareRows(w io.Writer, key rowKey, a, b *Row) {
	if a == nil {
		a = &Row{}
	}
	if b == nil {
		b = &Row{}
	}
	line := func(measure string, x, y float64) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", key.class, key.phase, measure, formatNumber(x), formatNumber(y), formatRatio(x, y))
	}
	line("requests", float64(a.Requests), float64(b.Requests))
	line("goodput 1/s", a.Goodput, b.Goodput)
	line("p50 us", float64(a.Latency.P50), float64(b.Latency.P50))
	line("p99 us", float64(a.Latency.P99), float64(b.Latency.P99))
	for _, outcome := range outcomesOf(a, b) {
		line(outcome, float64(a.Outcomes[outcome]), float64(b.Outcomes[outcome]))
	}
}

func outcomesOf(rows ...*Row) []string {
	var outcomes []string
	for _, row := range rows {
		for outcome := range row.Outcomes {
			outcomes = append(outcomes, outcome)
		}
	}
	slices.Sort(outcomes)
	return slices.Compact(outcomes)
}

func formatNumber(v float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", v), ".0")
}

func formatRatio(a, b float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", b/a)
}
