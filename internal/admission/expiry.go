package admission

// notQueued is the heap index of a request outside the expiry heap.
const notQueued = -1

// expiryHeap is a binary heap of queued requests by latest start. Requests know
// their index, so that any of them can be removed.
type expiryHeap struct{ items []*request }

func (h *expiryHeap) push(r *request) {
	r.expiry = len(h.items)
	h.items = append(h.items, r)
	h.up(r.expiry)
}

func (h *expiryHeap) first() *request {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *expiryHeap) remove(r *request) {
	i := r.expiry
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	r.expiry = notQueued
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
	h.items[i].expiry = i
	h.items[j].expiry = j
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
