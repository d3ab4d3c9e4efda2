// Package httpheader represents HTTP header fields as an ordered list that is independent
// of any HTTP library. It removes the fields that an intermediary must not forward.
package httpheader

import "strings"

// Field is one header field line.
type Field struct {
	Name  string
	Value string
}

// List is a header in the order in which it was received. A name may occur more than
// once. Names are compared case-insensitively.
type List []Field

// Get returns the value of the first field called name, or "" if there is none.
func (l List) Get(name string) string {
	for i := range l {
		if strings.EqualFold(l[i].Name, name) {
			return l[i].Value
		}
	}
	return ""
}

// Without returns the list without the fields called name. It overwrites
// l, which must not be used afterwards.
func (l List) Without(name string) List {
	kept := l[:0]
	for _, f := range l {
		if !strings.EqualFold(f.Name, name) {
			kept = append(kept, f)
		}
	}
	return kept
}

// With returns the list with exactly one field called name. It overwrites
// l, which must not be used afterwards.
func (l List) With(name, value string) List {
	return append(l.Without(name), Field{Name: name, Value: value})
}
