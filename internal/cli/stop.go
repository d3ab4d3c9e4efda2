package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
	"github.com/primrosenotch/primrosenotch/internal/control"
)

func stopCommandList(s *session) []commandSpec {
	return []commandSpec{
		{"cancel", "cancel planned stops", "Cancels planned stops that are in force.", &stopCancelCommand{s: s}},
		{"list", "list the planned stops in force", "Lists the planned stops in force.", &stopListCommand{s: s}},
	}
}

type stopCommand struct {
	s *session
	changeOptions
	ID string `long:"id" value-name:"ID" description:"identifier of the planned stop; reuse it to repeat an announcement safely"`
}

// Usage implements flags.Usage.
func (*stopCommand) Usage() string { return "[SCOPE:NAME -m REASON]" }

func (*stopCommand) examples() string {
	return `  primrosenotch diff --stop backend:checkout-03       preview it
  primrosenotch stop backend:checkout-03 -m "new disk"
  primrosenotch stop zone:munich-a -m "power test"    scopes: backend, instance, zone, region
  primrosenotch stop list
  primrosenotch stop cancel 5c2e -m "disk is in"
`
}

// Execute implements flags.Commander.
func (c *stopCommand) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{Message: "exactly one SCOPE:NAME is required, such as backend:checkout-03; see also stop list and stop cancel"}
	}
	scope, name, err := config.ParseStopTarget(args[0])
	if err != nil {
		return err
	}
	if err := c.complete(c.s.env); err != nil {
		return err
	}
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	stop := config.Stop{ID: c.ID, Scope: scope, Target: name, Author: c.Author, Reason: c.Reason, At: c.s.env.Now().UTC()}
	if stop.ID == "" {
		stop.ID = c.s.env.NewID()
	}
	revision, err := store.Announce(c.s.ctx, stop)
	if isA[*confstore.OutcomeUnknownError](err) {
		return &hintError{err: err, hint: fmt.Sprintf("repeat safely with: primrosenotch stop %s -m %q --id %s", args[0], c.Reason, stop.ID)}
	}
	if err != nil {
		return err
	}
	return c.printAnnounced(revision, stop)
}

// printAnnounced prints stop and its impact on the services.
func (c *stopCommand) printAnnounced(revision *config.Revision, stop config.Stop) error {
	text, err := parseRevision(revision)
	if err != nil {
		return err
	}
	var before []config.Stop
	for _, s := range revision.Stops {
		if s.ID != stop.ID {
			before = append(before, s)
		}
	}
	impacts := config.ImpactOfChange(text, text, before, revision.Stops)
	return c.s.print(&stopView{Revision: revision.Number, Stop: control.NewStop(stop), Impacts: orEmpty(impacts)})
}

// stopView is the output of stop for an announced stop.
type stopView struct {
	Revision int64                  `json:"revision"`
	Stop     control.Stop           `json:"stop"`
	Impacts  []config.ServiceImpact `json:"impacts"`
}

func (v *stopView) writeText(w io.Writer) {
	fmt.Fprintf(w, "revision %d: planned stop %s of %s:%s announced\n", v.Revision, v.Stop.ID, v.Stop.Scope, v.Stop.Target)
	writeImpacts(w, v.Impacts)
}

type stopCancelCommand struct {
	s *session
	changeOptions
	Operation string `long:"operation-id" value-name:"ID" description:"identifier of an earlier cancellation whose outcome is unknown, to repeat it"`
	Args      struct {
		IDs []string `positional-arg-name:"ID" required:"1" description:"identifiers of planned stops, as listed by stop list"`
	} `positional-args:"true" required:"true"`
}

func (*stopCancelCommand) examples() string {
	return `  primrosenotch stop cancel 5c2e -m "disk is in"
`
}

// Execute implements flags.Commander.
func (c *stopCancelCommand) Execute([]string) error {
	if err := c.complete(c.s.env); err != nil {
		return err
	}
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	operation := c.Operation
	if operation == "" {
		operation = c.s.env.NewID()
	}
	revision, err := store.Cancel(c.s.ctx, confstore.Cancellation{
		StopIDs: c.Args.IDs, Author: c.Author, Reason: c.Reason, OperationID: operation,
	})
	if isA[*confstore.OutcomeUnknownError](err) {
		return &hintError{err: err, hint: fmt.Sprintf("repeat the command with --operation-id %s; it is applied at most once", operation)}
	}
	if err != nil {
		return err
	}
	return c.s.print(newStopList(revision))
}

type stopListCommand struct{ s *session }

func (*stopListCommand) examples() string {
	return `  primrosenotch stop list
`
}

// Execute implements flags.Commander.
func (c *stopListCommand) Execute([]string) error {
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	revision, err := store.Load(c.s.ctx)
	if errors.Is(err, confstore.ErrNoRevision) {
		revision, err = &config.Revision{}, nil
	}
	if err != nil {
		return err
	}
	return c.s.print(newStopList(revision))
}

// stopList is the output of stop list and stop cancel: the planned stops in force.
type stopList struct {
	Revision int64          `json:"revision"`
	Stops    []control.Stop `json:"stops"`
}

func newStopList(r *config.Revision) *stopList {
	return &stopList{Revision: r.Number, Stops: newRevisionView(r).Stops}
}

func (v *stopList) writeText(w io.Writer) {
	fmt.Fprintf(w, "revision %d\n", v.Revision)
	if len(v.Stops) == 0 {
		fmt.Fprintln(w, "no planned stops are in force")
		return
	}
	writeStops(w, v.Stops)
}

func writeStops(w io.Writer, stops []control.Stop) {
	t := newTextTable(w, "STOP", "OF", "SINCE", "AUTHOR", "REASON")
	for _, s := range stops {
		t.row(s.ID, stopTarget(s.Scope, s.Target), formatTime(s.At), s.Author, s.Reason)
	}
	t.flush()
}
