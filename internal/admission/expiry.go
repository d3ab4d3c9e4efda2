package admission

// notInHeap is the expiryIndex of a request outside the expiry heap.
const notInHeap = -1

// expiryHeap is a binary min-heap of the queued requests, ordered by latest start.
// Each request stores its index in the heap, so that any of them can be removed.
type expiryHeap struct{ items []*request }

func (h *expiryHeap) push(r *request) {
	r.expiryIndex = len(h.items)
	h.items = append(h.items, r)
	h.up(r.expiryIndex)
}

func (h *expiryHeap) first() *request {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *expiryHeap) remove(r *request) {
	i := r.expiryIndex
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	r.expiryIndex = notInHeap
	if i == last {
		return
	}
	h.down(i)
	h.up(i)
}

func (h *expiryHeap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.startBy != b.startBy {
		return a.startBy < b.startBy
	}
	return a.id < b.id
}

func (h *expiryHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].expiryIndex = i
	h.items[j].expiryIndex = j
}

func (h *expiryHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *expiryHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
