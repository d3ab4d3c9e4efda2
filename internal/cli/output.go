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

// view is the output of a command: a value that --format json encodes and that
// can also write itself as text.
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

// textTable writes aligned columns.
type textTable struct {
	writer *tabwriter.Writer
}

const columnGap = 2 // spaces

func newTextTable(w io.Writer, columns ...string) *textTable {
	t := &textTable{writer: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(columns...)
	return t
}

func (t *textTable) row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *textTable) flush() {
	_ = t.writer.Flush() // nothing can be done if standard output fails
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

// orEmpty returns an empty list for nil, so that JSON encodes it as [] and not as
// null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// unreachableInstance is an entry instance whose call failed.
type unreachableInstance struct {
	Instance string `json:"instance,omitempty"`
	Address  string `json:"address"`
	Error    string `json:"error"`
}

// splitAnswers separates the values that instances returned from the instances
// whose calls failed. If all failed, the error is an *unreachableError.
func splitAnswers[T any](answers []control.Result[T]) ([]T, []unreachableInstance, error) {
	var values []T
	var unreachable []unreachableInstance
	for _, a := range answers {
		if a.Err != nil {
			unreachable = append(unreachable, unreachableInstance{Instance: string(a.Member.Instance), Address: a.Member.Address, Error: a.Err.Error()})
			continue
		}
		values = append(values, *a.Value)
	}
	if len(values) == 0 {
		return nil, unreachable, &unreachableError{unreachable: unreachable}
	}
	return values, unreachable, nil
}

func writeUnreachable(w io.Writer, unreachable []unreachableInstance) {
	for _, s := range unreachable {
		fmt.Fprintf(w, "call to %s at %s failed: %s\n", orDash(s.Instance), s.Address, s.Error)
	}
}
