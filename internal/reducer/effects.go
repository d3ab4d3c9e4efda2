package reducer

import (
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// arena allocates values that are reused after a reset, so that effects on the
// request path need no allocation.
type arena[T any] struct {
	items []*T
	used  int
}

func (a *arena[T]) next() *T {
	if a.used == len(a.items) {
		a.items = append(a.items, new(T))
	}
	item := a.items[a.used]
	a.used++
	return item
}

// effects collects the effects of one step, in order.
type effects struct {
	list        []event.Effect
	forward     arena[event.Forward]
	refuse      arena[event.Refuse]
	dispatch    arena[event.Dispatch]
	refuseOffer arena[event.RefuseOffer]
	claim       arena[event.Claim]
}

func (e *effects) reset() {
	clear(e.list)
	e.list = e.list[:0]
	e.forward.used = 0
	e.refuse.used = 0
	e.dispatch.used = 0
	e.refuseOffer.used = 0
	e.claim.used = 0
}

func (e *effects) add(f event.Effect) { e.list = append(e.list, f) }

func (e *effects) addForward(f event.Forward) {
	item := e.forward.next()
	*item = f
	e.add(item)
}

func (e *effects) addRefuse(f event.Refuse) {
	item := e.refuse.next()
	*item = f
	e.add(item)
}

func (e *effects) addDispatch(d event.Dispatch) {
	item := e.dispatch.next()
	*item = d
	e.add(item)
}

func (e *effects) addRefuseOffer(f event.RefuseOffer) {
	item := e.refuseOffer.next()
	*item = f
	e.add(item)
}

func (e *effects) addClaim(id model.RequestID) {
	item := e.claim.next()
	*item = event.Claim{Request: id}
	e.add(item)
}

func (e *effects) record(at model.Instant, request, subject, what, why string) {
	e.add(&event.Record{Entry: event.JournalEntry{At: at, TraceID: request, Subject: subject, Message: what, Reason: why}})
}
