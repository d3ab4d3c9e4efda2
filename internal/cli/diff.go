package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

type diffCommand struct {
	s     *session
	Stops []string `long:"stop" value-name:"SCOPE:NAME" description:"planned stop to preview; may be repeated"`
	From  string   `long:"from" value-name:"FILE" description:"file to compare with instead of the text in force"`
	Args  struct {
		File string `positional-arg-name:"FILE" description:"file with the new configuration text"`
	} `positional-args:"true"`
}

func (*diffCommand) examples() string {
	return `  primrosenotch diff shop.ini
  primrosenotch diff --stop zone:munich-a --stop backend:checkout-09
  primrosenotch diff new.ini --from old.ini
`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	if c.Args.File == "" && len(c.Stops) == 0 {
		return &usageError{Message: "a file or a planned stop (--stop SCOPE:NAME) is required"}
	}
	base, before, err := c.base()
	if err != nil {
		return err
	}
	after := before
	if c.Args.File != "" {
		if after, _, err = c.s.readText(c.Args.File); err != nil {
			return err
		}
	}
	var stops []config.Stop
	if base != nil {
		stops = base.Stops
	}
	planned, err := parseStops(after, c.Stops)
	if err != nil {
		return err
	}
	return c.s.print(newDiffView(base, before, after, stops, append(stops[:len(stops):len(stops)], planned...)))
}

// base returns the configuration to compare with: the revision in force and its
// text, or only the text of the --from file. If no revision exists yet and a FILE
// is given, both results are nil.
func (c *diffCommand) base() (*config.Revision, *config.Text, error) {
	if c.From != "" {
		text, _, err := c.s.readText(c.From)
		return nil, text, err
	}
	store, err := c.s.clients.store()
	if err != nil {
		return nil, nil, err
	}
	revision, err := store.Load(c.s.ctx)
	if errors.Is(err, confstore.ErrNoRevision) && c.Args.File != "" {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	text, err := parseRevision(revision)
	return revision, text, err
}

// parseStops parses SCOPE:NAME targets and checks that each exists in text.
func parseStops(text *config.Text, targets []string) ([]config.Stop, error) {
	var stops []config.Stop
	for _, target := range targets {
		scope, name, err := config.ParseStopTarget(target)
		if err != nil {
			return nil, err
		}
		stop := config.Stop{Scope: scope, Target: name}
		if err := config.CheckStop(text, stop); err != nil {
			return nil, err
		}
		stops = append(stops, stop)
	}
	return stops, nil
}

// diffView is the output of diff: the preview of a change.
type diffView struct {
	Base    int64                  `json:"base"` // revision number; 0 for a file or if there is no revision
	Changes []config.Change        `json:"changes"`
	Impacts []config.ServiceImpact `json:"impacts"`
}

func newDiffView(base *config.Revision, before, after *config.Text, stopsBefore, stopsAfter []config.Stop) *diffView {
	impacts := config.ImpactOfChange(before, after, stopsBefore, stopsAfter)
	v := &diffView{Base: revisionNumber(base), Changes: []config.Change{}, Impacts: orEmpty(impacts)}
	if before != after {
		v.Changes = orEmpty(config.Diff(before, after))
	}
	return v
}

func (v *diffView) writeText(w io.Writer) {
	if v.Base > 0 {
		fmt.Fprintf(w, "compared with revision %d\n", v.Base)
	}
	if len(v.Changes) == 0 && len(v.Impacts) == 0 {
		fmt.Fprintln(w, "no changes")
		return
	}
	writeChanges(w, v.Changes)
	writeImpacts(w, v.Impacts)
}

var changeSigns = map[config.ChangeKind]string{config.Added: "+", config.Removed: "-", config.Changed: "~"}

func writeChanges(w io.Writer, changes []config.Change) {
	for _, c := range changes {
		fmt.Fprintf(w, "%s [%s] ", changeSigns[c.Kind], c.Section)
		switch c.Kind {
		case config.Added:
			fmt.Fprintln(w, c.New)
		case config.Removed:
			fmt.Fprintln(w, c.Old)
		default:
			fmt.Fprintf(w, "%s: %s -> %s\n", c.Key, orDash(c.Old), orDash(c.New))
		}
	}
}

func writeImpacts(w io.Writer, impacts []config.ServiceImpact) {
	if len(impacts) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "SERVICE", "ZONE", "SLOTS BEFORE", "AFTER")
	for _, impact := range impacts {
		for _, zone := range impact.Zones {
			t.row(string(impact.Service), string(zone.Zone), fmt.Sprint(zone.Before), fmt.Sprint(zone.After))
		}
		t.row(string(impact.Service), "all", fmt.Sprint(impact.Before), fmt.Sprint(impact.After))
	}
	t.flush()
	fmt.Fprintln(w)
	for _, impact := range impacts {
		fmt.Fprintln(w, describeImpact(impact))
	}
}

// describeImpact describes in one line the capacity left to a service and the
// time to move its load.
func describeImpact(i config.ServiceImpact) string {
	urgent := "urgent requests still fit"
	if !i.UrgentFits {
		urgent = "URGENT REQUESTS NO LONGER FIT"
	}
	move := "no load has to move"
	switch {
	case i.NoReceiver:
		move = "NO OTHER ZONE CAN TAKE THE LOAD"
	case i.MoveTime > 0:
		move = fmt.Sprintf("moving the load takes up to %s under the shift cap", i.MoveTime)
	}
	line := fmt.Sprintf("%s: %.1f%% of the slots left; %s; %s", i.Service, i.ShareLeft*100, urgent, move)
	if len(i.Dependents) > 0 {
		line += "; needed by " + strings.Join(lo.Map(i.Dependents, func(s model.ServiceName, _ int) string { return string(s) }), ", ")
	}
	return line
}
