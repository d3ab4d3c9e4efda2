package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"
)

// What returns what happened, in a few words.
func (l *Line) What() string {
	switch l.Message {
	case messageAnswered:
		if l.Late {
			return fmt.Sprintf("answered %d, late", l.Status)
		}
		return fmt.Sprintf("answered %d", l.Status)
	case messageFailed:
		return fmt.Sprintf("attempt %d failed", l.Attempt)
	case messageRefused:
		return "refused: " + l.Outcome
	default:
		return l.Message
	}
}

// Of returns what the line is about: a server, a zone, a table or the caller.
func (l *Line) Of() string {
	switch {
	case l.Request == "":
		return lo.CoalesceOrEmpty(l.Subject, l.Table)
	case l.Server != "":
		return l.Server
	default:
		return "caller"
	}
}

// Reason returns the inputs of the decision.
func (l *Line) Reason() string {
	switch l.Message {
	case messageAnswered:
		return l.attemptInputs(fmt.Sprintf("attempt %d took %s", l.Attempt, millis(l.TookMS)))
	case messageFailed:
		return l.attemptInputs(fmt.Sprintf("%s after %s", l.failure(), millis(l.TookMS)))
	case messageTruncated:
		return l.attemptInputs(fmt.Sprintf("%s after %s", l.Error, millis(l.TookMS)))
	case messageRefused:
		return l.refusalInputs()
	default:
		return strings.Join(lo.Compact([]string{l.Why, l.Error, l.dropped()}), ", ")
	}
}

func (l *Line) dropped() string {
	if l.Dropped == 0 {
		return ""
	}
	return fmt.Sprintf("%d lines", l.Dropped)
}

func (l *Line) attemptInputs(first string) string {
	parts := []string{first, fmt.Sprintf("%s in %s", lo.CoalesceOrEmpty(l.Service, "server"), l.Zone), l.state()}
	if l.Moved {
		parts = append(parts, "in another region than the object's first candidate")
	}
	if l.ElapsedMS >= 1 {
		parts = append(parts, fmt.Sprintf("began %s after the request arrived", millis(l.ElapsedMS)))
	}
	parts = append(parts, fmt.Sprintf("%s left", millis(l.LeftMS)), l.target())
	return strings.Join(parts, "; ")
}

func (l *Line) refusalInputs() string {
	parts := []string{l.Cause}
	if l.Error != "" {
		parts = append(parts, l.Error)
	}
	if l.HostKnown != nil {
		parts = append(parts, lo.Ternary(*l.HostKnown, "the host is known", "the host is not known"))
	}
	if l.Attempts > 0 {
		parts = append(parts, fmt.Sprintf("after %d attempts, at most %d may be sent", l.Attempts, l.MaxAttempts))
	}
	if l.Servers != nil {
		parts = append(parts, fmt.Sprintf("%d servers of %s, %d full", *l.Servers, l.Service, l.Full))
	}
	if len(l.RuledOut) > 0 {
		parts = append(parts, "ruled out: "+describeCounts(l.RuledOut))
	}
	parts = append(parts, lo.Map(l.Limits, describeLimit)...)
	parts = append(parts, lo.Map(l.Candidates, describeCandidate)...)
	if l.RetryAfterMS > 0 {
		parts = append(parts, "Retry-After "+millis(l.RetryAfterMS))
	}
	return strings.Join(append(parts, l.target()), "; ")
}

// target returns what was asked for and by which configuration it was decided.
func (l *Line) target() string {
	text := l.Host + l.Path
	if l.Route != "" {
		text = strings.TrimSpace(fmt.Sprintf("route %s %s", l.Route, text))
	}
	if l.Configuration > 0 {
		text += fmt.Sprintf(", configuration %d", l.Configuration)
	}
	if l.ConfigurationAgeMS != nil {
		text += fmt.Sprintf(", confirmed %s before", millis(*l.ConfigurationAgeMS))
	}
	if text == "" {
		return "host and path unknown"
	}
	return text
}

// server names the server of an attempt with its zone.
func (l *Line) server() string { return fmt.Sprintf("%s in %s", l.Server, l.Zone) }

// failure returns at which step an attempt failed, and whether the server had the request.
func (l *Line) failure() string {
	if l.Message == messageTruncated {
		return "the answer broke off: " + l.Error
	}
	sent := ""
	if l.Sent != nil {
		sent = lo.Ternary(*l.Sent, ", sent", ", not sent")
	}
	return fmt.Sprintf("%s%s: %s", l.Step, sent, l.Error)
}

// state returns what was known of the server when it was chosen.
func (l *Line) state() string {
	warm := ""
	if l.KnowsObject != nil {
		warm = lo.Ternary(*l.KnowsObject, "object warm, ", "object not known to be warm, ")
	}
	return warm + l.load()
}

func (l *Line) load() string {
	text := fmt.Sprintf("load %.1f", l.Load)
	if l.Slots > 0 {
		text += fmt.Sprintf(" on %d slots", l.Slots)
	}
	return fmt.Sprintf("%s by a report %s old", text, millis(l.LoadAgeMS))
}

// queued reports whether the server was believed to have no free slot. The load includes
// the request itself.
func (l *Line) queued() bool { return l.Slots > 0 && l.Load > float64(l.Slots) }

func millis(ms float64) string {
	return milliseconds(ms).Round(time.Millisecond).String()
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
