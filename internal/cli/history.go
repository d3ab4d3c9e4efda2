package cli

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/samber/lo"
)

type historyCommand struct {
	s     *session
	Limit int `long:"limit" default:"20" value-name:"N" description:"maximum number of revisions to list"`
}

func (*historyCommand) examples() string {
	return `  primrosenotch history
  primrosenotch history --limit 100 --format json
`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	if c.Limit < 1 {
		return &usageError{Message: "--limit must be at least 1"}
	}
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	revisions, err := store.History(c.s.ctx, c.Limit+1) // the extra revision is the base of the last one listed
	if err != nil {
		return err
	}
	v := &historyView{}
	for i, revision := range revisions[:min(len(revisions), c.Limit)] {
		var before *config.Revision
		if i+1 < len(revisions) {
			before = revisions[i+1]
		}
		v.Revisions = append(v.Revisions, historyEntry{revisionView: newRevisionView(revision), What: describeChange(before, revision)})
	}
	return c.s.print(v)
}

// historyView is the output of history.
type historyView struct {
	Revisions []historyEntry `json:"revisions"`
}

type historyEntry struct {
	revisionView
	What string `json:"what"`
}

func (v *historyView) writeText(w io.Writer) {
	t := newTextTable(w, "REVISION", "AT", "AUTHOR", "WHAT", "REASON")
	for _, r := range v.Revisions {
		t.row(fmt.Sprint(r.Number), formatTime(r.AcceptedAt), r.Author, r.What, r.Reason)
	}
	t.flush()
}

// describeChange describes the difference between two consecutive revisions: a
// changed text, and each planned stop that was announced or cancelled.
func describeChange(before, after *config.Revision) string {
	if before == nil {
		return "text"
	}
	var parts []string
	if !bytes.Equal(before.Source, after.Source) {
		parts = append(parts, "text")
	}
	idOf := func(s config.Stop) string { return s.ID }
	old, current := lo.KeyBy(before.Stops, idOf), lo.KeyBy(after.Stops, idOf)
	for _, stop := range after.Stops {
		if !lo.HasKey(old, stop.ID) {
			parts = append(parts, "stop "+stopTarget(stop.Scope, stop.Target))
		}
	}
	for _, stop := range before.Stops {
		if !lo.HasKey(current, stop.ID) {
			parts = append(parts, "cancel "+stopTarget(stop.Scope, stop.Target))
		}
	}
	if len(parts) == 0 {
		return "same text again"
	}
	return strings.Join(parts, ", ")
}
