package confstore

import (
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// ConflictError reports that another change came first. Nothing was written.
type ConflictError struct {
	Base   int64            // revision that the change was based on
	Winner *config.Revision // revision in force, nil where there is none
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("apply text: based on revision %d, but no configuration has been applied yet", e.Base)
	}
	return fmt.Sprintf("apply text: based on revision %d, but revision %d by %s is in force", e.Base, e.Winner.Number, e.Winner.Author)
}

// UnsettledError reports a change whose reply was lost and that could not be
// read back. Repeating it with the same operation id is safe: it is applied at
// most once.
type UnsettledError struct {
	OperationID string
	Err         error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("change configuration: outcome of operation %s is unknown: %v", e.OperationID, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnsettledError) Unwrap() error { return e.Err }

// ContentionError reports a change that lost the race for the head row in every
// try. Nothing was written.
type ContentionError struct {
	OperationID string
	Attempts    int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("change configuration: operation %s lost the race for the head row %d times", e.OperationID, e.Attempts)
}

// MissingError reports a row that should exist.
type MissingError struct{ Key string }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("read row %q: it does not exist", e.Key) }

// UnknownStopError reports the cancellation of a planned stop that is not in
// force.
type UnknownStopError struct {
	ID      string
	InForce []config.Stop
}

// Error implements error.
func (e *UnknownStopError) Error() string {
	return fmt.Sprintf("cancel planned stop: no planned stop in force has the id %q", e.ID)
}

// RequestError reports a change that is not complete enough to be tried.
type RequestError struct{ What string }

// Error implements error.
func (e *RequestError) Error() string { return "change configuration: " + e.What }

// maxEarlier bounds the texts from which the baseline may be moving at a time.
const maxEarlier = 32

// PendingMovesError reports a change that would forget from where the baseline
// still moves, because too many texts were accepted during one move.
type PendingMovesError struct {
	Moves int // texts from which the baseline would be moving
}

// Error implements error.
func (e *PendingMovesError) Error() string {
	return fmt.Sprintf("the baseline would be moving from %d texts, at most %d may be; wait for an earlier move to end", e.Moves, maxEarlier)
}
