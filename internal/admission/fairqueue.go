package admission

import "github.com/primrosenotch/primrosenotch/internal/model"

// blockQueue is the FIFO queue of one caller block within a fairQueue.
type blockQueue struct {
	name       model.CallerGroupName
	queue      *fairQueue
	requests   requestList
	work       float64 // expected slot time of its requests, in nanoseconds
	deficit    float64 // slot time left in this round, in nanoseconds
	prev, next *blockQueue
}

// fairQueue shares slot time among caller blocks by deficit round robin. The
// requests of a block are served in FIFO order.
type fairQueue struct {
	blocks map[model.CallerGroupName]*blockQueue
	head   *blockQueue // block served next
	tail   *blockQueue
	count  int // requests
	work   float64
	spare  []*blockQueue // free list of blockQueue values
}

func newFairQueue() fairQueue {
	return fairQueue{blocks: make(map[model.CallerGroupName]*blockQueue)}
}

func (q *fairQueue) push(r *request, block model.CallerGroupName) {
	b := q.blocks[block]
	if b == nil {
		b = q.open(block)
	}
	r.block = b
	b.requests.pushBack(r)
	b.work += r.cost
	q.count++
	q.work += r.cost
}

func (q *fairQueue) remove(r *request) {
	b := r.block
	b.requests.remove(r)
	b.work -= r.cost
	q.count--
	q.work -= r.cost
	r.block = nil
	if b.requests.count == 0 {
		q.close(b)
	}
	if q.count == 0 {
		q.work = 0
	}
}

// pop removes and returns the next request, or returns nil if the queue is empty.
// Each turn adds quantum nanoseconds of slot time to the deficit of a block.
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
	b := q.head
	r := b.requests.head
	b.deficit -= r.cost
	if b.deficit <= 0 {
		q.rotate()
	}
	q.remove(r)
	return r
}

// workAhead returns an upper bound of the slot time, in nanoseconds, that is served
// before a new request of the block.
func (q *fairQueue) workAhead(block model.CallerGroupName, cost float64) float64 {
	if q.count == 0 {
		return 0
	}
	own := 0.0
	others := len(q.blocks)
	if b := q.blocks[block]; b != nil {
		own = b.work
		others--
	}
	return min(q.work, own+(own+cost)*float64(others))
}

// largestBlock returns the block with the most queued work, or nil if the queue is
// empty.
func (q *fairQueue) largestBlock() *blockQueue {
	largest := q.head
	for b := q.head; b != nil; b = b.next {
		if b.work > largest.work {
			largest = b
		}
	}
	return largest
}

func (q *fairQueue) open(name model.CallerGroupName) *blockQueue {
	b := q.takeSpare()
	b.name = name
	b.queue = q
	q.blocks[name] = b
	q.link(b)
	return b
}

func (q *fairQueue) takeSpare() *blockQueue {
	if len(q.spare) == 0 {
		return &blockQueue{}
	}
	last := len(q.spare) - 1
	b := q.spare[last]
	q.spare = q.spare[:last]
	return b
}

func (q *fairQueue) close(b *blockQueue) {
	q.unlink(b)
	delete(q.blocks, b.name)
	*b = blockQueue{}
	q.spare = append(q.spare, b)
}

func (q *fairQueue) rotate() {
	if q.head == q.tail {
		return
	}
	b := q.head
	q.unlink(b)
	q.link(b)
}

func (q *fairQueue) link(b *blockQueue) {
	b.prev = q.tail
	b.next = nil
	if q.tail == nil {
		q.head = b
	} else {
		q.tail.next = b
	}
	q.tail = b
}

func (q *fairQueue) unlink(b *blockQueue) {
	if b.prev == nil {
		q.head = b.next
	} else {
		b.prev.next = b.next
	}
	if b.next == nil {
		q.tail = b.prev
	} else {
		b.next.prev = b.prev
	}
	b.prev, b.next = nil, nil
}
