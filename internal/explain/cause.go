package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// cause returns in plain words why the request ended as it did.
func (t *trace) cause() string {
	if t.end == nil {
		return t.missingEnd()
	}
	text := t.pause() + t.endCause()
	if earlier := t.earlierEnds(); earlier > 0 {
		text += fmt.Sprintf("; it was the caller's last of %d tries with this id", earlier+1)
	}
	return text
}

const (
	// pausePrefix begins the reason of an event about an instance that did not run for a time.
	pausePrefix = "paused for "
	// pauseNotice is how long after a pause its event may be logged.
	pauseNotice = 500 * time.Millisecond
	// overrun is how much longer an attempt may last than its time before its instance is
	// taken to have been paused.
	overrun = 500 * time.Millisecond
)

// pause returns, as the beginning of a sentence, whether the instance itself stood still
// while the request was in flight, or "".
func (t *trace) pause() string {
	attempts := append(t.failedAttempts(), *t.end)
	for _, e := range t.events {
		paused, err := time.ParseDuration(strings.TrimPrefix(e.Why, pausePrefix))
		if e.Message != messagePaused || err != nil || e.Instance != t.end.Instance {
			continue
		}
		began := attempts[0].Time.Add(-milliseconds(attempts[0].TookMS))
		if e.Time.Add(-paused).Before(t.end.Time) && e.Time.After(began) && !e.Time.After(t.end.Time.Add(pauseNotice)) {
			return fmt.Sprintf("%s itself was paused for %s until then; ", t.end.Instance, paused)
		}
	}
	for _, l := range attempts {
		if over := milliseconds(l.TookMS - l.LeftMS); l.LeftMS > 0 && over > overrun {
			return fmt.Sprintf("%s itself was paused or short of processor time: an attempt outlasted its time by %s; ", t.end.Instance, over.Round(time.Millisecond))
		}
	}
	return ""
}

// earlierEnds counts the earlier tries of the caller. An answer that broke off before it
// was forwarded belongs to the try that follows it.
func (t *trace) earlierEnds() int {
	return lo.CountBy(t.lines, func(l Line) bool {
		return (l.Message == messageAnswered || l.Message == messageRefused) && !l.same(t.end)
	})
}

func (l *Line) same(other *Line) bool {
	return l.Time.Equal(other.Time) && l.Instance == other.Instance && l.Message == other.Message
}

func (t *trace) missingEnd() string {
	last := &t.lines[len(t.lines)-1]
	text := fmt.Sprintf("unknown: the logs read lack the line that tells what the caller got; the last line is of %s at %s",
		last.Instance, last.Time.UTC().Format("15:04:05.000Z"))
	for _, k := range t.kills {
		if k.Instance == last.Instance && !k.Started.Before(last.Time) {
			return text + fmt.Sprintf("; %s started again at %s and had not logged a stop",
				k.Instance, k.Started.UTC().Format("15:04:05.000Z"))
		}
	}
	return text
}

func (t *trace) endCause() string {
	switch t.end.Message {
	case messageRefused:
		return t.refusalCause()
	case messageTruncated:
		return fmt.Sprintf("the answer of %s broke off after %s: %s%s", t.end.server(), millis(t.end.TookMS), t.end.Error, t.serverEvents(t.end.Server))
	default:
		return t.answerCause()
	}
}

func (t *trace) answerCause() string {
	total := millis(t.end.ElapsedMS + t.end.TookMS)
	switch {
	case t.end.Status >= 500:
		return fmt.Sprintf("%s answered %d by itself after %s; the answer was passed on", t.end.server(), t.end.Status, millis(t.end.TookMS))
	case t.end.Late:
		return fmt.Sprintf("served late by %s: %s of an objective of %s; %s",
			t.end.server(), total, millis(t.end.ObjectiveMS), strings.Join(t.delays(), "; "))
	default:
		return fmt.Sprintf("served in time by %s: status %d after %s", t.end.server(), t.end.Status, total)
	}
}

