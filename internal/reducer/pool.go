package reducer

// pool is a free list of values, so that the request path does not allocate in
// steady state.
type pool[T any] struct{ free []*T }

// get returns a pointer to a zero value.
func (p *pool[T]) get() *T {
	last := len(p.free) - 1
	if last < 0 {
		return new(T)
	}
	v := p.free[last]
	p.free = p.free[:last]
	var zero T
	*v = zero
	return v
}

func (p *pool[T]) put(v *T) { p.free = append(p.free, v) }
