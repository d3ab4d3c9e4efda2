package follow

import (
	"context"
	"time"
)

// Page is a part of a table: its rows from one key on, in key order.
type Page struct {
	Version int64 // of the store when the page was read
	Rows    []Row
	Next    string // key at which the next page begins, empty if this is the last one
	Bytes   int    // size of the answer
}

// wholeRead collects the pages of a table that is read as a whole. Pages may be read at
// different times. The batch has the version of the first page, so that the changes since
// that version repeat all changes made between the pages. The zero value has no page.
type wholeRead struct {
	batch   Batch
	started time.Time // when the call for the first page began
	next    string
}

// begun reports whether a page has been added.
func (w *wholeRead) begun() bool { return w.next != "" }

// add appends the page that begins at w.next and reports whether it is the last one. If the
// store has been restored from a copy since the first page, the read starts over.
func (w *wholeRead) add(table string, started time.Time, p Page) bool {
	if !w.begun() {
		w.started = started
		w.batch = Batch{Table: table, Version: p.Version, Full: true}
	} else if Epoch(p.Version) != Epoch(w.batch.Version) {
		*w = wholeRead{}
		return false
	}
	w.batch.Rows = append(w.batch.Rows, p.Rows...)
	w.next = p.Next
	return w.next == ""
}

// ReadTable returns a whole table. It fails with the first page that cannot be read.
func ReadTable(ctx context.Context, store Store, table string) (Batch, error) {
	var w wholeRead
	for {
		started := time.Now()
		p, err := store.Page(ctx, table, w.next)
		if err != nil {
			return w.batch, err
		}
		if w.add(table, started, p) {
			return w.batch, nil
		}
	}
}
