package confstore

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/config"
)

// Change replaces the operators' text.
type Change struct {
	Base        int64 // number of the revision that the new text was made from, 0 for the first one
	Source      []byte
	Author      string
	Reason      string
	OperationID string // unique; the same for every repetition of this change
}

// Cancellation takes planned stops out of force.
type Cancellation struct {
	StopIDs     []string
	Author      string
	Reason      string
	OperationID string // unique; the same for every repetition of this change
}

// textName is what problems call a text that comes without a file.
const textName = "text"

// Apply puts a new text in force. Planned stops stay. A text that does not parse
// writes nothing; the error is then a *config.Problems. Where the revision in
// force is not the change's base, the error is a *ConflictError. It may also be a
// *UnsettledError or wrap an error of the platform. A repetition returns the
// revision that the first success made.
func (s *Store) Apply(ctx context.Context, change Change) (*config.Revision, error) {
	if change.OperationID == "" {
		return nil, &RequestError{What: "the operation id is missing"}
	}
	if _, err := config.Parse(textName, change.Source); err != nil {
		return nil, err
	}
	return s.commit(ctx, change.OperationID, func(current *config.Revision) (*config.Revision, error) {
		if numberOf(current) != change.Base {
			return nil, &ConflictError{Base: change.Base, Winner: current}
		}
		next := withText(current, change.Source)
		next.Author, next.Reason = change.Author, change.Reason
		return next, nil
	})
}

// Announce puts planned stops in force, on top of whatever is in force by then.
// The stops' ids identify the operation, so that a repetition does nothing more.
// Each stop must name something in the text in force; the error is otherwise a
// *config.StopTargetError. Errors are otherwise those of Apply, without conflicts.
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

// Cancel takes planned stops out of force. Where one is not in force, the error
// is an *UnknownStopError and nothing is written. Errors are otherwise those of
// Announce.
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
				return nil, &UnknownStopError{ID: id, InForce: current.Stops}
			}
			stops = slices.Delete(stops, position, position+1)
		}
		next := withStops(current, stops)
		next.Author, next.Reason = cancellation.Author, cancellation.Reason
		return next, nil
	})
}

// withText keeps the planned stops. The same text again does not count as a
// change, so that a move of the baseline that is under way goes on.
func withText(current *config.Revision, source []byte) *config.Revision {
	switch {
	case current == nil:
		return &config.Revision{Source: source}
	case bytes.Equal(current.Source, source):
		return withStops(current, current.Stops)
	default:
		last := config.TextChange{Source: current.Source, AcceptedAt: current.TextAcceptedAt}
		return &config.Revision{Source: source, Earlier: append(slices.Clone(current.Earlier), last), Stops: current.Stops}
	}
}

// withStops keeps the text, the texts before it and the time of its change, so
// that a move of the baseline that is under way goes on.
func withStops(current *config.Revision, stops []config.Stop) *config.Revision {
	return &config.Revision{
		Source:         current.Source,
		Earlier:        current.Earlier,
		TextAcceptedAt: current.TextAcceptedAt,
		Stops:          stops,
	}
}

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

func checkStops(source []byte, stops []config.Stop) error {
	text, err := config.Parse(textName, source)
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

func numberOf(revision *config.Revision) int64 {
	if revision == nil {
		return 0
	}
	return revision.Number
}
