package dispatch

import (
	"cmp"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// maxCopyAge is the age of the oldest copy from which the store may be restored, with
	// the duration of the outage. What was removed earlier cannot reappear.
	maxCopyAge = 5 * time.Minute
	// maxRecent bounds the number of removed keys that are remembered.
	maxRecent = 1024
)

// recent remembers keys that were removed within maxCopyAge, at most maxRecent of them, with
// what was last known of them.
type recent[K cmp.Ordered, V any] struct{ entries map[K]removed[V] }

type removed[V any] struct {
	at    model.Instant
	value V
}

func newRecent[K cmp.Ordered, V any]() recent[K, V] {
	return recent[K, V]{entries: map[K]removed[V]{}}
}

func (r *recent[K, V]) add(now model.Instant, key K, value V) {
	for k, e := range r.entries {
		if now.Sub(e.at) >= maxCopyAge {
			delete(r.entries, k)
		}
	}
	if _, known := r.entries[key]; !known && len(r.entries) >= maxRecent {
		delete(r.entries, r.oldest())
	}
	r.entries[key] = removed[V]{at: now, value: value}
}

func (r *recent[K, V]) oldest() K {
	var key K
	at := model.Instant(-1)
	for k, e := range r.entries {
		if at < 0 || e.at < at || (e.at == at && k < key) {
			key, at = k, e.at
		}
	}
	return key
}

// get returns when a key was removed and what was last known of it, if that was within
// maxCopyAge.
func (r *recent[K, V]) get(now model.Instant, key K) (removed[V], bool) {
	e, ok := r.entries[key]
	return e, ok && now.Sub(e.at) < maxCopyAge
}

func (r *recent[K, V]) remove(key K) { delete(r.entries, key) }
