package admission

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// maxExcluded is the maximum number of servers that a request can be excluded from.
// Requeue drops a request beyond it.
const maxExcluded = 4

// Request is a request that an ingress instance offers to this owner.
type Request struct {
	ID   model.RequestID
	Meta *model.RequestMeta // read during Offer only
	// Spill is true if the request was sent outside its baseline zone.
	Spill bool
}

// request is an admitted request, queued or running. Its memory is reused through
// requestPool.
type request struct {
	id      model.RequestID
	rank    model.Rank
	spill   bool
	service *service
	route   *routeEstimate
	server  *server // nil while queued

	cost        float64       // expected slot time in nanoseconds
	startBy     model.Instant // latest start that still meets the deadline
	expiryIndex int           // index in the expiry heap, or notInHeap

	startedAt model.Instant
	charged   bool // debited to its rank's credit

	excluded      [maxExcluded]model.BackendName
	excludedCount int

	list       *requestList // the list that contains it, nil while running
	group      *groupQueue  // nil for a requeued request
	prev, next *request
}

func (r *request) running() bool { return r.server != nil }

// exclude excludes a server, or returns false if maxExcluded servers are excluded
// already.
func (r *request) exclude(name model.BackendName) bool {
	if r.excludedCount == maxExcluded {
		return false
	}
	r.excluded[r.excludedCount] = name
	r.excludedCount++
	return true
}

func (r *request) mayUse(name model.BackendName) bool {
	return !slices.Contains(r.excluded[:r.excludedCount], name)
}

// requestList is an intrusive doubly linked list.
type requestList struct {
	head, tail *request
	count      int
}

func (l *requestList) pushBack(r *request) {
	r.list = l
	r.prev = l.tail
	r.next = nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.count++
}

func (l *requestList) remove(r *request) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next, r.list = nil, nil, nil
	l.count--
}

// requestPool reuses request values.
type requestPool struct{ free []*request }

func (p *requestPool) get() *request {
	if len(p.free) == 0 {
		return &request{}
	}
	last := len(p.free) - 1
	r := p.free[last]
	p.free = p.free[:last]
	return r
}

func (p *requestPool) put(r *request) {
	*r = request{}
	p.free = append(p.free, r)
}