// delays returns what made an answer late.
func (t *trace) delays() []string {
	var causes []string
	if t.end.ElapsedMS >= 1 && t.end.Attempt > 1 {
		causes = append(causes, "earlier attempts took "+millis(t.end.ElapsedMS))
	}
	if t.end.KnowsObject != nil && !*t.end.KnowsObject {
		causes = append(causes, "the server was not known to have the object warm")
	}
	if t.end.queued() {
		causes = append(causes, "it had to wait there: "+t.end.load())
	}
	if t.end.Moved {
		causes = append(causes, "it was sent to another region because the nearer candidate was full")
	}
	if len(causes) == 0 {
		causes = append(causes, "the server had the object warm and a free slot by what was known, and took that long: "+t.end.load())
	}
	return causes
}

// refusalCauses maps causes whose meaning does not depend on other lines.
var refusalCauses = map[model.Cause]string{
	model.CauseNoConfiguration: "the instance had no configuration yet",
	model.CauseStopping:        "the instance was stopping and took no new requests",
	model.CauseOverload:        "the instance had reached its own limit of requests in flight",
}

func (t *trace) refusalCause() string {
	cause := model.Cause(t.end.Cause)
	if text, ok := refusalCauses[cause]; ok {
		return text + t.startedBefore()
	}
	switch cause {
	case model.CauseNoRoute:
		return t.noRouteCause()
	case model.CauseOverQuota:
		return t.overQuotaCause()
	case model.CauseUnauthorized:
		return t.unauthorizedCause()
	case model.CauseInvalidRequest:
		return "the request was malformed: " + t.end.Error
	case model.CauseQueueFull, model.CauseNoBackend:
		return t.noServerCause()
	case model.CauseCallerGone:
		return t.callerGoneCause()
	default:
		return t.attemptsCause()
	}
}

func (t *trace) noRouteCause() string {
	what := "host " + t.end.Host
	if t.end.HostKnown != nil && *t.end.HostKnown {
		what = fmt.Sprintf("path %s of host %s", t.end.Path, t.end.Host)
	}
	return t.withConfiguration(fmt.Sprintf("no route of configuration %d matches %s", t.end.Configuration, what))
}

// overQuotaCause explains that an organisation's limit admitted no request at the instance.
func (t *trace) overQuotaCause() string {
	q := t.end.Quota
	if q == nil {
		return "its organisation had used up its limit; the line does not tell what the instance had of it"
	}
	text := fmt.Sprintf("its organisation had used up what the instance had of its limit of %g/s and %g at once: ", q.Rate, q.Burst)
	if q.LeaseRate > 0 || q.LeaseDepth > 0 {
		text += fmt.Sprintf("a lease of %g/s by %s with %.1f tokens of %g", q.LeaseRate, q.Coordinator, q.Tokens, q.LeaseDepth)
	} else {
		text += fmt.Sprintf("no lease by its coordinator %s", lo.CoalesceOrEmpty(q.Coordinator, "(unknown)"))
	}
	text += fmt.Sprintf(", %d of %d requests of the reserve used; %g/s arrived there", q.Reserved, q.Reserve, q.Demand)
	if q.Saturated {
		text += ", and the requests at all instances exceeded the limit"
	}
	return text + t.startedBefore()
}

// unauthorizedCause explains that a key identified no organisation, maybe only at a retry.
func (t *trace) unauthorizedCause() string {
	text := ""
	if failed := t.failedAttempts(); len(failed) > 0 {
		text = t.describeAttempts(failed) + "; then "
	}
	return t.withConfiguration(text + fmt.Sprintf("by configuration %d, its key belonged to no organisation or to two, or it carried none", t.end.Configuration))
}

// withConfiguration adds the age of the configuration, and when the next one was adopted.
func (t *trace) withConfiguration(text string) string {
	if t.end.ConfigurationAgeMS != nil {
		text += fmt.Sprintf(" (confirmed %s before)", millis(*t.end.ConfigurationAgeMS))
	}
	for _, e := range t.events {
		if e.Subject == subjectConfiguration && e.Instance == t.end.Instance && e.Time.After(t.end.Time) {
			return text + fmt.Sprintf("; the next one was adopted %s later: %s", e.Time.Sub(t.end.Time).Round(time.Millisecond), e.Why)
		}
	}
	return text
}

