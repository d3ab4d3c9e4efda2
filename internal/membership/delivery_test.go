package membership

import (
	"container/heap"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// delivery is a message in transit.
type delivery struct {
	at       model.Instant
	seq      int
	from, to *node
	message  *Message
}

// deliveries is a heap ordered by time of arrival.
type deliveries []delivery

func (q deliveries) Len() int      { return len(q) }
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q deliveries) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

// Push implements heap.Interface.
func (q *deliveries) Push(d any) { *q = append(*q, d.(delivery)) }

// Pop implements heap.Interface.
func (q *deliveries) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

func (q *deliveries) push(d delivery) { heap.Push(q, d) }

// pop removes and returns the next message that arrives by until, or false if there
// is none.
func (q *deliveries) pop(until model.Instant) (delivery, bool) {
	if len(*q) == 0 || (*q)[0].at > until {
		return delivery{}, false
	}
	return heap.Pop(q).(delivery), true
}

func (q *deliveries) drop(match func(delivery) bool) {
	*q = slices.DeleteFunc(*q, match)
	heap.Init(q)
}
