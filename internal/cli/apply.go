package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
)

// changeOptions are shared by the commands that change the configuration.
type changeOptions struct {
	Reason string `short:"m" long:"reason" value-name:"REASON" description:"why; it stays in the history"`
	Author string `long:"author" value-name:"NAME" description:"who; the user who is logged in by default"`
}

func (o *changeOptions) complete(env *Environment) error {
	if o.Reason == "" {
		return &usageError{What: "give the reason with -m REASON; it stays in the history"}
	}
	if o.Author == "" {
		o.Author = env.Author
	}
	return nil
}

const noBase = -1

type applyCommand struct {
	s *session
	changeOptions
	Base      int64  `long:"base" default:"-1" default-mask:"the revision in force" value-name:"N" description:"revision that the text was made from; any later change is then a conflict"`
	Operation string `long:"operation-id" value-name:"ID" description:"repeats an apply whose outcome is unknown; it is applied at most once"`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"the text"`
	} `positional-args:"true" required:"true"`
}

func (*applyCommand) examples() string {
	return `  primrosenotch apply shop.ini -m "second checkout server in munich-b"
  primrosenotch apply shop.ini -m "more slots" --base 12
  primrosenotch apply shop.ini -m "more slots" --base 12 --operation-id 5c2e
`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if err := c.complete(c.s.env); err != nil {
		return err
	}
	text, source, err := c.s.readText(c.Args.File)
	if err != nil {
		return err
	}
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	base, err := c.base(store)
	if err != nil {
		return err
	}
	operation := c.Operation
	if operation == "" {
		operation = c.s.env.NewID()
	}
	revision, err := store.Apply(c.s.ctx, confstore.Change{
		Base: numberOf(base), Source: source, Author: c.Author, Reason: c.Reason, OperationID: operation,
	})
	if err != nil {
		return c.explain(err, base, operation)
	}
	previous, _ := parseRevision(base) // a text that this version rejects counts as empty
	v := newDiffView(base, previous, text, revision.Stops, revision.Stops)
	return c.s.print(&appliedView{Revision: newRevisionView(revision), Diff: v})
}

// base returns the revision that the text was made from, nil before the first.
func (c *applyCommand) base(store *confstore.Store) (*config.Revision, error) {
	if c.Base == 0 {
		return nil, nil
	}
	if c.Base != noBase {
		return store.LoadRevision(c.s.ctx, c.Base)
	}
	revision, err := store.Load(c.s.ctx)
	if errors.Is(err, confstore.ErrNoRevision) {
		return nil, nil
	}
	return revision, err
}

// explain adds to an error what the operator needs next: the winner's changes,
// or how to repeat safely.
func (c *applyCommand) explain(err error, base *config.Revision, operation string) error {
	var conflict *confstore.ConflictError
	if errors.As(err, &conflict) && conflict.Winner != nil {
		return newConflict(err, base, conflict.Winner)
	}
	if isA[*confstore.UnsettledError](err) {
		return &hintError{err: err, hint: fmt.Sprintf("repeat safely with: primrosenotch apply %s -m %q --base %d --operation-id %s", c.Args.File, c.Reason, numberOf(base), operation)}
	}
	return err
}

func numberOf(r *config.Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

// parseRevision returns the text of a revision, nil for none.
func parseRevision(r *config.Revision) (*config.Text, error) {
	if r == nil {
		return nil, nil
	}
	return config.Parse(fmt.Sprintf("revision-%d", r.Number), r.Source)
}

// appliedView is what apply prints.
type appliedView struct {
	Revision revisionView `json:"revision"`
	Diff     *diffView    `json:"diff"`
}

func (v *appliedView) writeText(w io.Writer) {
	fmt.Fprintf(w, "revision %d accepted (operation %s)\n", v.Revision.Number, v.Revision.OperationID)
	v.Diff.writeText(w)
}
