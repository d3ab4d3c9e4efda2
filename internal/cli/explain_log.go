package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/explain"
	"github.com/samber/lo"
)

// standardInput names standard input instead of a file.
const standardInput = "-"

// notLoggedError reports that the logs hold no line about a request.
type notLoggedError struct{ result *explain.Result }

// Error implements error.
func (e *notLoggedError) Error() string {
	r := e.result
	if r.Stats.Lines == r.Stats.Unreadable {
		return fmt.Sprintf("no line about request %q: %d lines read, none of them is a JSON line of an entry instance", r.Request, r.Stats.Lines)
	}
	return fmt.Sprintf("no line about request %q: %d lines of %d instances read (%s), %d unreadable",
		r.Request, r.Stats.Lines, len(r.Instances), shorten(r.Instances), r.Stats.Unreadable)
}

// hint tells what the logs show of why a line may be missing.
func (e *notLoggedError) hint() string {
	r := e.result
	hints := []string{"read the logs of all instances, as only the one that took the request has its lines"}
	if len(r.Kills) > 0 {
		hints = append(hints, fmt.Sprintf("requests in flight have no line where an instance started again without having logged a stop: %s",
			shorten(lo.Map(r.Kills, func(k explain.Kill, _ int) string {
				return fmt.Sprintf("%s at %s", k.Instance, k.Started.UTC().Format(logTimeFormat))
			}))))
	}
	if n := r.Stats.Dropped + r.Stats.Skipped; n > 0 {
		hints = append(hints, fmt.Sprintf("the instances left out %d lines, %d of them because nobody read them fast enough and %d about refusals and failures beyond their rate",
			n, r.Stats.Dropped, r.Stats.SkippedFailures))
	}
	hints = append(hints, "of requests served in time, only some have a line")
	return strings.Join(hints, "; ")
}

// maxListedNames is the number of names in a message.
const maxListedNames = 8

func shorten(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:maxListedNames], ", ") + ", ..."
}

// explainFromLogs explains a request from logs.
func (s *session) explainFromLogs(request string, files []string) error {
	collector := explain.NewCollector(request)
	for _, name := range files {
		if err := s.readLog(collector, name); err != nil {
			return err
		}
	}
	result := collector.Result()
	if !result.Found() {
		e := &notLoggedError{result: result}
		return &hintError{err: e, hint: e.hint()}
	}
	return s.print(newLogExplainView(result))
}

func (s *session) readLog(collector *explain.Collector, name string) error {
	log, err := s.openLog(name)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer log.Close() // only read
	err = collector.Read(s.ctx, log)
	if errors.Is(err, context.DeadlineExceeded) {
		return &hintError{err: fmt.Errorf("read log %s: %w", name, err), hint: fmt.Sprintf("allow more time than --timeout %s", s.global.Timeout)}
	}
	if err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

func (s *session) openLog(name string) (io.ReadCloser, error) {
	if name == standardInput {
		return io.NopCloser(s.env.Stdin), nil
	}
	return s.env.OpenFile(name)
}

// logExplainView is the output of explain --log.
type logExplainView struct {
	Request       string          `json:"request"`
	Lines         []explainedLine `json:"lines"` // oldest first
	OmittedEvents int             `json:"omitted_events"`
	Complete      bool            `json:"complete"`
	Cause         string          `json:"cause"`
	Read          explain.Stats   `json:"read"`
	Instances     []string        `json:"instances"`
}

type explainedLine struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Level    string    `json:"level"`
	Subject  string    `json:"subject"`
	Event    string    `json:"event"`
	Reason   string    `json:"reason"`
}

func newLogExplainView(r *explain.Result) *logExplainView {
	v := &logExplainView{
		Request: r.Request, OmittedEvents: r.OmittedEvents, Complete: r.Complete, Cause: r.Cause, Read: r.Stats, Instances: r.Instances,
	}
	for i := range r.Lines {
		l := &r.Lines[i]
		v.Lines = append(v.Lines, explainedLine{At: l.Time, Instance: l.Instance, Level: l.Level, Subject: l.Of(), Event: l.What(), Reason: l.Reason()})
	}
	return v
}

// logTimeFormat shows milliseconds, to which the instances log.
const logTimeFormat = "2006-01-02 15:04:05.000Z"

func (v *logExplainView) writeText(w io.Writer) {
	t := newTextTable(w, "AT", "INSTANCE", "SUBJECT", "WHAT", "WHY")
	for _, l := range v.Lines {
		t.row(l.At.UTC().Format(logTimeFormat), orDash(l.Instance), orDash(l.Subject), l.Event, orDash(l.Reason))
	}
	t.flush()
	if v.OmittedEvents > 0 {
		fmt.Fprintf(w, "%d earlier events left out\n", v.OmittedEvents)
	}
	fmt.Fprintf(w, "read %d lines of %d instances, %d unreadable\n", v.Read.Lines, len(v.Instances), v.Read.Unreadable)
	fmt.Fprintf(w, "cause: %s\n", v.Cause)
}
