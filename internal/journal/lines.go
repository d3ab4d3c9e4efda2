package journal

import (
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Lines formats the entry as journal lines, earliest first.
func (e *RequestEntry) Lines() []event.JournalEntry {
	switch e.Step {
	case StepForwarded:
		return []event.JournalEntry{e.choiceLine(e.At)}
	case StepAnswered:
		return e.answeredLines()
	case StepServerAnswered:
		return []event.JournalEntry{
			e.line(e.At.Add(-e.Took), "dispatched", e.dispatchReason()),
			e.line(e.At, fmt.Sprintf("answered %d", e.Status), "answer began after "+rounded(e.Took)),
		}
	case StepRefused:
		return []event.JournalEntry{e.line(e.At, "outcome reported to caller: "+e.Outcome.String(), e.refusalReason())}
	default:
		return []event.JournalEntry{e.line(e.At, e.what(), e.why())}
	}
}

func (e *RequestEntry) line(at model.Instant, what, why string) event.JournalEntry {
	return event.JournalEntry{At: at, TraceID: e.TraceID, Subject: e.Subject, Message: what, Reason: why}
}

func (e *RequestEntry) answeredLines() []event.JournalEntry {
	answered := e.line(e.At, "answer sent to caller: "+e.Outcome.String(), "complete after "+rounded(e.Took))
	if e.ChoiceRecorded || e.Candidates == nil {
		return []event.JournalEntry{answered}
	}
	return []event.JournalEntry{e.choiceLine(e.At.Add(-e.Took)), answered}
}

// choiceLine describes which owner was chosen, the candidate zones and the
// rejected candidates.
func (e *RequestEntry) choiceLine(at model.Instant) event.JournalEntry {
	what := fmt.Sprintf("chosen as owner in %s", e.Zone)
	if e.Spill {
		what += " (spill)"
	}
	parts := e.candidateParts()
	if e.Detail == nil || len(e.Detail.Rejected) == 0 {
		parts = append(parts, "baseline zone picked by weight, nothing rejected")
	}
	return e.line(at, what, strings.Join(append(parts, e.rejectedParts()...), "; "))
}

func (e *RequestEntry) candidateParts() []string {
	if e.Candidates == nil {
		return nil
	}
	parts := []string{"baseline " + orNone(zoneNames(e.Candidates.Baseline))}
	spillOnly, _ := lo.Difference(e.Candidates.Spill, e.Candidates.Baseline)
	if len(spillOnly) > 0 {
		parts = append(parts, "spill "+zoneNames(spillOnly))
	}
	return parts
}

func (e *RequestEntry) rejectedParts() []string {
	if e.Detail == nil {
		return nil
	}
	return lo.Map(e.Detail.Rejected, func(r model.Rejected, _ int) string {
		name := string(r.Zone)
		if r.Owner != "" {
			name = string(r.Owner) + " in " + name
		}
		if r.Spill {
			name += " (spill)"
		}
		if r.AlreadyTried {
			return fmt.Sprintf("rejected %s: already tried", name)
		}
		return fmt.Sprintf("rejected %s: %s", name, r.Cause.Describe())
	})
}

func (e *RequestEntry) refusalReason() string {
	parts := []string{e.Cause.Describe()}
	if e.Detail != nil && e.Detail.Final != event.FinalNone {
		parts = append(parts, e.Detail.Final.String())
	}
	if e.Detail != nil && len(e.Detail.Rejected) > 0 {
		parts = append(parts, e.candidateParts()...)
	}
	return strings.Join(append(parts, e.rejectedParts()...), "; ")
}

func (e *RequestEntry) dispatchReason() string {
	parts := []string{fmt.Sprintf("attempt %d", e.Attempt), "waited " + rounded(e.Waited) + " for a slot"}
	if e.Claimed {
		parts = append(parts, "idempotency key claimed")
	}
	if e.Spill {
		parts = append(parts, "admitted as spill")
	}
	return strings.Join(parts, ", ")
}

var stepNames = map[Step]string{
	StepOwnerLost:             "owner lost",
	StepCancelRequest:         "checked whether the request can still run",
	StepAnswerTruncated:       "answer truncated",
	StepClaimDenied:           "claim not granted",
	StepReplayed:              "repeated request answered from the stored answer",
	StepAttemptFailed:         "attempt failed",
	StepServerAnswerTruncated: "answer truncated",
	StepAnswerNotStored:       "answer not stored",
}

func (e *RequestEntry) what() string {
	switch e.Step {
	case StepOwnerRefused:
		return "owner refused: " + e.Outcome.String()
	case StepOfferRefused:
		return "offer refused: " + e.Outcome.String()
	default:
		return stepNames[e.Step]
	}
}

func (e *RequestEntry) why() string {
	var parts []string
	if e.Attempt > 0 {
		parts = append(parts, fmt.Sprintf("attempt %d", e.Attempt))
	}
	if e.Cause != model.CauseNone {
		parts = append(parts, e.Cause.Describe())
	}
	if e.Detail != nil && e.Detail.Err != "" {
		parts = append(parts, e.Detail.Err)
	}
	return strings.Join(parts, "; ")
}

func zoneNames(zones []model.ZoneName) string {
	return strings.Join(lo.Map(zones, func(z model.ZoneName, _ int) string { return string(z) }), ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func rounded(d time.Duration) string {
	const step = 10 * time.Microsecond
	return d.Round(step).String()
}
