package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/samber/lo"
)

type getCommand struct {
	s        *session
	Revision int64 `long:"revision" value-name:"N" description:"earlier revision to print instead of the one in force"`
}

func (*getCommand) examples() string {
	return `  primrosenotch get > shop.ini
  primrosenotch get --revision 11
  primrosenotch get --format json
`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	store, err := c.s.clients.store()
	if err != nil {
		return err
	}
	var revision *config.Revision
	if c.Revision > 0 {
		revision, err = store.LoadRevision(c.s.ctx, c.Revision)
	} else {
		revision, err = store.Load(c.s.ctx)
	}
	if err != nil {
		return err
	}
	v := &sourceView{revisionView: newRevisionView(revision), Source: string(revision.Source)}
	if c.s.global.Format == formatText {
		fmt.Fprintf(c.s.env.Stderr, "revision %d by %s at %s: %s\n", v.Number, v.Author, formatTime(v.AcceptedAt), v.Reason)
	}
	return c.s.print(v)
}

// revisionView is a revision without its configuration text.
type revisionView struct {
	Number      int64          `json:"number"`
	Hash        string         `json:"hash"`
	Author      string         `json:"author"`
	Reason      string         `json:"reason"`
	AcceptedAt  time.Time      `json:"accepted_at"`
	OperationID string         `json:"operation_id"`
	Stops       []control.Stop `json:"stops"`
}

func newRevisionView(r *config.Revision) revisionView {
	return revisionView{
		Number:      r.Number,
		Hash:        fmt.Sprintf("%016x", r.Hash),
		Author:      r.Author,
		Reason:      r.Reason,
		AcceptedAt:  r.AcceptedAt,
		OperationID: r.OperationID,
		Stops:       lo.Map(r.Stops, func(s config.Stop, _ int) control.Stop { return control.NewStop(s) }),
	}
}

// sourceView is the output of get; as text it is the configuration text, byte for
// byte as it was applied.
type sourceView struct {
	revisionView
	Source string `json:"source"`
}

func (v *sourceView) writeText(w io.Writer) { fmt.Fprint(w, v.Source) }
