package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/confstore"
)

// changeOptions are the options of every command that changes the configuration.
type changeOptions struct {
	Reason string `short:"m" long:"reason" value-name:"REASON" description:"reason for the change, recorded in the history"`
	Author string `long:"author" value-name:"NAME" description:"author of the change; by default the current user"`
}

// complete checks that a reason is given and defaults Author to the current
// user.
func (o *changeOptions) complete(env *Environment) error {
	if o.Reason == "" {
		return &usageError{Message: "a reason is required: -m REASON; it is recorded in the history"}
	}
	if o.Author == "" {
		o.Author = env.Author
	}
	return nil
}

// currentBase is the default of --base: the revision in force.
const currentBase = -1

type applyCommand struct {
	s *session
	changeOptions
	Base      int64  `long:"base" default:"-1" default-mask:"the revision in force" value-name:"N" description:"revision that the text is based on; apply reports a conflict if a later one is in force"`
	Operation string `long:"operation-id" value-name:"ID" description:"identifier of an earlier apply whose outcome is unknown, to repeat it; it takes effect at most once"`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"file with the configuration text"`
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
		Base: revisionNumber(base), Source: source, Author: c.Author, Reason: c.Reason, OperationID: operation,
	})
	if err != nil {
		return c.annotateError(err, base, operation)
	}
	previous, _ := parseRevision(base) // a text that this version cannot parse counts as empty
	v := newDiffView(base, previous, text, revision.Stops, revision.Stops)
	return c.s.print(&applyView{Revision: newRevisionView(revision), Diff: v})
}

// base returns the revision on which the text is based, or nil if there is none.
func (c *applyCommand) base(store *confstore.Store) (*config.Revision, error) {
	if c.Base == 0 {
		return nil, nil
	}
	if c.Base != currentBase {
		return store.LoadRevision(c.s.ctx, c.Base)
	}
	revision, err := store.Load(c.s.ctx)
	if errors.Is(err, confstore.ErrNoRevision) {
		return nil, nil
	}
	return revision, err
}

// annotateError adds to a conflict the changes from the base to the revision in force,
// and to an unknown outcome a command line that repeats the operation safely. --author
// and the global options have to be given again.
func (c *applyCommand) annotateError(err error, base *config.Revision, operation string) error {
	var conflict *confstore.ConflictError
	if errors.As(err, &conflict) && conflict.Current != nil {
		return newConflictError(err, base, conflict.Current)
	}
	if isA[*confstore.OutcomeUnknownError](err) {
		return &hintError{err: err, hint: fmt.Sprintf("repeat safely with: primrosenotch apply %s -m %q --base %d --operation-id %s", c.Args.File, c.Reason, revisionNumber(base), operation)}
	}
	return err
}

func revisionNumber(r *config.Revision) int64 {
	if r == nil {
		return 0
	}
	return r.Number
}

// parseRevision parses the configuration text of r; it returns nil for a nil
// revision.
func parseRevision(r *config.Revision) (*config.Text, error) {
	if r == nil {
		return nil, nil
	}
	return config.Parse(fmt.Sprintf("revision-%d", r.Number), r.Source)
}

// applyView is the output of apply.
type applyView struct {
	Revision revisionView `json:"revision"`
	Diff     *diffView    `json:"diff"`
}

func (v *applyView) writeText(w io.Writer) {
	fmt.Fprintf(w, "revision %d accepted (operation %s)\n", v.Revision.Number, v.Revision.OperationID)
	v.Diff.writeText(w)
}
