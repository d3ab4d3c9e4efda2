package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// groupQueue is the FIFO queue of one caller group within a fairQueue.
type groupQueue struct {
	name       model.CallerGroupName
	queue      *fairQueue
	requests   requestList
	work       float64 // expected slot time of its requests, in nanoseconds
	deficit    float64 // slot time left in this round, in nanoseconds
	prev, next *groupQueue
}

// fairQueue shares slot time among caller groups by deficit round robin. The
// requests of a group are served in FIFO order.
type fairQueue struct {
	groups map[model.CallerGroupName]*groupQueue
	head   *groupQueue // group served next
	tail   *groupQueue
	count  int // requests
	work   float64
	spare  []*groupQueue // free list of groupQueue values
}

func newFairQueue() fairQueue {
	return fairQueue{groups: make(map[model.CallerGroupName]*groupQueue)}
}

func (q *fairQueue) push(r *request, group model.CallerGroupName) {
	g := q.groups[group]
	if g == nil {
		g = q.open(group)
	}
	r.group = g
	g.requests.pushBack(r)
	g.work += r.cost
	q.count++
	q.work += r.cost
}

func (q *fairQueue) remove(r *request) {
	g := r.group
	g.requests.remove(r)
	g.work -= r.cost
	q.count--
	q.work -= r.cost
	r.group = nil
	if g.requests.count == 0 {
		q.close(g)
	}
	if q.count == 0 {
		q.work = 0
	}
}

// pop removes and returns the next request, or returns nil if the queue is empty.
// Each turn adds quantum nanoseconds of slot time to the deficit of a group.
func (q *fairQueue) pop(quantum float64) *request {
	if q.count == 0 {
		return nil
	}
	for q.head.deficit <= 0 {
		q.head.deficit += quantum
		if q.head.deficit <= 0 {
			q.rotate()
		}
	}
	g := q.head
	r := g.requests.head
	g.deficit -= r.cost
	if g.deficit <= 0 {
		q.rotate()
	}
	q.remove(r)
	return r
}

// workAhead estimates the slot time, in nanoseconds, that is served before a new
// request of the group: the work of its own group and, for each other group, as much
// as for this group including the new request, but no more than all queued work. It
// ignores that a turn may exceed this by a quantum or by one request.
func (q *fairQueue) workAhead(group model.CallerGroupName, cost float64) float64 {
	if q.count == 0 {
		return 0
	}
	own := 0.0
	others := len(q.groups)
	if g := q.groups[group]; g != nil {
		own = g.work
		others--
	}
	return min(q.work, own+(own+cost)*float64(others))
}

// largestGroup returns the group with the most queued work, or nil if the queue is
// empty.
func (q *fairQueue) largestGroup() *groupQueue {
	largest := q.head
	for g := q.head; g != nil; g = g.next {
		if g.work > largest.work {
			largest = g
		}
	}
	return largest
}

func (q *fairQueue) open(name model.CallerGroupName) *groupQueue {
	g := q.takeSpare()
	g.name = name
	g.queue = q
	q.groups[name] = g
	q.link(g)
	return g
}

func (q *fairQueue) takeSpare() *groupQueue {
	if len(q.spare) == 0 {
		return &groupQueue{}
	}
	last := len(q.spare) - 1
	g := q.spare[last]
	q.spare = q.spare[:last]
	return g
}

func (q *fairQueue) close(g *groupQueue) {
	q.unlink(g)
	delete(q.groups, g.name)
	*g = groupQueue{}
	q.spare = append(q.spare, g)
}

func (q *fairQueue) rotate() {
	if q.head == q.tail {
		return
	}
	g := q.head
	q.unlink(g)
	q.link(g)
}

func (q *fairQueue) link(g *groupQueue) {
	g.prev = q.tail
	g.next = nil
	if q.tail == nil {
		q.head = g
	} else {
		q.tail.next = g
	}
	q.tail = g
}

func (q *fairQueue) unlink(g *groupQueue) {
	if g.prev == nil {
		q.head = g.next
	} else {
		g.prev.next = g.next
	}
	if g.next == nil {
		q.tail = g.prev
	} else {
		g.next.prev = g.prev
	}
	g.prev, g.next = nil, nil
}
