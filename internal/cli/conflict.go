package cli

import (
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// conflictError adds to a conflict the revision in force and the changes from the base
// to it.
type conflictError struct {
	err    error
	winner conflictView
}

// Error implements error.
func (e *conflictError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *conflictError) Unwrap() error { return e.err }

// conflictView is the revision in force and its differences from the base of the
// rejected change.
type conflictView struct {
	revisionView
	Base    int64           `json:"base"`
	Changes []config.Change `json:"changes"`
}

func newConflictError(err error, base, winner *config.Revision) error {
	v := conflictView{revisionView: newRevisionView(winner), Base: revisionNumber(base)}
	previous, _ := parseRevision(base) // a text that this version cannot parse counts as empty
	current, _ := parseRevision(winner)
	v.Changes = orEmpty(config.Diff(previous, current))
	return &conflictError{err: err, winner: v}
}

func (v *conflictView) writeText(w io.Writer) {
	fmt.Fprintf(w, "conflict with revision %d by %s at %s: %s\n", v.Number, v.Author, formatTime(v.AcceptedAt), v.Reason)
	fmt.Fprintf(w, "changed since revision %d:\n", v.Base)
	writeChanges(w, v.Changes)
}
