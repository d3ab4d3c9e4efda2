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

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitRejected    = 2
	ExitConflict    = 3
	ExitUnreachable = 4
	ExitUnknown     = 5
)

const exitCodeHelp = `Exit codes:
  0  done
  1  failed
  2  wrong usage, or the text was rejected; nothing was changed
  3  conflict: another operator's change came first; nothing was changed
  4  the platform or every entry instance is unreachable; nothing was changed
  5  the outcome is unknown; repeating as printed is safe
`

// usageError reports a command line that is not complete.
type usageError struct{ What string }

// Error implements error.
func (e *usageError) Error() string { return e.What }

// hintError adds what to do next to an error.
type hintError struct {
	err  error
	hint string
}

// Error implements error.
func (e *hintError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *hintError) Unwrap() error { return e.err }

// silentError reports that no entry instance answered.
type silentError struct{ silent []silentInstance }

// Error implements error.
func (e *silentError) Error() string {
	return fmt.Sprintf("no entry instance answered; the first of %d: %s", len(e.silent), e.silent[0].Error)
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// exitCode maps an error to the exit code that the help lists.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isA[*confstore.UnsettledError](err):
		return ExitUnknown
	case isA[*confstore.ConflictError](err), isA[*confstore.ContentionError](err):
		return ExitConflict
	case isA[*config.Problems](err), isA[*config.StopTargetError](err), isA[*usageError](err),
		isA[*flags.Error](err), isA[*confstore.UnknownStopError](err), isA[*confstore.RequestError](err):
		return ExitRejected
	case isA[*platform.UnavailableError](err), isA[*platform.UncertainError](err),
		isA[*control.CallError](err), isA[*silentError](err):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// hintOf returns what an operator can do about an error, "" where the error
// says it itself.
func hintOf(err error) string {
	var hinted *hintError
	switch {
	case errors.As(err, &hinted):
		return hinted.hint
	case isA[*confstore.ConflictError](err):
		return "read the text in force with: primrosenotch get; make your change to it and apply again"
	case isA[*confstore.ContentionError](err):
		return "other operators are changing the configuration at this moment; run the command again"
	case isA[*confstore.UnknownStopError](err):
		return "see what is in force with: primrosenotch stop list"
	case errors.Is(err, confstore.ErrNoRevision):
		return "apply a first text with: primrosenotch apply FILE -m REASON"
	case isA[*platform.UnavailableError](err), isA[*platform.UncertainError](err):
		return "check --platform; the entry instances go on with the text that they have"
	case isA[*silentError](err):
		return "check --entry; name instances of another availability zone too"
	default:
		return ""
	}
}
