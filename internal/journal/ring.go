package journal

// ring is a ring buffer: when it is full, a new value overwrites the oldest.
type ring[T any] struct {
	items []T
	next  int
	full  bool
}

func newRing[T any](size int) ring[T] { return ring[T]{items: make([]T, size)} }

func (r *ring[T]) add(v T) {
	r.items[r.next] = v
	r.next++
	if r.next == len(r.items) {
		r.next = 0
		r.full = true
	}
}

// each calls f for every value, oldest first.
func (r *ring[T]) each(f func(*T)) {
	if r.full {
		for i := r.next; i < len(r.items); i++ {
			f(&r.items[i])
		}
	}
	for i := range r.next {
		f(&r.items[i])
	}
}

// oldest returns the oldest value, which is overwritten next, or nil if the ring
// is empty.
func (r *ring[T]) oldest() *T {
	switch {
	case r.full:
		return &r.items[r.next]
	case r.next > 0:
		return &r.items[0]
	default:
		return nil
	}
}
