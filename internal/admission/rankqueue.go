package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// rankQueue holds the queued requests of one rank: requeued ones first, then
// baseline, then spill.
type rankQueue struct {
	retries  requestList
	baseline fairQueue
	spill    fairQueue
	retried  float64 // expected slot time of retries in nanoseconds
}

func newRankQueue() rankQueue {
	return rankQueue{baseline: newFairQueue(), spill: newFairQueue()}
}

func (q *rankQueue) count() int { return q.retries.count + q.baseline.count + q.spill.count }

// work is the expected slot time of everything queued, in nanoseconds.
func (q *rankQueue) work() float64 { return q.retried + q.baseline.work + q.spill.work }

func (q *rankQueue) class(spill bool) *fairQueue {
	if spill {
		return &q.spill
	}
	return &q.baseline
}

func (q *rankQueue) push(r *request, block model.CallerBlock) {
	q.class(r.spill).push(r, block)
}

func (q *rankQueue) pushRetry(r *request) {
	q.retries.pushBack(r)
	q.retried += r.cost
}

func (q *rankQueue) remove(r *request) {
	if r.block != nil {
		r.block.queue.remove(r)
		return
	}
	q.retries.remove(r)
	q.retried -= r.cost
	if q.retries.count == 0 {
		q.retried = 0
	}
}

// workAhead is the slot time that goes before a new request of the rank.
func (q *rankQueue) workAhead(block model.CallerBlock, spill bool, cost float64) float64 {
	if !spill {
		return q.retried + q.baseline.workAhead(block, cost)
	}
	return q.retried + q.baseline.work + q.spill.workAhead(block, cost)
}

// victim returns the newest request of the block with the most queued work,
// spill before baseline; nil where only requeued requests wait.
func (q *rankQueue) victim() *request {
	if b := q.spill.longest(); b != nil {
		return b.requests.tail
	}
	if b := q.baseline.longest(); b != nil {
		return b.requests.tail
	}
	return nil
}

// first returns any queued request, nil when empty.
func (q *rankQueue) first() *request {
	switch {
	case q.retries.head != nil:
		return q.retries.head
	case q.baseline.head != nil:
		return q.baseline.head.requests.head
	case q.spill.head != nil:
		return q.spill.head.requests.head
	}
	return nil
}