// describeStanding tells what the request might claim of a service that was short of room.
func describeStanding(l *Line) string {
	st := l.Standing
	if st == nil {
		return ""
	}
	text := fmt.Sprintf("service %s was short of room (refused %d of %d requests in 2s)", l.Service, st.Refused, st.Arrived)
	if st.Due != nil {
		within := "within"
		if st.OverShare {
			within = "over"
		}
		text += fmt.Sprintf(", its organisation was %s its share (admitted %d, due %.1f)", within, st.Admitted, *st.Due)
	}
	if st.Urgency > 0 {
		text += ", more urgent requests came first"
	}
	return text + fmt.Sprintf(", so that it might wait at most %s in a queue; ", millis(st.MaxWaitMS))
}

// noServerCause explains that no server was found, for the first attempt or for a retry.
func (t *trace) noServerCause() string {
	text := ""
	if failed := t.failedAttempts(); len(failed) > 0 {
		text = t.describeAttempts(failed) + "; then "
	}
	text += describeStanding(t.end)
	if t.end.Servers == nil && t.end.Standing != nil && t.end.Standing.Early {
		return text + "the same request had been refused and was sent again before the time that it had been told"
	}
	if t.end.Servers == nil {
		return text + fmt.Sprintf("no server could take it (%s); the line does not tell which were looked at", t.end.Cause)
	}
	if *t.end.Servers == 0 {
		return text + fmt.Sprintf("the instance knew no server of service %s", t.end.Service) + t.startedBefore()
	}
	if t.end.Full > 0 {
		text += fmt.Sprintf("its candidates, %d of the %d servers of service %s, had no room (%s)",
			t.end.Full, *t.end.Servers, t.end.Service, strings.Join(lo.Map(t.end.Candidates, describeCandidate), "; "))
		if t.end.MayMove != nil && !*t.end.MayMove {
			text += "; no more requests might move to another region"
		}
	} else {
		text += fmt.Sprintf("none of the %d servers of service %s might be used", *t.end.Servers, t.end.Service)
	}
	if len(t.end.RuledOut) > 0 {
		text += "; ruled out: " + describeCounts(t.end.RuledOut)
	}
	for i := range t.end.Limits {
		text += "; " + describeLimit(t.end.Limits[i], i)
	}
	return text
}

func describeCandidate(c Candidate, _ int) string {
	return fmt.Sprintf("%s in %s: %s, load %.1f on %d slots known for %s", c.Server, c.Zone, c.Reason, c.Load, c.Slots, millis(c.LoadAgeMS))
}

func describeLimit(l LimitUse, _ int) string {
	text := fmt.Sprintf("%s takes %g/s, %d of %d requests in %s used at the instance", l.Server, l.Limit, l.Used, l.Share, millis(l.SpanMS))
	if l.Owned+l.Borrowed+l.Lent > 0 {
		text += fmt.Sprintf(" (%d own, %d borrowed, %d lent)", l.Owned, l.Borrowed, l.Lent)
	}
	return text
}

func describeCounts(counts map[string]int) string {
	keys := lo.Keys(counts)
	slices.Sort(keys)
	return strings.Join(lo.Map(keys, func(k string, _ int) string { return fmt.Sprintf("%d %s", counts[k], k) }), ", ")
}

func (t *trace) callerGoneCause() string {
	failed := t.failedAttempts()
	if len(failed) == 0 {
		return "the caller closed its connection before it had an answer"
	}
	last := failed[len(failed)-1]
	text := fmt.Sprintf("the caller closed its connection after %s, when %s had worked on it or let it wait for %s; %s",
		millis(last.ElapsedMS+last.TookMS), last.server(), millis(last.TookMS), last.state())
	if earlier := failed[:len(failed)-1]; len(earlier) > 0 {
		text += "; before, " + t.describeAttempts(earlier)
	}
	return text + t.serverEvents(last.Server)
}

