package confstore

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// Change replaces the operators' configuration text.
type Change struct {
	Base        int64 // number of the revision that the new text is based on, 0 for the first text
	Source      []byte
	Author      string
	Reason      string
	OperationID string // unique; the same for every repetition of this change
}

// Cancellation removes planned stops from the configuration.
type Cancellation struct {
	StopIDs     []string
	Author      string
	Reason      string
	OperationID string // unique; the same for every repetition of this change
}

// textFileName stands in for the file name in parse problems of a text that was
// not read from a file.
const textFileName = "text"

// Apply commits a revision with a new text and the current planned stops.
// Repeating a change that was applied returns the revision that it created.
//
// If the text does not parse, nothing is written and the error is a
// *config.Problems. If the current revision is not the change's base, the error
// is a *ConflictError. Other errors are a *RequestError, a *PendingMovesError, a
// *ContentionError, an *OutcomeUnknownError, or wrap an error of the platform.
func (s *Store) Apply(ctx context.Context, change Change) (*config.Revision, error) {
	if change.OperationID == "" {
		return nil, &RequestError{What: "the operation id is missing"}
	}
	if _, err := config.Parse(textFileName, change.Source); err != nil {
		return nil, err
	}
	return s.commit(ctx, change.OperationID, func(current *config.Revision) (*config.Revision, error) {
		if revisionNumber(current) != change.Base {
			return nil, &ConflictError{Base: change.Base, Current: current}
		}
		next := withText(current, change.Source)
		next.Author, next.Reason = change.Author, change.Reason
		return next, nil
	})
}

// Announce adds planned stops to the current revision, whichever that is at the
// time of the commit. The ids of the stops identify the operation, so that
// repeating it has no further effect.
//
// The target of each stop must exist in the current text; otherwise the error is
// a *config.StopTargetError. Before the first revision, the error is
// ErrNoRevision. Other errors are those of Apply, except *ConflictError.
func (s *Store) Announce(ctx context.Context, stops ...config.Stop) (*config.Revision, error) {
	operation, err := announcementID(stops)
	if err != nil {
		return nil, err
	}
	return s.commit(ctx, operation, func(current *config.Revision) (*config.Revision, error) {
		if current == nil {
			return nil, ErrNoRevision
		}
		if err := checkStops(current.Source, stops); err != nil {
			return nil, err
		}
		next := withStops(current, append(slices.Clone(current.Stops), stops...))
		next.Author, next.Reason = stops[0].Author, stops[0].Reason
		return next, nil
	})
}

// Cancel removes planned stops from the current revision. If one of them is not
// part of it, nothing is written and the error is an *UnknownStopError. Other
// errors are those of Announce.
func (s *Store) Cancel(ctx context.Context, cancellation Cancellation) (*config.Revision, error) {
	if cancellation.OperationID == "" || len(cancellation.StopIDs) == 0 {
		return nil, &RequestError{What: "the operation id or the id of a planned stop is missing"}
	}
	return s.commit(ctx, cancellation.OperationID, func(current *config.Revision) (*config.Revision, error) {
		if current == nil {
			return nil, ErrNoRevision
		}
		stops := slices.Clone(current.Stops)
		for _, id := range cancellation.StopIDs {
			position := slices.IndexFunc(stops, func(s config.Stop) bool { return s.ID == id })
			if position < 0 {
				return nil, &UnknownStopError{ID: id, CurrentStops: current.Stops}
			}
			stops = slices.Delete(stops, position, position+1)
		}
		next := withStops(current, stops)
		next.Author, next.Reason = cancellation.Author, cancellation.Reason
		return next, nil
	})
}

// withText returns a revision with a new text and the planned stops of current.
// An unchanged text keeps the time of its acceptance and the earlier texts, so
// that it does not restart a baseline move in progress.
func withText(current *config.Revision, source []byte) *config.Revision {
	switch {
	case current == nil:
		return &config.Revision{Source: source}
	case bytes.Equal(current.Source, source):
		return withStops(current, current.Stops)
	default:
		previous := config.TextChange{Source: current.Source, AcceptedAt: current.TextAcceptedAt}
		return &config.Revision{Source: source, Earlier: append(slices.Clone(current.Earlier), previous), Stops: current.Stops}
	}
}

// withStops returns a revision with new planned stops. It keeps the text, the
// time of its acceptance and the earlier texts of current, so that a baseline move
// in progress continues.
func withStops(current *config.Revision, stops []config.Stop) *config.Revision {
	return &config.Revision{
		Source:         current.Source,
		Earlier:        current.Earlier,
		TextAcceptedAt: current.TextAcceptedAt,
		Stops:          stops,
	}
}

// announcementID derives the operation id of an announcement from the ids of its
// stops.
func announcementID(stops []config.Stop) (string, error) {
	ids := make([]string, 0, len(stops))
	for _, stop := range stops {
		if stop.ID == "" {
			return "", &RequestError{What: "a planned stop has no id"}
		}
		ids = append(ids, stop.ID)
	}
	if len(ids) == 0 {
		return "", &RequestError{What: "there is no planned stop to announce"}
	}
	return "stop-" + strings.Join(ids, "+"), nil
}

// checkStops verifies that the target of each stop exists in a text.
func checkStops(source []byte, stops []config.Stop) error {
	text, err := config.Parse(textFileName, source)
	if err != nil {
		return err
	}
	for _, stop := range stops {
		if err := config.CheckStop(text, stop); err != nil {
			return err
		}
	}
	return nil
}

// revisionNumber returns the number of a revision, 0 for nil.
func revisionNumber(revision *config.Revision) int64 {
	if revision == nil {
		return 0
	}
	return revision.Number
}
