package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

type explainCommand struct {
	s    *session
	Logs []string `long:"log" value-name:"FILE" description:"explain a request from a log of primrosenotch-edge instead of querying instances; - for standard input; may be repeated"`
	Args struct {
		Name string `positional-arg-name:"ID|NAME" description:"X-Request-Id of a response, or the name of an instance, backend server, zone or service"`
	} `positional-args:"true" required:"true"`
}

func (*explainCommand) examples() string {
	return `  primrosenotch explain 0b9f6d1e --entry 10.1.0.10:7400     a request, by its X-Request-Id
  primrosenotch explain checkout-03 --entry 10.1.0.10:7400  a backend server
  primrosenotch explain 0b9f6d1e --log a.log --log b.log    a request, from the logs of instances on the platform
  journalctl -u primrosenotch-edge | primrosenotch explain 0b9f6d1e --log -
`
}

// Execute implements flags.Commander. It queries the name both as a request and as
// a subject, so that operators need not know which of them it is.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.s.explainFromLogs(c.Args.Name, c.Logs)
	}
	fleet, err := c.s.clients.fleet()
	if err != nil {
		return err
	}
	answers := fleet.Explain(c.s.ctx, control.ExplainQuery{Request: c.Args.Name}, control.ExplainQuery{Subject: c.Args.Name})
	explanations, unreachable, err := splitAnswers(answers)
	if err != nil {
		return err
	}
	return c.s.print(newExplainView(c.Args.Name, explanations, unreachable))
}

// explainView is the output of explain.
type explainView struct {
	Name        string                `json:"name"`
	Entries     []explainedEntry      `json:"entries"` // oldest first
	Unreachable []unreachableInstance `json:"silent"`
}

type explainedEntry struct {
	Instance model.InstanceID `json:"instance"`
	control.JournalEntry
}

func newExplainView(name string, explanations []control.Explanation, unreachable []unreachableInstance) *explainView {
	v := &explainView{Name: name, Entries: []explainedEntry{}, Unreachable: orEmpty(unreachable)}
	for _, explanation := range explanations {
		for _, entry := range explanation.Entries {
			v.Entries = append(v.Entries, explainedEntry{Instance: explanation.Instance, JournalEntry: entry})
		}
	}
	slices.SortStableFunc(v.Entries, compareEntries)
	v.Entries = slices.Compact(v.Entries) // an entry that matches as request and as subject is returned twice
	return v
}

func compareEntries(a, b explainedEntry) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Subject, b.Subject),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Event, b.Event),
	)
}

func (v *explainView) writeText(w io.Writer) {
	if len(v.Entries) == 0 {
		fmt.Fprintf(w, "no reachable instance has recorded a decision about %s\n", v.Name)
	} else {
		t := newTextTable(w, "AT", "INSTANCE", "SUBJECT", "WHAT", "WHY")
		for _, e := range v.Entries {
			t.row(e.At.UTC().Format("2006-01-02 15:04:05.000Z"), string(e.Instance), orDash(e.Subject), e.Event, e.Reason)
		}
		t.flush()
	}
	writeUnreachable(w, v.Unreachable)
}
