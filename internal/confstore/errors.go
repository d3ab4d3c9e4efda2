package confstore

import (
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// ConflictError reports that the current revision is not the base of a change.
// Nothing was written.
type ConflictError struct {
	Base    int64            // number of the revision that the change is based on
	Current *config.Revision // current revision, nil before the first one
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("apply text: based on revision %d, but no configuration has been applied yet", e.Base)
	}
	return fmt.Sprintf("apply text: based on revision %d, but revision %d by %s is in force", e.Base, e.Current.Number, e.Current.Author)
}

// OutcomeUnknownError reports a change with an unknown outcome: the reply to a commit
// was lost, and later reads did not show whether it took effect. Repeating the
// change with the same operation id is safe: it is applied at most once.
type OutcomeUnknownError struct {
	OperationID string
	Err         error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change configuration: outcome of operation %s is unknown: %v", e.OperationID, e.Err)
}

// Unwrap returns the underlying error.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ContentionError reports a change whose last attempt failed because a concurrent
// change was committed first. Nothing was written. Attempts is the maximum number of
// attempts of an operation; fewer were made if the context ended before.
type ContentionError struct {
	OperationID string
	Attempts    int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("change configuration: operation %s conflicted with concurrent changes; gave up after at most %d attempts", e.OperationID, e.Attempts)
}

// MissingRowError reports a revision row that does not exist.
type MissingRowError struct{ Key string }

// Error implements error.
func (e *MissingRowError) Error() string { return fmt.Sprintf("read row %q: it does not exist", e.Key) }

// UnknownStopError reports the cancellation of a planned stop that is not part of
// the current revision.
type UnknownStopError struct {
	ID           string
	CurrentStops []config.Stop // planned stops of the current revision
}

// Error implements error.
func (e *UnknownStopError) Error() string {
	return fmt.Sprintf("cancel planned stop: no planned stop in force has the id %q", e.ID)
}

// RequestError reports a change that lacks required fields. It is rejected before
// the table is read.
type RequestError struct{ What string }

// Error implements error.
func (e *RequestError) Error() string { return "change configuration: " + e.What }

// maxEarlierTexts limits the number of earlier texts from which the baseline may be
// moving at the same time.
const maxEarlierTexts = 32

// PendingMovesError reports a change that is rejected because too many texts were
// accepted during one baseline move. Accepting it would mean dropping an earlier
// text from which the baseline is still moving.
type PendingMovesError struct {
	Moves int // earlier texts from which the baseline would be moving
}

// Error implements error.
func (e *PendingMovesError) Error() string {
	return fmt.Sprintf("change configuration: the baseline would be moving from %d earlier texts, at most %d are allowed; retry after an earlier move has ended", e.Moves, maxEarlierTexts)
}
