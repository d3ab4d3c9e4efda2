package tablestore

import (
	"bytes"
	"strings"
	"sync"
)

// objects is the object store.
type objects struct {
	mu   sync.RWMutex
	data map[string][]byte
}

func newObjects() *objects {
	return &objects{data: make(map[string][]byte)}
}

// put stores copies of name and data, because the HTTP server reuses their memory after the
// call.
func (o *objects) put(name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[strings.Clone(name)] = bytes.Clone(data)
}

// get returns the data of an object, which the caller must not modify.
func (o *objects) get(name string) ([]byte, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	data, ok := o.data[name]
	return data, ok
}
