package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
)

// view is what a command prints: a value for --format json that can also write
// itself as text.
type view interface {
	writeText(w io.Writer)
}

func (s *session) print(v view) error {
	if s.global.Format != formatJSON {
		v.writeText(s.env.Stdout)
		return nil
	}
	encoder := json.NewEncoder(s.env.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// table writes aligned columns.
type table struct {
	writer *tabwriter.Writer
}

const columnGap = 2 // spaces

func newTextTable(w io.Writer, columns ...string) *table {
	t := &table{writer: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) flush() {
	_ = t.writer.Flush() // a failing standard output leaves nothing to do
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05Z")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// orEmpty makes a list without elements print as [] rather than null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// silentInstance is an entry instance that did not answer.
type silentInstance struct {
	Instance string `json:"instance,omitempty"`
	Address  string `json:"address"`
	Error    string `json:"error"`
}

// collect separates the answers of a fleet. Where none answered, the error is a
// *silentError.
func collect[T any](answers []control.Answer[T]) ([]T, []silentInstance, error) {
	var values []T
	var silent []silentInstance
	for _, a := range answers {
		if a.Err != nil {
			silent = append(silent, silentInstance{Instance: string(a.Member.Instance), Address: a.Member.Address, Error: a.Err.Error()})
			continue
		}
		values = append(values, *a.Value)
	}
	if len(values) == 0 {
		return nil, silent, &silentError{silent: silent}
	}
	return values, silent, nil
}

func writeSilent(w io.Writer, silent []silentInstance) {
	for _, s := range silent {
		fmt.Fprintf(w, "no answer from %s at %s: %s\n", orDash(s.Instance), s.Address, s.Error)
	}
}
