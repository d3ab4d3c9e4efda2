package cli

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/platform"
)

// Exit codes of the command-line tool; exitCodeHelp describes them.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitRejected       = 2
	ExitConflict       = 3
	ExitUnreachable    = 4
	ExitOutcomeUnknown = 5
)

const exitCodeHelp = `Exit codes:
  0  success
  1  failure
  2  invalid usage or rejected configuration; nothing was changed
  3  conflict: another operator's change was accepted first; nothing was changed
  4  the platform or every entry instance is unreachable; nothing was changed
  5  the outcome is unknown; the printed command repeats it safely
`

// usageError reports an incomplete or invalid command line.
type usageError struct{ Message string }

// Error implements error.
func (e *usageError) Error() string { return e.Message }

// hintError adds to an error a hint for the operator.
type hintError struct {
	err  error
	hint string
}

// Error implements error.
func (e *hintError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *hintError) Unwrap() error { return e.err }

// unreachableError reports that the calls to all entry instances failed.
type unreachableError struct{ unreachable []unreachableInstance }

// Error implements error.
func (e *unreachableError) Error() string {
	return fmt.Sprintf("calls to all entry instances failed (%d queried); first error: %s", len(e.unreachable), e.unreachable[0].Error)
}

// isA reports whether err or an error that it wraps has type T.
func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isA[*confstore.OutcomeUnknownError](err):
		return ExitOutcomeUnknown
	case isA[*confstore.ConflictError](err), isA[*confstore.ContentionError](err):
		return ExitConflict
	case isA[*config.Problems](err), isA[*config.StopTargetError](err), isA[*usageError](err),
		isA[*flags.Error](err), isA[*confstore.UnknownStopError](err), isA[*confstore.RequestError](err):
		return ExitRejected
	case isA[*platform.UnavailableError](err), isA[*platform.UncertainError](err),
		isA[*control.CallError](err), isA[*unreachableError](err):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// hintFor returns a hint on how to resolve err, or "" if the error message
// itself is sufficient.
func hintFor(err error) string {
	var hinted *hintError
	switch {
	case errors.As(err, &hinted):
		return hinted.hint
	case isA[*confstore.ConflictError](err):
		return "print the text in force with: primrosenotch get; make your change to it and apply it again"
	case isA[*confstore.ContentionError](err):
		return "other operators are changing the configuration concurrently; run the command again"
	case isA[*confstore.UnknownStopError](err):
		return "list the planned stops in force with: primrosenotch stop list"
	case errors.Is(err, confstore.ErrNoRevision):
		return "apply the first configuration text with: primrosenotch apply FILE -m REASON"
	case isA[*confstore.MissingRowError](err):
		return "list the revisions with: primrosenotch history; a table that was restored from a copy lacks later ones, see: primrosenotch status"
	case isA[*platform.UnavailableError](err), isA[*platform.UncertainError](err):
		return "check --platform; the entry instances continue with the configuration that they have loaded"
	case isA[*unreachableError](err):
		return "check --entry; also name instances in another availability zone"
	default:
		return ""
	}
}
