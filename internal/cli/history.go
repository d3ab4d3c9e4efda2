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
	Limit int `long:"limit" default:"20" value-name:"N" description:"number of revisions"`
}

func (*historyCommand) examples() string {
	return `  primrosenotch history
  primrosenotch history --limit 100 --format json
`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	if c.Limit < 1 {
		return &usageError{What: "--limit must be at least 1"}
	}
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	revisions, err := store.History(c.s.ctx, c.Limit+1) // the extra one shows what the last one changed
	if err != nil {
		return err
	}
	v := &historyView{}
	for i, revision := range revisions[:min(len(revisions), c.Limit)] {
		var before *config.Revision
		if i+1 < len(revisions) {
			before = revisions[i+1]
		}
		v.Revisions = append(v.Revisions, historyLine{revisionView: newRevisionView(revision), What: whatChanged(before, revision)})
	}
	return c.s.print(v)
}

// historyView is what history prints.
type historyView struct {
	Revisions []historyLine `json:"revisions"`
}

type historyLine struct {
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

// whatChanged words the difference between two neighbouring revisions.
func whatChanged(before, after *config.Revision) string {
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