// attemptsCause explains a refusal after failed attempts.
func (t *trace) attemptsCause() string {
	failed := t.failedAttempts()
	if len(failed) == 0 {
		if t.end.Attempts > 0 {
			return fmt.Sprintf("%s after %d attempts, whose lines are missing in the logs read", t.end.Cause, t.end.Attempts)
		}
		return fmt.Sprintf("%s, before any attempt", t.end.Cause)
	}
	return t.describeAttempts(failed) + "; " + t.noRetryReason(failed) + t.serverEvents(failed[len(failed)-1].Server)
}

// noRetryReason returns why the request was not sent again.
func (t *trace) noRetryReason(failed []Line) string {
	last := failed[len(failed)-1]
	switch cause := model.Cause(t.end.Cause); {
	case cause == model.CauseRetryBudget:
		return fmt.Sprintf("the retry budget of service %s was used up", t.end.Service)
	case cause == model.CauseDeadline, last.LeftMS > 0 && last.TookMS >= last.LeftMS:
		return lo.Ternary(last.queued(), "its time was used up, and the server had a queue when it was chosen", "its time was used up")
	case t.end.Outcome == model.Unknown.String() && t.end.Repeatable != nil && !*t.end.Repeatable:
		return "it may have run and must not run twice"
	case last.Sent != nil && !*last.Sent:
		return "too many connections had failed for another attempt"
	case t.end.MaxAttempts > 0 && t.end.Attempts >= t.end.MaxAttempts:
		return fmt.Sprintf("its limit is %d attempts", t.end.MaxAttempts)
	default:
		return "it was not sent again"
	}
}

// failedAttempts returns the failed attempts of the last try.
func (t *trace) failedAttempts() []Line {
	var failed []Line
	for _, l := range t.lines {
		switch {
		case l.same(t.end):
			return failed
		case l.Message == messageAnswered, l.Message == messageRefused:
			failed = nil // of an earlier try
		case l.Message == messageFailed, l.Message == messageTruncated:
			failed = append(failed, l)
		}
	}
	return failed
}

func (t *trace) describeAttempts(failed []Line) string {
	return strings.Join(lo.Map(failed, func(l Line, _ int) string {
		return fmt.Sprintf("attempt %d at %s failed after %s: %s (%s)", l.Attempt, l.server(), millis(l.TookMS), l.failure(), l.state())
	}), "; ")
}

// serverEvents returns the nearest events about a server before and after the end of the
// request, as a clause, or "".
func (t *trace) serverEvents(server string) string {
	var before, after *Line
	for i := range t.events {
		e := &t.events[i]
		if e.Subject != server || server == "" || e.Instance != t.end.Instance || e.SubjectKind != "" {
			continue
		}
		switch early := !e.Time.After(t.end.Time); {
		case early && e.Message == messageUsedAgain:
			before = nil
		case !e.tellsHealth():
		case early:
			before = e
		case after == nil:
			after = e
		}
	}
	text := ""
	if before != nil {
		text += fmt.Sprintf("; %s: %s %s before its end (%s)", server, before.Message, t.end.Time.Sub(before.Time).Round(time.Millisecond), before.Why)
	}
	if after != nil {
		text += fmt.Sprintf("; %s: %s %s after its end (%s)", server, after.Message, after.Time.Sub(t.end.Time).Round(time.Millisecond), after.Why)
	}
	return text
}

// recentStart is how long after its start an instance may lack what it has to read first.
const recentStart = 5 * time.Second

// startedBefore returns how long before the end of the request its instance had started, as a
// clause, or "" if that was long ago.
func (t *trace) startedBefore() string {
	for _, e := range slices.Backward(t.events) {
		age := t.end.Time.Sub(e.Time)
		if e.Message == messageStarted && e.Instance == t.end.Instance && age >= 0 && age < recentStart {
			return fmt.Sprintf("; it had started %s before", age.Round(time.Millisecond))
		}
	}
	return ""
}

// tellsHealth reports whether an event about a server tells how it was.
func (l *Line) tellsHealth() bool {
	return l.rulesOut() || l.Message == messageRestarted || l.Message == messageRemoved
}
