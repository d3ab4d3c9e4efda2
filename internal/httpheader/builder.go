package httpheader

import "sync"

// Builder makes a List from the byte slices of an HTTP library, with a single
// allocation for all names and values. The zero value is ready for use.
type Builder struct {
	text []byte
	ends []int // end offsets of the names and values in text
}

var builderPool = sync.Pool{New: func() any { return new(Builder) }}

// NewBuilder returns an empty builder from a pool. List returns it to the pool.
func NewBuilder() *Builder { return builderPool.Get().(*Builder) }

// Add appends a copy of a field.
func (b *Builder) Add(name, value []byte) {
	b.text = append(b.text, name...)
	b.ends = append(b.ends, len(b.text))
	b.text = append(b.text, value...)
	b.ends = append(b.ends, len(b.text))
}

// List returns the fields in a list with capacity for spare more. The builder must not
// be used afterwards.
func (b *Builder) List(spare int) List {
	all := string(b.text)
	list := make(List, 0, len(b.ends)/2+spare)
	start := 0
	for i := 0; i < len(b.ends); i += 2 {
		name, value := b.ends[i], b.ends[i+1]
		list = append(list, Field{Name: all[start:name], Value: all[name:value]})
		start = value
	}
	b.text, b.ends = b.text[:0], b.ends[:0]
	builderPool.Put(b)
	return list
}
