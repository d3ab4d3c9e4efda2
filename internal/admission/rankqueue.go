package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// rankQueue holds the queued requests of one rank. Requeued requests are served
// first, then baseline, then spill.
type rankQueue struct {
	requeued     requestList
	baseline     fairQueue
	spill        fairQueue
	requeuedWork float64 // expected slot time of the requeued requests, in nanoseconds
}

func newRankQueue() rankQueue {
	return rankQueue{baseline: newFairQueue(), spill: newFairQueue()}
}

func (q *rankQueue) count() int { return q.requeued.count + q.baseline.count + q.spill.count }

// work returns the expected slot time of all queued requests, in nanoseconds.
func (q *rankQueue) work() float64 { return q.requeuedWork + q.baseline.work + q.spill.work }

func (q *rankQueue) queueFor(spill bool) *fairQueue {
	if spill {
		return &q.spill
	}
	return &q.baseline
}

func (q *rankQueue) push(r *request, group model.CallerGroupName) {
	q.queueFor(r.spill).push(r, group)
}

func (q *rankQueue) pushRequeued(r *request) {
	q.requeued.pushBack(r)
	q.requeuedWork += r.cost
}

func (q *rankQueue) remove(r *request) {
	if r.group != nil {
		r.group.queue.remove(r)
		return
	}
	q.requeued.remove(r)
	q.requeuedWork -= r.cost
	if q.requeued.count == 0 {
		q.requeuedWork = 0
	}
}

// workAhead estimates the slot time, in nanoseconds, that is served before a new
// request of the rank.
func (q *rankQueue) workAhead(group model.CallerGroupName, spill bool, cost float64) float64 {
	if !spill {
		return q.requeuedWork + q.baseline.workAhead(group, cost)
	}
	return q.requeuedWork + q.baseline.work + q.spill.workAhead(group, cost)
}

// evictionCandidate returns the newest request of the group with the most queued
// work, from spill if there is any, else from baseline. It returns nil if there
// are only requeued requests, or none.
func (q *rankQueue) evictionCandidate() *request {
	if b := q.spill.largestGroup(); b != nil {
		return b.requests.tail
	}
	if b := q.baseline.largestGroup(); b != nil {
		return b.requests.tail
	}
	return nil
}

// first returns a queued request, or nil if there is none.
func (q *rankQueue) first() *request {
	switch {
	case q.requeued.head != nil:
		return q.requeued.head
	case q.baseline.head != nil:
		return q.baseline.head.requests.head
	case q.spill.head != nil:
		return q.spill.head.requests.head
	}
	return nil
}
